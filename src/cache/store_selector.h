// Selects the cache store for a block among the stores that are available.

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

/** Rendezvous hashing over the available stores. A store that fails repeatedly is ejected for some
 * time and then probed with a single request. */
class StoreSelector {
 public:
  /** Number of consecutive failures after which a store is ejected. */
  static constexpr std::uint32_t kFailuresToEject = 3;

  /** Time for which a store is ejected, and time until another probe if a probe gets no answer. */
  static constexpr Duration kEjectionTime = 5_s;

  /** Adds a store, which is assumed to be available. The names must be the same in every process,
   * because they determine the store of each block. */
  StoreId add(std::string_view name);

  /** Returns the store for a block, or nothing if no store is available. After the ejection time, a
   * store is returned once as a probe; the caller reports the result like any other. */
  std::optional<StoreId> select(BlockKey key, Instant now);

  /** Reports that a store answered a request, possibly with "not found". */
  void report_success(StoreId store);

  /** Reports a time-out, an error or a corrupt block. */
  void report_failure(StoreId store, Instant now);

  /** Whether the store is neither ejected nor being probed. */
  bool is_available(StoreId store) const {
    return !stores_.at(store.value).ejected_until.has_value();
  }

 private:
  struct Store {
    std::uint64_t name_hash = 0;
    std::uint32_t consecutive_failures = 0;
    // Set while the store is ejected or being probed. A probe extends it by kEjectionTime, so that
    // there is only one probe at a time.
    std::optional<Instant> ejected_until;
  };

  std::vector<Store> stores_;  // By store id.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_STORE_SELECTOR_H_
