// The order tables of all services of a bundle.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_TABLES_H_
#define BLUEBELLSTEP_ORDERS_ORDER_TABLES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bundle/bundle.h"
#include "orders/order_table.h"

namespace bluebellstep {

/** Maps the key of an order of any service to its owner, by the order tables of a bundle. */
class OrderTables {
 public:
  OrderTables() = default;
  explicit OrderTables(const Bundle& bundle);

  /** Returns the name of the upstream that owns `key`. Returns nullopt if the service is unknown or
   * has no order tables, or if the key was created before the first table took effect. */
  std::optional<std::string_view> owner(std::string_view service, const OrderKey& key) const;

 private:
  // By service name. Contains only services with order tables.
  std::map<std::string, OrderTable, std::less<>> tables_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_TABLES_H_
