// Choice of an upstream for a request: estimates of the wait, of cached segments and of the cost at
// each upstream, and admission.

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"
#include "gateway/upstream_pool.h"

namespace bluebellstep {
namespace {

// Estimated wait caused by each request that an engine runs or has in its queue.
constexpr double kWaitMsPerRunning = 0.4;
constexpr double kWaitMsPerQueued = 15;
// Share of an engine's KV cache that prompts of running requests can fill before further requests
// wait, and the wait of a request whose prompt does not fit.
constexpr double kUsableKvShare = 0.9;
constexpr double kNoKvRoomMs = 250;
// Cost of a kilobyte sent to another zone.
constexpr double kOtherZoneMsPerKb = 0.2;
// Half-life of the weight of a reported load.
constexpr double kLoadHalfLifeMs = 400;
// Cost of the round trip to another zone.
constexpr double kOtherZoneMs = 4;
// Shorter segments do not influence the ranking: prefilling them again takes less time than finding
// a cached copy.
constexpr std::uint32_t kMinAffinityTokens = 512;
// Share of the prefill time of shared segments that an upstream is expected to spend if they are
// not known to be in its cache, by the upstream's rank. Other gateways send the segments to the
// first ranks too, so they are likely to be cached there.
constexpr double kRankCostShare[] = {0.35, 0.7, 1.0};
// Upstreams whose scores differ by less than this count as equal, and each request orders them
// differently. Gateways that choose between two load reports see the same loads and would otherwise
// all choose the same upstream. Roughly the wait that all gateways together add between two
// reports.
constexpr double kEngineTieBreakMs = 20;
// Of plain services, as a part of the time of a request.
constexpr double kPlainTieBreakShare = 0.15;
// Prefilling a shared segment again is charged, in addition to the time that it takes.
constexpr double kPrefillPenaltyFactor = 3;
// Added to the cost of an upstream that is used only if one of the version on trial cannot be.
constexpr double kAvoidedVersionMs = 1e6;
constexpr Duration kRetryAfterNoUpstream{400};
constexpr Duration kRetryAfterCold{250};

// Returns the segment by which upstreams are ranked: the first large one. The last segment is not
// considered, since it belongs to the request alone.
std::optional<PromptSegment> first_shared_segment(const PickQuery& query) {
  for (std::size_t i = 0; i + 1 < query.prompt.size(); ++i) {
    if (query.prompt[i].tokens >= kMinAffinityTokens) {
      return query.prompt[i];
    }
  }
  return std::nullopt;
}

}  // namespace

// Returns the work that an upstream has before it starts on a request.
FirstEventPredictor::Work UpstreamPool::queued_work(const Upstream& upstream,
                                                    const PickQuery& query,
                                                    const ServiceTimes& times,
                                                    Instant now) const {
  const double age = static_cast<double>((now - upstream.load_reported_at).ms);
  const double load_weight = std::exp2(-age / kLoadHalfLifeMs);
  InFlightLoad in_flight = load_aggregator_.peer_load(LoadAggregator::key_of(upstream.id_hash));
  in_flight += upstream.in_flight;
  const double slots = std::max<std::uint32_t>(1, upstream.registration.slots);
  if (!query.service->engine) {
    const double open_requests =
        std::max(static_cast<double>(in_flight.requests),
                 load_weight * (upstream.load.running + upstream.load.waiting));
    return {.other_ms = open_requests * times.request_time.mean_ms() / slots};
  }
  const double requests = static_cast<double>(in_flight.requests);
  const double running = std::max(requests, load_weight * upstream.load.running);
  const double waiting =
      std::max(load_weight * upstream.load.waiting, std::max(0.0, requests + 1 - slots));
  FirstEventPredictor::Work work{
      .tokens = static_cast<double>(in_flight.prefill_tokens),
      .other_ms = running * kWaitMsPerRunning + waiting * kWaitMsPerQueued};
  // Running requests keep their prompts in the KV cache. A request that does not fit waits until
  // others end.
  const double usable_kv_tokens =
      static_cast<double>(query.service->engine->kv_capacity_tokens) * kUsableKvShare;
  const double needed_kv_tokens =
      static_cast<double>(in_flight.prompt_tokens) + query.prompt_tokens;
  if (needed_kv_tokens > usable_kv_tokens && usable_kv_tokens > 0) {
    work.other_ms += kNoKvRoomMs * needed_kv_tokens / usable_kv_tokens;
  }
  return work;
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
  // The request may be from before the newest configuration.
  const bool isolated =
      query.account != nullptr &&
      (query.account->isolated || cache_namespaces_.is_isolated(query.account->name));
  added.cache_namespace =
      isolated ? CacheNamespaces::of_account(query.model, version, query.account->name)
               : cache_namespaces_.shared(query.model, version);
  const auto rollout = rollouts_.find(query.model);
  added.stores = {
      .fetch = rollout == rollouts_.end() || version >= rollout->second.complete_version,
      .save = version >= newest_target(query.model)};
  added.fetch_candidates = cache_.fetch_candidates(
      added.cache_namespace, query.prompt, added.stores,
      times_of(*query.service).predictor.tokens_per_ms(), query.tie_breaker, now);
  return cache_states.emplace(version, std::move(added)).first->second;
}

// Returns a small cost that orders equal upstreams differently for each request.
double UpstreamPool::tie_break_ms(double position,
                                  const PickQuery& query,
                                  const ServiceTimes& times) {
  return position * (query.service->engine ? kEngineTieBreakMs
                                           : kPlainTieBreakShare * times.request_time.mean_ms());
}

// Estimates the cost of sending a request to an upstream. `rank` is the position of the upstream in
// the affinity order of the prompt's first shared segment.
UpstreamPool::Estimate UpstreamPool::estimate(const Upstream& upstream,
                                              const PickQuery& query,
                                              const ServiceTimes& times,
                                              std::size_t rank,
                                              CacheStateByVersion& cache_states,
                                              Instant now) const {
  const FirstEventPredictor& predictor = times.predictor;
  const double tokens_per_ms = predictor.tokens_per_ms();
  Estimate result{.queued = queued_work(upstream, query, times, now),
                  .speed_factor = upstream.speed.factor(times.speed, now)};
  const double position = unit_interval(rendezvous_score(query.tie_breaker, upstream.id_hash));
  const double factor = factor_for_choice(result.speed_factor, position);
  result.cost_ms = factor * (result.queued.tokens / tokens_per_ms + result.queued.other_ms) +
                   tie_break_ms(position, query, times);
  if (upstream.registration.zone != query.zone) {
    result.cost_ms +=
        kOtherZoneMs + kOtherZoneMsPerKb * static_cast<double>(query.body_bytes) / 1024;
  }
  if (service_rollouts_ != nullptr &&
      service_rollouts_->avoids(query.service->name, upstream.registration.software_version)) {
    result.cost_ms += kAvoidedVersionMs;
  }
  if (!query.service->engine) {
    // As below, own work counts as far as it differs from that at an upstream of usual speed.
    if (factor != 1) {
      result.cost_ms += (factor - 1) * times.request_time.expect_ms(query.route);
    }
    return result;
  }
  const PromptCacheState& known = cache_state_of(upstream, query, cache_states, now);
  const CacheDirectory::Coverage coverage = cache_.coverage(
      upstream.registration.id, known.cache_namespace, query.prompt, known.fetch_candidates, now);
  result.cost_ms += coverage.fetch_ms;
  const std::uint32_t own = query.prompt.empty() ? 0 : query.prompt.back().tokens;
  const std::uint32_t shared = query.prompt_tokens - std::min(own, query.prompt_tokens);
  const std::uint32_t covered = coverage.held_tokens + coverage.fetched_tokens;
  result.own = {
      .tokens = static_cast<double>(query.prompt_tokens - std::min(covered, query.prompt_tokens)),
      .fetch_ms = coverage.fetch_ms};
  // The own work is charged as far as it differs from that at an upstream of usual speed.
  result.cost_ms += (factor - 1) * (predictor.predict_ms(result.own) - coverage.fetch_ms);
  if (covered < shared) {
    const double cost =
        kRankCostShare[std::min(rank, std::size(kRankCostShare) - 1)] * kPrefillPenaltyFactor;
    result.cost_ms += cost * (shared - covered) / tokens_per_ms;
  }
  if (version_of(upstream, query.model).value_or(0) < newest_target(query.model)) {
    // Answers from older weights are worth less to the caller.
    constexpr double kOlderWeightsMs = 120;
    result.cost_ms += kOlderWeightsMs;
  }
  return result;
}

AdmissionInputs UpstreamPool::admission_inputs(const Estimate& estimate,
                                               const PickQuery& query,
                                               const FirstEventPredictor& predictor) {
  const double queue_ms =
      estimate.queued.tokens / predictor.tokens_per_ms() + estimate.queued.other_ms;
  const double work_ms = predictor.predict_ms(estimate.own) - estimate.own.fetch_ms;
  const bool is_urgent = query.priority <= query.service->urgent_priority;
  return {
      .queue_ms = estimate.speed_factor * queue_ms,
      .own_ms = estimate.speed_factor * work_ms + estimate.own.fetch_ms,
      .latency_goal = query.latency_goal,
      .urgent_goal = is_urgent ? std::nullopt : std::optional(query.service->urgent_latency_goal),
      .time_left = query.time_left,
      .resumes = query.resumes};
}

// Whether under half of an engine's slots are taken and nothing waits there. Engines prefill one
// prompt after another, so a second request in flight may wait for the first.
bool UpstreamPool::has_idle_slots(const Upstream& upstream, Instant now) const {
  const double age = static_cast<double>((now - upstream.load_reported_at).ms);
  const double load_weight = std::exp2(-age / kLoadHalfLifeMs);
  const std::uint32_t in_flight =
      upstream.in_flight.requests +
      load_aggregator_.peer_load(LoadAggregator::key_of(upstream.id_hash)).requests;
  return in_flight <= 1 && 2 * in_flight < upstream.registration.slots &&
         load_weight * (upstream.load.running + upstream.load.waiting) < 2;
}

OverloadRequest UpstreamPool::overload_request_of(const PickQuery& query) {
  return {.service = query.service->name,
          .account = query.account == nullptr ? "" : std::string_view(query.account->name),
          .priority = query.priority,
          .urgent_priority = query.service->urgent_priority,
          .prompt_tokens = query.prompt_tokens,
          .id_hash = query.tie_breaker};
}

PickResult UpstreamPool::pick(const PickQuery& query, Instant now) {
  struct Candidate {
    Upstream* upstream;
    std::uint64_t affinity;
  };
  std::vector<Candidate> candidates;
  const auto shared = first_shared_segment(query);
  const double own_share = cold_limit_.traffic_share(now);
  bool request_limited = false;
  std::optional<Instant> first_hold_end;
  for (int pass = 0; pass < 2 && candidates.empty(); ++pass) {
    // Ejected upstreams are used only if there is no other.
    const bool include_ejected = pass == 1;
    for (auto& [id, upstream] : upstreams_) {
      if (!may_receive(upstream, query, now)) {
        continue;
      }
      if (now < upstream.held_off_until) {
        first_hold_end =
            std::min(first_hold_end.value_or(upstream.held_off_until), upstream.held_off_until);
        continue;
      }
      if (!include_ejected && !is_healthy(upstream, query, now)) {
        continue;
      }
      apply_peer_reports(upstream, now);
      if (!cold_limit_.allows(upstream.limit, upstream.registration.zone, *query.service, own_share,
                              now)) {
        request_limited = true;
        continue;
      }
      candidates.push_back(
          {&upstream, shared ? rendezvous_score(shared->id, upstream.id_hash) : std::uint64_t{0}});
    }
  }
  if (candidates.empty() && !request_limited && first_hold_end) {
    return NoUpstreamAvailable{*first_hold_end - now, "upstreams_hold_off"};
  }
  if (candidates.empty()) {
    return request_limited ? NoUpstreamAvailable{kRetryAfterCold, "upstreams_cold"}
                           : NoUpstreamAvailable{kRetryAfterNoUpstream, "no_upstream"};
  }
  if (shared) {
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) { return a.affinity > b.affinity; });
  }
  const ServiceTimes& times = times_of(*query.service);
  const bool may_refuse = query.service->engine && query.latency_goal > Duration{0};
  const Candidate* best = nullptr;
  Estimate best_estimate;
  NoUpstreamAvailable refusal{.reason = "overloaded"};
  const bool sheds = may_refuse && limits_.load_shedding;
  const OverloadRequest overload_request = overload_request_of(query);
  const OverloadState overload =
      sheds ? overload_policy_.state(overload_request, now) : OverloadState{};
  double refused_tokens = 0;
  CacheStateByVersion cache_states;
  for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
    const Estimate candidate =
        estimate(*candidates[rank].upstream, query, times, rank, cache_states, now);
    if (may_refuse) {
      AdmissionInputs inputs = admission_inputs(candidate, query, times.predictor);
      inputs.has_idle_slots = sheds && has_idle_slots(*candidates[rank].upstream, now);
      if (const auto delay = OverloadPolicy::retry_delay(inputs, overload)) {
        if (!refusal.admission || inputs.queue_ms < refusal.admission->inputs.queue_ms) {
          refusal.retry_after = *delay;
          refusal.admission = {.inputs = inputs, .state = overload};
          refused_tokens = candidate.own.tokens;
        }
        continue;
      }
    }
    if (best == nullptr || candidate.cost_ms < best_estimate.cost_ms) {
      best = &candidates[rank];
      best_estimate = candidate;
    }
  }
  if (best == nullptr) {
    if (sheds) {
      overload_policy_.record_refused(overload_request, {static_cast<std::int64_t>(refused_tokens)},
                                      now);
    }
    return refusal;
  }
  PickedUpstream picked = plan_request(*best->upstream, best_estimate, query, cache_states, now);
  if (overload.standing.refused_share > 0) {
    picked.admission = {.inputs = admission_inputs(best_estimate, query, times.predictor),
                        .state = overload};
  }
  return picked;
}

