// Tracks the segments of the cache nodes, and plans fetches and saves.

#include "gateway/cache_directory.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <set>
#include <utility>

#include "base/hash.h"
#include "cache_isolation/cache_namespaces.h"

namespace bluebellstep {

bool CachePlan::saves() const {
  return std::any_of(save_endpoints.begin(), save_endpoints.end(),
                     [](const auto& store) { return store.has_value(); });
}

std::uint64_t CacheDirectory::key_of(std::string_view cache_namespace, std::uint64_t segment) {
  return combine_hashes(hash64(cache_namespace), segment);
}

const CacheDirectory::Node* CacheDirectory::find(std::string_view name) const {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? nullptr : &found->second;
}

void CacheDirectory::set_nodes(std::vector<CacheNode> nodes) {
  std::map<std::string, Node, std::less<>> next;
  std::set<std::string> zones;
  engines_.clear();
  for (CacheNode& info : nodes) {
    const auto known = nodes_.find(info.name);
    std::string name = info.name;
    const bool same = known != nodes_.end() && known->second.info.endpoint == info.endpoint &&
                      known->second.info.started_ms == info.started_ms;
    Node node = same ? std::move(known->second) : Node{};
    node.info = std::move(info);
    node.name_hash = hash64(name);
    zones.insert(node.info.zone);
    if (!node.info.is_store) {
      engines_.emplace(LoadAggregator::key_of(node.name_hash), name);
    }
    next.emplace(std::move(name), std::move(node));
  }
  nodes_ = std::move(next);
  zones_.assign(zones.begin(), zones.end());
}

void CacheDirectory::clear(Node& node) {
  node.segments.clear();
  node.stored_tokens = 0;
}

void CacheDirectory::set_segment(Node& node, std::uint64_t key, CachedSegment held) {
  CachedSegment& known = node.segments[key];
  node.stored_tokens += held.tokens;
  node.stored_tokens -= std::min<std::uint64_t>(node.stored_tokens, known.tokens);
  if (held.tokens == 0) {
    node.segments.erase(key);
    return;
  }
  known = std::move(held);
}

void CacheDirectory::on_events(std::string_view name, const CachePollResult& result, Instant now) {
  const auto found = nodes_.find(name);
  if (found == nodes_.end()) {
    return;
  }
  Node& node = found->second;
  if (node.epoch == result.epoch && result.next < node.next) {
    return;  // A second copy of an earlier answer.
  }
  if (node.epoch != result.epoch) {
    node.epoch = result.epoch;
    node.epoch_since = now;
    clear(node);
  } else if (result.events_lost && !node.info.is_store) {
    // The missing events may include evictions.
    clear(node);
  }
  node.last_polled_at = now;
  node.clock_at_poll_ms = result.clock_ms;
  node.next = result.next;
  for (const SegmentEvent& event : result.events) {
    CachedSegment held{
        .tokens = event.tokens, .expected_until = std::nullopt, .segment = event.segment};
    if (node.info.is_store) {
      held.cache_namespace = event.cache_namespace;
    }
    set_segment(node, key_of(event.cache_namespace, event.segment), std::move(held));
  }
}

bool CacheDirectory::on_relayed_events(std::string_view name,
                                       std::uint64_t since,
                                       const CachePollResult& result,
                                       Instant now) {
  const Node* node = find(name);
  if (node == nullptr || !node->last_polled_at || node->epoch != result.epoch ||
      since > node->next) {
    return false;
  }
  on_events(name, result, now);
  return true;
}

std::uint64_t CacheDirectory::next_event(std::string_view name) const {
  const Node* node = find(name);
  if (node == nullptr) {
    return 0;
  }
  // Skip the history of an engine: it has evicted most of these segments by now.
  return node->info.is_store || node->last_polled_at ? node->next : kFromNewestEvent;
}

bool CacheDirectory::holds(const Node& node,
                           std::uint64_t key,
                           std::uint32_t tokens,
                           Instant now) const {
  const auto held = node.segments.find(key);
  if (held == node.segments.end() || held->second.tokens < tokens) {
    return false;
  }
  return !held->second.expected_until || now < *held->second.expected_until;
}

double CacheDirectory::delay_ms(const Node& node, Instant now) {
  const double age = static_cast<double>((now - node.delay_at).ms);
  return node.delay_ms * std::exp2(-age / static_cast<double>(kFetchDelayHalfLife.ms));
}

void CacheDirectory::record_fetch_delay(std::span<const std::optional<Endpoint>> node_endpoints,
                                        Duration delay,
                                        Instant now) {
  for (auto& [name, node] : nodes_) {
    if (std::find(node_endpoints.begin(), node_endpoints.end(), node.info.endpoint) ==
        node_endpoints.end()) {
      continue;
    }
    const double sample = static_cast<double>(std::max<std::int64_t>(0, delay.ms));
    node.delay_ms = (1 - kFetchDelayWeight) * delay_ms(node, now) + kFetchDelayWeight * sample;
    node.delay_at = now;
  }
}

bool CacheDirectory::is_usable(const Node& node, Instant now) {
  return now >= node.excluded_until && node.last_polled_at &&
         (!node.info.is_store || now < *node.last_polled_at + kStoreStateValidity);
}

double CacheDirectory::transfer_ms(const Node& node,
                                   std::string_view zone,
                                   std::uint32_t tokens) const {
  const double factor = node.info.zone == zone ? 1 : kOtherZoneFactor;
  return node.info.transfer_setup_ms + factor * tokens / node.info.tokens_per_ms;
}

double CacheDirectory::wait_ms(const Node& node, Instant now) const {
  const std::uint64_t transfers_ms =
      node.transfer_ms +
      load_aggregator_.peer_load(LoadAggregator::key_of(node.name_hash)).transfer_ms;
  return static_cast<double>(transfers_ms) + delay_ms(node, now);
}

CacheDirectory::FetchCandidates::Candidate CacheDirectory::FetchCandidates::find(
    std::size_t segment,
    const Node& engine) const {
  const auto zone = std::find(zones_.begin(), zones_.end(), engine.info.zone);
  if (zone == zones_.end()) {
    return {};
  }
  const Best& best = segments_[segment][static_cast<std::size_t>(zone - zones_.begin())];
  return best[0].node == &engine ? best[1] : best[0];
}

CacheDirectory::FetchCandidates CacheDirectory::fetch_candidates(
    std::string_view cache_namespace,
    std::span<const PromptSegment> prompt,
    StoreUse use,
    double prefill_tokens_per_ms,
    std::uint64_t tie_breaker,
    Instant now) const {
  FetchCandidates result;
  result.zones_ = zones_;
  for (const PromptSegment& segment : prompt) {
    std::vector<FetchCandidates::Best>& by_zone = result.segments_.emplace_back(zones_.size());
    const std::uint64_t key = key_of(cache_namespace, segment.id);
    const double prefill_ms = kPrefillCostFactor * segment.tokens / prefill_tokens_per_ms;
    const double limit = std::max(kShortFetchMs, prefill_ms);
    for (const auto& [name, node] : nodes_) {
      const auto held = node.segments.find(key);
      // Segments that are only expected may still be in transfer or prefill.
      if (held == node.segments.end() || held->second.tokens < segment.tokens ||
          held->second.expected_until || (node.info.is_store && !use.fetch) ||
          !is_usable(node, now)) {
        continue;
      }
      const double wait = wait_ms(node, now);
      const double extra =
          (node.info.is_store ? 0 : kEvictedShare * prefill_ms) +
          kNodeTieBreakMs * unit_interval(rendezvous_score(tie_breaker, node.name_hash));
      for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
        const double transfer = transfer_ms(node, zones_[zone], segment.tokens);
        const FetchCandidates::Candidate candidate{.node = &node,
                                                   .cost_ms = wait + transfer + extra,
                                                   .wait_ms = wait,
                                                   .transfer_ms = transfer};
        auto& [first, second] = by_zone[zone];
        if (wait + transfer >= limit) {
          continue;
        }
        if (first.node == nullptr || candidate.cost_ms < first.cost_ms) {
          second = std::exchange(first, candidate);
        } else if (second.node == nullptr || candidate.cost_ms < second.cost_ms) {
          second = candidate;
        }
      }
    }
  }
  return result;
}

