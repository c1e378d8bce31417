// Order of the first polls.

#include "gateway/cache_poll_scheduler.h"

#include <algorithm>
#include <compare>
#include <set>
#include <utility>

#include "base/hash.h"

namespace bluebellstep {

CachePollScheduler::CachePollScheduler(std::string_view name, std::string zone, double link_mbps)
    : name_hash_(hash64(name)),
      zone_(std::move(zone)),
      all_zones_(link_mbps <= 0 || link_mbps >= kAllZonesMbps) {}

// Gateways follow different engines where there are more than one can follow.
std::vector<std::string_view> CachePollScheduler::followed_engines(
    std::span<const CacheNode> sources) const {
  struct Candidate {
    bool other_zone;
    std::uint64_t rank;
    std::string_view name;
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (const CacheNode& source : sources) {
    const bool other_zone = source.zone != zone_;
    if (!source.is_store && (all_zones_ || !other_zone)) {
      candidates.push_back(
          {other_zone, rendezvous_score(name_hash_, hash64(source.name)), source.name});
    }
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(std::min(candidates.size(), kMostEngines));
  std::vector<std::string_view> names;
  names.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    names.push_back(candidate.name);
  }
  return names;
}

void CachePollScheduler::set_nodes(std::span<const CacheNode> sources) {
  std::map<std::string, Source, std::less<>> next;
  const std::vector<std::string_view> engines = followed_engines(sources);
  const std::set<std::string_view> followed(engines.begin(), engines.end());
  for (const CacheNode& source : sources) {
    if (!source.is_store && !followed.contains(source.name)) {
      continue;
    }
    const auto known = states_.find(source.name);
    next.emplace(source.name,
                 known == states_.end() ? Source{.is_store = source.is_store} : known->second);
  }
  states_ = std::move(next);
}

std::optional<std::string> CachePollScheduler::begin() {
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

void CachePollScheduler::ended(std::string_view name) {
  if (const auto source = states_.find(name); source != states_.end()) {
    source->second.state = State::kFollowed;
  }
}

}  // namespace bluebellstep