PickedUpstream UpstreamPool::plan_request(const Upstream& upstream,
                                          const Estimate& estimate,
                                          const PickQuery& query,
                                          CacheStateByVersion& cache_states,
                                          Instant now) const {
  const UpstreamRegistration& registration = upstream.registration;
  PickedUpstream picked{.upstream_id = registration.id,
                        .endpoint = registration.endpoint,
                        .software_version = registration.software_version,
                        .weight_version = version_of(upstream, query.model),
                        .speed_factor = estimate.speed_factor};
  if (!query.service->engine) {
    // It waits if all slots are taken.
    const double slots = std::max<std::uint32_t>(1, registration.slots);
    const RequestTime& request_time = times_of(*query.service).request_time;
    const double ms_until_full = request_time.mean_ms() * (slots - 1) / slots;
    picked.expected_work.other_ms = request_time.expect_ms(query.route) +
                                    std::max(0.0, estimate.queued.other_ms - ms_until_full);
    return picked;
  }
  const PromptCacheState& known = cache_state_of(upstream, query, cache_states, now);
  const CacheDirectory::Coverage coverage = cache_.coverage(
      registration.id, known.cache_namespace, query.prompt, known.fetch_candidates, now);
  picked.cache_namespace = known.cache_namespace;
  picked.held_tokens = coverage.held_tokens;
  picked.cache_plan = cache_.plan(registration.id, known.cache_namespace, query.prompt,
                                  known.fetch_candidates, known.stores, now);
  picked.uncached_tokens =
      query.prompt_tokens -
      std::min(query.prompt_tokens, coverage.held_tokens + picked.cache_plan.fetched_tokens);
  picked.expected_work = {.tokens = estimate.queued.tokens + picked.uncached_tokens,
                          .fetch_ms = picked.cache_plan.fetch_ms,
                          .other_ms = estimate.queued.other_ms};
  return picked;
}

}  // namespace bluebellstep