CacheDirectory::Coverage CacheDirectory::coverage(std::string_view engine,
                                                  std::string_view cache_namespace,
                                                  std::span<const PromptSegment> prompt,
                                                  const FetchCandidates& fetch_candidates,
                                                  Instant now) const {
  const Node* node = find(engine);
  Coverage result;
  double wait = 0;
  // A segment is usable only if all segments before it are available.
  for (std::size_t i = 0; node != nullptr && i < prompt.size(); ++i) {
    if (holds(*node, key_of(cache_namespace, prompt[i].id), prompt[i].tokens, now)) {
      result.held_tokens += prompt[i].tokens;
      continue;
    }
    const FetchCandidates::Candidate holder = fetch_candidates.find(i, *node);
    if (holder.node == nullptr) {
      break;
    }
    result.fetched_tokens += prompt[i].tokens;
    result.fetch_ms += holder.transfer_ms;
    wait = std::max(wait, holder.wait_ms);
  }
  result.fetch_ms += wait;
  return result;
}

bool CacheDirectory::is_in_any_store(std::uint64_t key, std::uint32_t tokens) const {
  return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& item) {
    const auto held = item.second.segments.find(key);
    return item.second.info.is_store && held != item.second.segments.end() &&
           held->second.tokens >= tokens;
  });
}

