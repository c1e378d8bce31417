// Selection and ejection of stores.

#include "cache/store_selector.h"

#include "base/hash.h"

namespace bluebellstep {

StoreId StoreSelector::add(std::string_view name) {
  stores_.push_back(
      {.name_hash = hash64(name), .consecutive_failures = 0, .ejected_until = std::nullopt});
  return {static_cast<std::uint32_t>(stores_.size() - 1)};
}

std::optional<StoreId> StoreSelector::select(BlockKey key, Instant now) {
  std::optional<StoreId> best;
  std::uint64_t best_score = 0;
  for (std::uint32_t i = 0; i < stores_.size(); ++i) {
    const Store& store = stores_[i];
    const std::uint64_t score = rendezvous_score(key.low, store.name_hash);
    const bool is_selectable = !store.ejected_until || now >= *store.ejected_until;
    if (is_selectable && (!best || score > best_score)) {
      best = StoreId{i};
      best_score = score;
    }
  }
  if (best && stores_[best->value].ejected_until) {
    stores_[best->value].ejected_until = now + kEjectionTime;
  }
  return best;
}

void StoreSelector::report_success(StoreId id) {
  Store& store = stores_.at(id.value);
  store.consecutive_failures = 0;
  store.ejected_until.reset();
}

void StoreSelector::report_failure(StoreId id, Instant now) {
  Store& store = stores_.at(id.value);
  if (++store.consecutive_failures >= kFailuresToEject) {
    store.ejected_until = now + kEjectionTime;
  }
}

}  // namespace bluebellstep
