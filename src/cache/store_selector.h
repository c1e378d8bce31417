// Chooses the cache store for a block among those that work.

#ifndef BLUEBELLSTEP_CACHE_STORE_SELECTOR_H_
#define BLUEBELLSTEP_CACHE_STORE_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "cache/block_key.h"

namespace bluebellstep {

using StoreId = Id<struct StoreTag>;

/** Rendezvous over live stores. A store that fails is left out for a while, then probed once. */
class StoreSelector {
 public:
  /** Failures in a row after which a store is left out. */
  static constexpr std::uint32_t kFailuresToEject = 3;

  /** Time for which a store is left out, and in which a probe must be answered. */
  static constexpr Duration kEjectionTime = 5_s;

  /** Adds a store, live. Names must be the same in every process, since they decide the owner. */
  StoreId add(std::string_view name);

  /** Returns the store for a block, or nothing if none is live. A store that was left out gets one
   * request as a probe; the caller reports its result like any other. */
  std::optional<StoreId> select(BlockKey key, Instant now);

  /** Reports an answer, also "not found". */
  void report_success(StoreId store);

  /** Reports a time-out, an error or a damaged block. */
  void report_failure(StoreId store, Instant now);

  /** True unless the store is left out or being probed. */
  bool is_live(StoreId store) const { return !stores_.at(store.value).ejected_until.has_value(); }

 private:
  struct Store {
    std::uint64_t name_hash = 0;
    std::uint32_t failures = 0;
    // Set while left out. A probe moves it ahead, so that there is one probe at a time.
    std::optional<Instant> ejected_until;
  };

  std::vector<Store> stores_;  // By store id.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_STORE_SELECTOR_H_
