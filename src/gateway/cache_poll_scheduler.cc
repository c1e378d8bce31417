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
      follows_all_zones_(link_mbps <= 0 || link_mbps >= kAllZonesMinMbps) {}

// Gateways follow different engines where there are more than one can follow.
std::vector<std::string_view> CachePollScheduler::followed_engines(
    std::span<const CacheNode> nodes) const {
  struct Candidate {
    bool other_zone;
    std::uint64_t rank;
    std::string_view name;
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (const CacheNode& node : nodes) {
    const bool other_zone = node.zone != zone_;
    if (!node.is_store && (follows_all_zones_ || !other_zone)) {
      candidates.push_back(
          {other_zone, rendezvous_score(name_hash_, hash64(node.name)), node.name});
    }
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(std::min(candidates.size(), kMaxEngines));
  std::vector<std::string_view> names;
  names.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    names.push_back(candidate.name);
  }
  return names;
}

void CachePollScheduler::set_nodes(std::span<const CacheNode> nodes) {
  std::map<std::string, Node, std::less<>> next;
  const std::vector<std::string_view> engines = followed_engines(nodes);
  const std::set<std::string_view> followed(engines.begin(), engines.end());
  for (const CacheNode& node : nodes) {
    if (!node.is_store && !followed.contains(node.name)) {
      continue;
    }
    const auto known = states_.find(node.name);
    next.emplace(node.name,
                 known == states_.end() ? Node{.is_store = node.is_store} : known->second);
  }
  states_ = std::move(next);
}

std::optional<std::string> CachePollScheduler::start_next_poll() {
  const auto in_progress = std::count_if(states_.begin(), states_.end(), [](const auto& item) {
    return item.second.state == State::kFirstPollInProgress;
  });
  if (static_cast<std::size_t>(in_progress) >= kMaxConcurrentFirstPolls) {
    return std::nullopt;
  }
  auto chosen = states_.end();
  for (auto node = states_.begin(); node != states_.end(); ++node) {
    if (node->second.state == State::kNotPolled &&
        (chosen == states_.end() || (node->second.is_store && !chosen->second.is_store))) {
      chosen = node;
    }
  }
  if (chosen == states_.end()) {
    return std::nullopt;
  }
  chosen->second.state = State::kFirstPollInProgress;
  return chosen->first;
}

void CachePollScheduler::record_poll_finished(std::string_view name) {
  if (const auto node = states_.find(name); node != states_.end()) {
    node->second.state = State::kPolled;
  }
}

}  // namespace bluebellstep
