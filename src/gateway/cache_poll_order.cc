// Order of the first polls.

#include "gateway/cache_poll_order.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {

void CachePollOrder::set_sources(std::span<const CacheSource> sources) {
  std::map<std::string, Source, std::less<>> next;
  for (const CacheSource& source : sources) {
    if (!source.is_store && !all_zones_ && source.zone != zone_) {
      continue;
    }
    const auto known = states_.find(source.name);
    next.emplace(source.name,
                 known == states_.end() ? Source{.is_store = source.is_store} : known->second);
  }
  states_ = std::move(next);
}

std::optional<std::string> CachePollOrder::begin() {
  const auto under_way = std::count_if(states_.begin(), states_.end(), [](const auto& item) {
    return item.second.state == State::kFirstPoll;
  });
  if (static_cast<std::size_t>(under_way) >= kFirstPolls) {
    return std::nullopt;
  }
  auto chosen = states_.end();
  for (auto source = states_.begin(); source != states_.end(); ++source) {
    if (source->second.state == State::kWaiting &&
        (chosen == states_.end() || (source->second.is_store && !chosen->second.is_store))) {
      chosen = source;
    }
  }
  if (chosen == states_.end()) {
    return std::nullopt;
  }
  chosen->second.state = State::kFirstPoll;
  return chosen->first;
}

void CachePollOrder::ended(std::string_view name) {
  if (const auto source = states_.find(name); source != states_.end()) {
    source->second.state = State::kFollowed;
  }
}

}  // namespace bluebellstep
