// Choice of upstreams: waits, cached parts, cold upstreams, failures. Weight versions are in
// upstream_weights.cc.

#include "gateway/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace bluebellstep {
namespace {

// Prompt tokens that an engine reads in a millisecond, by the deployments' sheets.
constexpr double kPrefillTokensPerMs = 50;
// Added wait by each request that an engine runs or holds in its queue, in ms.
constexpr double kWaitMsPerRunning = 0.4;
constexpr double kWaitMsPerQueued = 15;
// Share of an engine's memory that prompts of running requests can fill before others wait, and the
// wait of a request that finds no room, in ms.
constexpr double kUsableKvShare = 0.9;
constexpr double kNoKvRoomMs = 250;
// Cost of a kilobyte that is sent to another zone, in ms.
constexpr double kOtherZoneMsPerKb = 0.2;
// Work of one request at a plain service, in ms; only ratios of waits matter.
constexpr double kPlainRequestMs = 20;
// A reported load counts half after this time.
constexpr double kLoadHalfLifeMs = 400;
// Cost of another zone: the way there and back, and the bytes. In ms.
constexpr double kOtherZoneMs = 4;
// Parts that are shared by less than this are read again sooner than looked for.
constexpr std::uint32_t kMinAffinityTokens = 512;
// Share of the time to read a shared part that the choice of an upstream of this rank costs where
// nothing is known of its cache: other gateways send the part to the first ranks too.
constexpr double kRankCostShare[] = {0.35, 0.7, 1.0};
// Upstreams whose scores differ by less than this count as equal, and each request orders them in
// its own way: gateways that choose within the time of a report see the same loads, and would all
// choose the same upstream. About the wait that all gateways together add in that time, in ms.
constexpr double kEngineTieBreakMs = 20;
constexpr double kPlainTieBreakMs = 3;
// Shared parts that are read again are charged besides the time that they take.
constexpr double kPrefillPenaltyFactor = 3;

constexpr Duration kEjectUnreachable{400};
// A fetch from an engine that is gone takes some hundred ms.
constexpr Duration kFetchExclusion{3000};
constexpr Duration kEjectMisdirected{200};
// The entry of an upstream that crashed vanishes after three of its reports are missing.
constexpr Duration kEjectReplaced{4000};
// Time from a read prompt to the first event, with the way there and back, in ms.
constexpr double kFirstTokenMs = 30;
constexpr Duration kEjectFull{100};
// About the time in which an engine lets its runs finish and loads weights.
constexpr Duration kEjectLoadingWeights{800};
constexpr Duration kRateWindow{1000};
// Part of the bound on cold upstreams that is used; the rest covers late arrivals.
constexpr double kColdSafetyShare = 0.85;
// An upstream that is not known to be cold may get this multiple, in case it turned cold.
constexpr double kWarmFactor = 2;
// A gateway counts with at most this multiple of an even share of all requests.
constexpr double kMaxMultipleOfEvenShare = 4;
constexpr Duration kRetryAfterNoUpstream{400};
constexpr Duration kRetryAfterCold{250};
// Part of `max_connections` that is used.
constexpr double kConnectionSafetyShare = 0.9;

// Key of a prompt for the ranking of upstreams: its first large part that others share.
std::optional<PromptPart> first_shared_segment(const PickQuery& query) {
  for (std::size_t i = 0; i + 1 < query.prompt.size(); ++i) {
    if (query.prompt[i].tokens >= kMinAffinityTokens) {
      return query.prompt[i];
    }
  }
  return std::nullopt;
}

void remove_until(std::deque<Instant>& times, Instant limit) {
  while (!times.empty() && times.front() <= limit) {
    times.pop_front();
  }
}

}  // namespace