// Returns a store with room for a segment, or null. Prefers stores whose setup time is short
// compared with the transfer, then stores in the engine's zone, then the longest of the short setup
// times (or the shortest one, if none is short): stores with a short setup time are few and are
// kept for small segments, which need them most.
const CacheDirectory::Node* CacheDirectory::choose_store(const Node& engine,
                                                         std::uint64_t key,
                                                         std::uint32_t tokens,
                                                         Instant now) const {
  struct Rank {
    bool setup_is_short = false;
    bool same_zone = false;
    double transfer_setup_ms = 0;
    std::uint64_t score = 0;
    auto operator<=>(const Rank&) const = default;
  };
  const Node* best = nullptr;
  Rank best_rank;
  for (const auto& [name, node] : nodes_) {
    const double limit = static_cast<double>(node.info.capacity_tokens) * kStoreFillLimit;
    if (!node.info.is_store || !is_usable(node, now) ||
        now < node.epoch_since + kSaveDelayAfterRestart ||
        static_cast<double>(node.stored_tokens + tokens) > limit) {
      continue;
    }
    const bool setup_is_short = tokens >= kSmallSegmentSetupMultiple * node.info.transfer_setup_ms *
                                              node.info.tokens_per_ms;
    const Rank rank{.setup_is_short = setup_is_short,
                    .same_zone = node.info.zone == engine.info.zone,
                    .transfer_setup_ms =
                        setup_is_short ? node.info.transfer_setup_ms : -node.info.transfer_setup_ms,
                    .score = rendezvous_score(key, node.name_hash)};
    if (best == nullptr || rank > best_rank) {
      best = &node;
      best_rank = rank;
    }
  }
  return best;
}

CachePlan CacheDirectory::plan(std::string_view engine_id,
                               std::string_view cache_namespace,
                               std::span<const PromptSegment> prompt,
                               const FetchCandidates& fetch_candidates,
                               StoreUse use,
                               Instant now) const {
  CachePlan plan;
  const Node* engine = find(engine_id);
  if (engine == nullptr) {
    return plan;
  }
  plan.fetch_endpoints.resize(prompt.size());
  plan.save_endpoints.resize(prompt.size());
  plan.transfer_ms.resize(prompt.size());
  bool prefix_available = true;  // All segments so far are held or fetched.
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    const PromptSegment& segment = prompt[i];
    const std::uint64_t key = key_of(cache_namespace, segment.id);
    if (prefix_available) {
      const bool held = holds(*engine, key, segment.tokens, now);
      // Name a node also for segments that the engine is believed to hold. It may have evicted them
      // since its last event, and fetches only the segments that it lacks.
      const FetchCandidates::Candidate holder = fetch_candidates.find(i, *engine);
      prefix_available = held || holder.node != nullptr;
      if (holder.node != nullptr) {
        const CacheNode& node = holder.node->info;
        plan.fetch_endpoints[i] = node.endpoint;
        if (!held) {
          plan.fetched_tokens += segment.tokens;
          plan.fetch_ms = std::max(plan.fetch_ms, holder.wait_ms) + holder.transfer_ms;
          plan.transfer_ms[i] = static_cast<std::uint32_t>(std::ceil(holder.transfer_ms));
        }
        if (node.is_store) {
          const std::int64_t until = holder.node->clock_at_poll_ms + kFetchDeadline.ms;
          plan.fetch_deadline_ms = std::min(plan.fetch_deadline_ms.value_or(until), until);
        }
      }
    }
    const bool shared = i + 1 < prompt.size();
    if (use.save && shared && segment.tokens >= kMinSavedTokens &&
        !is_in_any_store(key, segment.tokens)) {
      if (const Node* store = choose_store(*engine, key, segment.tokens, now)) {
        plan.save_endpoints[i] = store->info.endpoint;
      }
    }
  }
  return plan;
}

