// The owner tables of all services of a bundle.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_TABLES_H_
#define BLUEBELLSTEP_ORDERS_ORDER_TABLES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "bundle/bundle.h"
#include "orders/order_table.h"

namespace bluebellstep {

/** Finds the owner of an order's key in the tables of a bundle. */
class OrderTables {
 public:
  OrderTables() = default;
  explicit OrderTables(const Bundle& bundle);

  /** Returns the name of the upstream that owns `key`; nothing if the service is unknown or the key
   * is older than its first table. */
  std::optional<std::string_view> owner(std::string_view service, const OrderKey& key) const;

 private:
  std::map<std::string, OrderTable, std::less<>>
      tables_;  // By service; services without tables are left out.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_TABLES_H_