void UpstreamPool::put(UpstreamEntry entry, Instant now) {
  const auto found = upstreams_.find(entry.id);
  const bool is_new_start = found == upstreams_.end() ||
                            found->second.entry.started_ms != entry.started_ms ||
                            found->second.entry.endpoint != entry.endpoint;
  if (is_new_start) {
    Upstream upstream;
    // Finished requests of the earlier start are still reported.
    upstream.in_flight = found == upstreams_.end() ? InFlightLoad{} : found->second.in_flight;
    upstream.cold_until = now + entry.cold_left;
    std::string id = entry.id;
    upstream.id_hash = hash64(id);
    upstream.entry = std::move(entry);
    upstreams_.insert_or_assign(std::move(id), std::move(upstream));
    return;
  }
  Upstream& upstream = found->second;
  upstream.cold_until = std::max(upstream.cold_until, now + entry.cold_left);
  for (const auto& [model, version] : upstream.entry.weight_versions) {
    // Versions only rise, and responses show them before the entry does.
    std::uint64_t& newest = entry.weight_versions[model];
    newest = std::max(newest, version);
  }
  upstream.entry = std::move(entry);
  upstream.kept_until.reset();
}

void UpstreamPool::remove(std::string_view id, Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  const bool around_outage =
      store_unreachable_since_ ||
      (store_reachable_since_ && now < *store_reachable_since_ + limits_.reregistration_grace);
  if (around_outage && !found->second.entry.leaving) {
    found->second.kept_until =
        (store_reachable_since_ ? *store_reachable_since_ : now) + limits_.reregistration_grace;
    return;
  }
  upstreams_.erase(found);
}

void UpstreamPool::replace_all(std::vector<UpstreamEntry> entries, Instant now) {
  std::set<std::string, std::less<>> present;
  for (UpstreamEntry& entry : entries) {
    present.insert(entry.id);
    put(std::move(entry), now);
  }
  std::vector<std::string> missing;
  for (const auto& [id, upstream] : upstreams_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    remove(id, now);
  }
}

void UpstreamPool::set_store_reachable(bool reachable, Instant now) {
  if (!reachable) {
    store_unreachable_since_ = store_unreachable_since_.value_or(now);
    store_reachable_since_.reset();
  } else if (store_unreachable_since_) {
    store_unreachable_since_.reset();
    store_reachable_since_ = now;
  }
}

void UpstreamPool::remove_expired_entries(Instant now) {
  if (store_unreachable_since_) {
    return;
  }
  std::erase_if(upstreams_, [&](const auto& item) {
    const auto& until = item.second.kept_until;
    return until && now >= std::max(*until, *store_reachable_since_ + limits_.reregistration_grace);
  });
}

bool UpstreamPool::is_cold(const Upstream& upstream, Instant now) const {
  return now < upstream.cold_until;
}

// The part of all gateways' requests that this one sends. The balancer divides connections
// unevenly, so that an even share would bind the busiest gateways long before the upstreams are
// busy.
double UpstreamPool::traffic_share(Instant now) {
  remove_until(recent_sends_, now - kRateWindow);
  const auto own = static_cast<double>(recent_sends_.size()) + 1;
  const auto from_peers = static_cast<double>(load_aggregator_.recent_requests_from_peers());
  const double even = 1 / static_cast<double>(gateways_);
  if (from_peers == 0) {
    return even;  // Nobody is heard, which does not mean that nobody sends.
  }
  return std::clamp(own / (own + from_peers), even, std::min(1.0, kMaxMultipleOfEvenShare * even));
}

bool UpstreamPool::within_send_limit(Upstream& upstream,
                                     const ServiceInfo& service,
                                     double traffic_share,
                                     Instant now) const {
  remove_until(upstream.recent_sends, now - kRateWindow);
  if (service.cold_requests_per_s <= 0) {
    return true;
  }
  const double bound = service.cold_requests_per_s * limits_.cold_overage + limits_.cold_slack;
  const double share =
      is_cold(upstream, now) ? 1 / static_cast<double>(gateways_) : kWarmFactor * traffic_share;
  return static_cast<double>(upstream.recent_sends.size()) + 1 <=
         std::max(1.0, bound * kColdSafetyShare * share);
}

// Whether an upstream that may get the query seems to serve at present.
bool UpstreamPool::is_healthy(Upstream& upstream, const PickQuery& query, Instant now) const {
  const std::uint32_t from_peers =
      load_aggregator_.from_peers(LoadAggregator::key_of(upstream.id_hash)).consecutive_failures;
  return now >= upstream.ejected_until &&
         upstream.health.may_receive(query.may_retry, from_peers, now);
}