void CacheDirectory::record_sent(std::string_view engine_id,
                                 std::string_view cache_namespace,
                                 std::span<const PromptSegment> prompt,
                                 const CachePlan& plan,
                                 Instant now) {
  for (auto& [name, node] : nodes_) {
    for (std::size_t i = 0; i < prompt.size(); ++i) {
      if (i < plan.fetch_endpoints.size() && plan.fetch_endpoints[i] == node.info.endpoint) {
        node.transfer_ms += plan.transfer_ms[i];
      }
      const bool is_destination =
          node.info.is_store
              ? i < plan.save_endpoints.size() && plan.save_endpoints[i] == node.info.endpoint
              : name == engine_id;
      const std::uint64_t key = key_of(cache_namespace, prompt[i].id);
      if (!is_destination || holds(node, key, prompt[i].tokens, now)) {
        continue;
      }
      CachedSegment held{.tokens = prompt[i].tokens,
                         .expected_until = now + kExpectedSegmentValidity};
      held.segment = prompt[i].id;
      if (node.info.is_store) {
        held.cache_namespace = std::string(cache_namespace);
      } else if (i + 1 < prompt.size() && prompt[i].tokens >= kMinPublishedTokens) {
        sent_segments_.push_back({.upstream_key = LoadAggregator::key_of(node.name_hash),
                                  .key = key,
                                  .tokens = prompt[i].tokens});
      }
      set_segment(node, key, std::move(held));
    }
  }
}

void CacheDirectory::record_sent_by_peers(std::span<const SentSegment> segments, Instant now) {
  for (const SentSegment& segment : segments) {
    const auto name = engines_.find(segment.upstream_key);
    if (name == engines_.end()) {
      continue;  // This gateway does not know the engine yet.
    }
    Node& node = nodes_.at(name->second);
    if (!holds(node, segment.key, segment.tokens, now)) {
      set_segment(node, segment.key,
                  {.tokens = segment.tokens, .expected_until = now + kExpectedSegmentValidity});
    }
  }
}

void CacheDirectory::record_fetch_finished(const CachePlan& plan) {
  for (auto& [name, node] : nodes_) {
    for (std::size_t i = 0; i < plan.fetch_endpoints.size(); ++i) {
      if (plan.fetch_endpoints[i] == node.info.endpoint) {
        node.transfer_ms -= std::min<std::uint64_t>(node.transfer_ms, plan.transfer_ms[i]);
      }
    }
  }
}

std::vector<UpstreamLoad> CacheDirectory::transfer_loads() const {
  std::vector<UpstreamLoad> upstream_loads;
  for (const auto& [name, node] : nodes_) {
    if (node.transfer_ms > 0) {
      upstream_loads.push_back({.upstream_key = LoadAggregator::key_of(node.name_hash),
                                .in_flight = {.transfer_ms = node.transfer_ms}});
    }
  }
  return upstream_loads;
}

void CacheDirectory::exclude_from_fetch(std::string_view engine, Instant until) {
  if (const auto found = nodes_.find(engine); found != nodes_.end()) {
    found->second.excluded_until = std::max(found->second.excluded_until, until);
  }
}

std::vector<CacheDirectory::StoredSegment> CacheDirectory::segments_before_version(
    std::string_view store,
    std::string_view model,
    std::uint64_t version) const {
  std::vector<StoredSegment> segments;
  const Node* node = find(store);
  if (node == nullptr) {
    return segments;
  }
  for (const auto& [key, held] : node->segments) {
    const auto stored_version = weight_version_of(held.cache_namespace, model);
    if (!held.expected_until && stored_version && *stored_version < version) {
      segments.push_back({held.cache_namespace, held.segment});
    }
  }
  return segments;
}

std::optional<std::uint64_t> CacheDirectory::epoch(std::string_view name) const {
  const Node* node = find(name);
  return node == nullptr ? std::nullopt : node->epoch;
}

std::vector<CacheNode> CacheDirectory::nodes() const {
  std::vector<CacheNode> result;
  for (const auto& [name, node] : nodes_) {
    result.push_back(node.info);
  }
  return result;
}

}  // namespace bluebellstep
