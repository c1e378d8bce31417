// Maps an order's key to the upstream that owns the order.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_TABLE_H_
#define BLUEBELLSTEP_ORDERS_ORDER_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "orders/order_key.h"

namespace bluebellstep {

/** The owners of one service for keys created at `effective` (Unix time) or later, until the next
 * entry takes effect. */
struct OrderTableEntry {
  Instant effective;
  std::vector<std::string> upstreams;

  bool operator==(const OrderTableEntry&) const = default;
};

/** The order tables of one plain service. Append-only, so that the owner of a time-ordered key
 * never changes. */
class OrderTable {
 public:
  /** Minimum time between the publication of a new entry and its `effective` time. Covers the 8 s
   * in which a configuration reaches every process, clock differences between machines, and a
   * margin for slow processes. */
  static constexpr Duration kMinLeadTime{30'000};

  /** `entries` must be in strictly ascending order of `effective`, each with at least one
   * upstream. */
  explicit OrderTable(std::vector<OrderTableEntry> entries);

  /** Returns the upstream that owns `key`. The last entry applies to opaque keys. Returns nullopt
   * for a key created before the first entry took effect; such an order must be refused. */
  std::optional<std::string_view> owner(const OrderKey& key) const;

  /** Checks whether `next` may replace this table at `wall_now`: it must contain all entries of
   * this table unchanged, and additional entries must take effect `kMinLeadTime` from then or
   * later. Returns an error message, or nullopt if the replacement is allowed. */
  std::optional<std::string> find_succession_error(const OrderTable& next, Instant wall_now) const;

  const std::vector<OrderTableEntry>& entries() const { return entries_; }

 private:
  const OrderTableEntry* find_entry(const OrderKey& key) const;

  std::vector<OrderTableEntry> entries_;  // Strictly ascending by `effective`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_TABLE_H_