bool UpstreamPool::may_receive(const Upstream& upstream,
                               const PickQuery& query,
                               Instant now) const {
  const UpstreamEntry& entry = upstream.entry;
  if (entry.leaving || entry.service != query.service->name ||
      zones_out_of_service_.contains(entry.zone) ||
      std::find(query.excluded_ids.begin(), query.excluded_ids.end(), entry.id) !=
          query.excluded_ids.end()) {
    return false;
  }
  if (query.model.empty() || !query.service->engine) {
    return true;
  }
  const auto version = version_of(upstream, query.model);
  return version && !is_past_limit(*version, query.model, now);
}

double UpstreamPool::estimated_wait_ms(const Upstream& upstream,
                                       const PickQuery& query,
                                       Instant now) const {
  const double age = static_cast<double>((now - upstream.load_at).ms);
  const double load_weight = std::exp2(-age / kLoadHalfLifeMs);
  InFlightLoad in_flight = load_aggregator_.from_peers(LoadAggregator::key_of(upstream.id_hash));
  in_flight += upstream.in_flight;
  if (!query.service->engine) {
    const double open_requests =
        std::max(static_cast<double>(in_flight.requests),
                 load_weight * (upstream.load.running + upstream.load.waiting));
    const double slots = std::max<std::uint32_t>(1, upstream.entry.slots);
    return open_requests * kPlainRequestMs / slots;
  }
  const double running =
      std::max(static_cast<double>(in_flight.requests), load_weight * upstream.load.running);
  double wait = static_cast<double>(in_flight.prefill_tokens) / kPrefillTokensPerMs +
                running * kWaitMsPerRunning +
                load_weight * upstream.load.waiting * kWaitMsPerQueued;
  // Running requests keep their prompts in memory; one that finds no room waits for others to end.
  const double usable_kv_tokens =
      static_cast<double>(query.service->engine->kv_capacity_tokens) * kUsableKvShare;
  const double needed_kv_tokens = static_cast<double>(in_flight.held_tokens) + query.prompt_tokens;
  if (needed_kv_tokens > usable_kv_tokens && usable_kv_tokens > 0) {
    wait += kNoKvRoomMs * needed_kv_tokens / usable_kv_tokens;
  }
  return wait;
}

const UpstreamPool::PromptCacheState& UpstreamPool::cache_state_of(
    const Upstream& upstream,
    const PickQuery& query,
    CacheStateByVersion& cache_states,
    Instant now) const {
  const std::uint64_t version = version_of(upstream, query.model).value_or(0);
  const auto known = cache_states.find(version);
  if (known != cache_states.end()) {
    return known->second;
  }
  PromptCacheState added;
  const bool isolated = query.account != nullptr && query.account->isolated;
  added.scope = cache_namespace(query.model, version, isolated ? query.account->name : "");
  const auto rollout = rollouts_.find(query.model);
  added.stores = {
      .fetch = rollout == rollouts_.end() || version >= rollout->second.complete_version,
      .save = version >= newest_target(query.model)};
  added.fetch_candidates =
      cache_.fetch_candidates(added.scope, query.prompt, added.stores, query.tie_breaker, now);
  return cache_states.emplace(version, std::move(added)).first->second;
}

double UpstreamPool::tie_break_ms(const Upstream& upstream, const PickQuery& query) {
  const double limit = query.service->engine ? kEngineTieBreakMs : kPlainTieBreakMs;
  return limit * unit_interval(rendezvous_score(query.tie_breaker, upstream.id_hash));
}

