// Selection of the cache nodes to poll, and the order of their first polls.

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
      polls_all_zones_(link_mbps <= 0 || link_mbps >= kAllZonesMinMbps) {}

// Returns the engines to poll. If there are more than `kMaxEngines`, each gateway selects different
// ones.
std::vector<std::string_view> CachePollScheduler::engines_to_poll(
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
    if (!node.is_store && (polls_all_zones_ || !other_zone)) {
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
  const std::vector<std::string_view> engines = engines_to_poll(nodes);
  const std::set<std::string_view> polled(engines.begin(), engines.end());
  for (const CacheNode& node : nodes) {
    if (!node.is_store && !polled.contains(node.name)) {
      continue;
    }
    const auto known = nodes_by_name_.find(node.name);
    next.emplace(node.name, known == nodes_by_name_.end()
                                ? Node{.is_store = node.is_store, .in_zone = node.zone == zone_}
                                : known->second);
  }
  nodes_by_name_ = std::move(next);
}

std::optional<std::string> CachePollScheduler::start_next_poll() {
  const auto in_progress = std::count_if(
      nodes_by_name_.begin(), nodes_by_name_.end(),
      [](const auto& item) { return item.second.state == State::kFirstPollInProgress; });
  if (static_cast<std::size_t>(in_progress) >= kMaxConcurrentFirstPolls) {
    return std::nullopt;
  }
  auto chosen = nodes_by_name_.end();
  for (auto node = nodes_by_name_.begin(); node != nodes_by_name_.end(); ++node) {
    if (node->second.state == State::kNotPolled &&
        (chosen == nodes_by_name_.end() || (node->second.is_store && !chosen->second.is_store))) {
      chosen = node;
    }
  }
  if (chosen == nodes_by_name_.end()) {
    return std::nullopt;
  }
  chosen->second.state = State::kFirstPollInProgress;
  return chosen->first;
}

void CachePollScheduler::set_zone_gateways(std::span<const std::string> names) {
  zone_gateway_hashes_.clear();
  for (const std::string& name : names) {
    if (hash64(name) != name_hash_) {
      zone_gateway_hashes_.push_back(hash64(name));
    }
  }
}

bool CachePollScheduler::is_shared(std::string_view name) const {
  const auto node = nodes_by_name_.find(name);
  return node != nodes_by_name_.end() && (node->second.is_store || node->second.in_zone);
}

bool CachePollScheduler::polls_for_zone(std::string_view name) const {
  const std::uint64_t node_hash = hash64(name);
  const std::uint64_t own_score = rendezvous_score(node_hash, name_hash_);
  return std::none_of(
      zone_gateway_hashes_.begin(), zone_gateway_hashes_.end(),
      [&](std::uint64_t gateway) { return rendezvous_score(node_hash, gateway) > own_score; });
}

void CachePollScheduler::record_poll_finished(std::string_view name) {
  if (const auto node = nodes_by_name_.find(name); node != nodes_by_name_.end()) {
    node->second.state = State::kPolled;
  }
}

}  // namespace bluebellstep
