// Which upstream owns an order, as a function of the order's key.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_TABLE_H_
#define BLUEBELLSTEP_ORDERS_ORDER_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "orders/order_key.h"

namespace bluebellstep {

/** The owners of one service for keys born from `effective` on. */
struct OrderTableEntry {
  Instant effective;
  std::vector<std::string> upstreams;

  bool operator==(const OrderTableEntry&) const = default;
};

/** The owner tables of one plain service. Entries are only ever added at the end. */
class OrderTable {
 public:
  /** Lead of a new entry over its adoption: the 8 s in which a configuration reaches every
   * process, the clock differences, and room for a slow process. */
  static constexpr Duration kLead{30'000};

  /** `entries` must be in strictly ascending order of `effective`, each with an upstream. */
  explicit OrderTable(std::vector<OrderTableEntry> entries);

  /** Returns the owner of `key`. Opaque keys are owned by the newest entry. Returns nothing for a
   * birth before the first entry; such an order is refused. */
  std::optional<std::string_view> owner(const OrderKey& key) const;

  /** Returns why `next` may not replace this table at `wall_now`, or nothing if it may: it must
   * hold all entries of this table unchanged, and further ones need the lead. */
  std::optional<std::string> find_succession_error(const OrderTable& next, Instant wall_now) const;

  const std::vector<OrderTableEntry>& entries() const { return entries_; }

 private:
  const OrderTableEntry* entry_for(const OrderKey& key) const;

  std::vector<OrderTableEntry> entries_;  // Ascending by `effective`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_TABLE_H_