double UpstreamPool::score(const Upstream& upstream,
                           const PickQuery& query,
                           std::size_t rank,
                           CacheStateByVersion& cache_states,
                           Instant now) const {
  double score = estimated_wait_ms(upstream, query, now) + tie_break_ms(upstream, query);
  if (upstream.entry.zone != query.zone) {
    score += kOtherZoneMs + kOtherZoneMsPerKb * static_cast<double>(query.body_bytes) / 1024;
  }
  if (!query.service->engine) {
    return score;
  }
  const PromptCacheState& known = cache_state_of(upstream, query, cache_states, now);
  const CacheDirectory::Coverage coverage =
      cache_.coverage(upstream.entry.id, known.scope, query.prompt, known.fetch_candidates, now);
  score += coverage.fetch_ms;
  const std::uint32_t own = query.prompt.empty() ? 0 : query.prompt.back().tokens;
  const std::uint32_t shared = query.prompt_tokens - std::min(own, query.prompt_tokens);
  const std::uint32_t covered = coverage.held_tokens + coverage.fetched_tokens;
  if (covered < shared) {
    const double cost =
        kRankCostShare[std::min(rank, std::size(kRankCostShare) - 1)] * kPrefillPenaltyFactor;
    score += cost * (shared - covered) / kPrefillTokensPerMs;
  }
  if (version_of(upstream, query.model).value_or(0) < newest_target(query.model)) {
    // Answers of older weights count less.
    constexpr double kOlderWeightsMs = 120;
    score += kOlderWeightsMs;
  }
  return score;
}

PickResult UpstreamPool::pick(const PickQuery& query, Instant now) {
  struct Candidate {
    Upstream* upstream;
    std::uint64_t affinity;
  };
  std::vector<Candidate> candidates;
  const auto shared = first_shared_segment(query);
  const double own_share = traffic_share(now);
  bool send_limited = false;
  for (int pass = 0; pass < 2 && candidates.empty(); ++pass) {
    // Upstreams that failed just now are used only where there is no other.
    const bool include_ejected = pass == 1;
    for (auto& [id, upstream] : upstreams_) {
      if (!may_receive(upstream, query, now) ||
          (!include_ejected && !is_healthy(upstream, query, now))) {
        continue;
      }
      if (!within_send_limit(upstream, *query.service, own_share, now)) {
        send_limited = true;
        continue;
      }
      candidates.push_back(
          {&upstream, shared ? rendezvous_score(shared->id, upstream.id_hash) : std::uint64_t{0}});
    }
  }
  if (candidates.empty()) {
    return send_limited ? NoUpstreamAvailable{kRetryAfterCold, "upstreams_cold"}
                        : NoUpstreamAvailable{kRetryAfterNoUpstream, "no_upstream"};
  }
  if (shared) {
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) { return a.affinity > b.affinity; });
  }
  const Candidate* best = nullptr;
  double best_score = 0;
  CacheStateByVersion cache_states;
  for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
    const double value = score(*candidates[rank].upstream, query, rank, cache_states, now);
    if (best == nullptr || value < best_score) {
      best = &candidates[rank];
      best_score = value;
    }
  }
  const UpstreamEntry& entry = best->upstream->entry;
  PickedUpstream picked{.upstream_id = entry.id,
                        .endpoint = entry.endpoint,
                        .weight_version = version_of(*best->upstream, query.model),
                        .expected_ms = estimated_wait_ms(*best->upstream, query, now)};
  if (query.service->engine) {
    const PromptCacheState& known = cache_state_of(*best->upstream, query, cache_states, now);
    const CacheDirectory::Coverage coverage =
        cache_.coverage(entry.id, known.scope, query.prompt, known.fetch_candidates, now);
    picked.cache_namespace = known.scope;
    picked.held_tokens = coverage.held_tokens;
    picked.cache =
        cache_.plan(entry.id, known.scope, query.prompt, known.fetch_candidates, known.stores, now);
    picked.uncached_tokens =
        query.prompt_tokens -
        std::min(query.prompt_tokens, coverage.held_tokens + picked.cache.fetched_tokens);
  }
  return picked;
}

void UpstreamPool::record_sent(const PickedUpstream& picked, const PickQuery& query, Instant now) {
  const auto found = upstreams_.find(picked.upstream_id);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.in_flight +=
      {.requests = 1, .prefill_tokens = picked.uncached_tokens, .held_tokens = query.prompt_tokens};
  upstream.recent_sends.push_back(now);
  upstream.health.record_sent();
  recent_sends_.push_back(now);
  if (query.service->engine) {
    cache_.record_sent(picked.upstream_id, picked.cache_namespace, query.prompt, picked.cache, now);
  }
  if (prompt_sent_callback_ && picked.uncached_tokens > 0) {
    prompt_sent_callback_(picked.uncached_tokens);
  }
}

void UpstreamPool::prompt_read(const PickedUpstream& picked) {
  cache_.record_fetch_finished(picked.cache);
  if (const auto found = upstreams_.find(picked.upstream_id); found != upstreams_.end()) {
    std::uint64_t& remaining = found->second.in_flight.prefill_tokens;
    remaining -= std::min<std::uint64_t>(remaining, picked.uncached_tokens);
  }
}

void UpstreamPool::record_answer_began(const PickedUpstream& picked,
                                       Duration elapsed,
                                       Instant now) {
  if (!picked.cache.fetches()) {
    return;
  }
  const auto expected =
      static_cast<std::int64_t>(picked.expected_ms + picked.cache.fetch_ms +
                                picked.uncached_tokens / kPrefillTokensPerMs + kFirstTokenMs);
  cache_.record_fetch_delay(picked.cache.fetch, elapsed - Duration{expected}, now);
}

void UpstreamPool::record_finished(std::string_view id,
                                   std::uint32_t held_tokens,
                                   SendOutcome outcome,
                                   Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  InFlightLoad& in_flight = upstream.in_flight;
  in_flight.requests -= in_flight.requests > 0 ? 1 : 0;
  in_flight.held_tokens -= std::min<std::uint64_t>(in_flight.held_tokens, held_tokens);
  if (in_flight.requests == 0) {
    // Whatever is left would be told to the other gateways for good.
    in_flight = {};
  }
  switch (outcome) {
    case SendOutcome::kAnswered:
      upstream.health.record_success(now);
      return;
    case SendOutcome::kError:
      upstream.health.record_error_response(now);
      return;
    case SendOutcome::kRejected:
      upstream.health.cancel_trial();
      // Full, or loading weights: either takes a while to pass.
      upstream.ejected_until =
          std::max(upstream.ejected_until,
                   now + (has_older_weights(upstream) ? kEjectLoadingWeights : kEjectFull));
      return;
    case SendOutcome::kCallerLeft:
      upstream.health.cancel_trial();
      return;
    case SendOutcome::kNotReached:
      upstream.health.cancel_trial();
      upstream.ejected_until = now + kEjectUnreachable;
      cache_.exclude_from_fetch(id, now + kFetchExclusion);
      return;
    case SendOutcome::kFailed:
      upstream.health.record_failure(now);
      if (upstream.health.consecutive_failures() >= UpstreamHealth::kFailuresToEject) {
        cache_.exclude_from_fetch(id, now + kFetchExclusion);
      }
      return;
  }
}

void UpstreamPool::record_load(std::string_view id, const ReportedLoad& load, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    found->second.load = load;
    found->second.load_at = now;
  }
}

void UpstreamPool::record_misdirected(std::string_view id, bool replaced, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    found->second.ejected_until = now + (replaced ? kEjectReplaced : kEjectMisdirected);
  }
}

LoadReport UpstreamPool::make_load_report(Instant now) {
  remove_until(recent_sends_, now - kRateWindow);
  LoadReport report;
  report.recent_requests = static_cast<std::uint32_t>(recent_sends_.size());
  report.upstream_loads = cache_.transfer_loads();
  report.parts = cache_.take_sent_segments();
  for (const auto& [id, upstream] : upstreams_) {
    InFlightLoad own_load = upstream.in_flight;
    own_load.consecutive_failures = upstream.health.consecutive_failures();
    if (own_load != InFlightLoad{}) {
      report.upstream_loads.push_back(
          {.upstream = LoadAggregator::key_of(upstream.id_hash), .in_flight = own_load});
    }
  }
  return report;
}

std::size_t UpstreamPool::connection_limit(const ServiceInfo& service) const {
  const double share = static_cast<double>(service.max_connections) * kConnectionSafetyShare /
                       static_cast<double>(gateways_);
  return std::max<std::size_t>(2, static_cast<std::size_t>(share));
}

}  // namespace bluebellstep
