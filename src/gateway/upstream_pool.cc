// Upstreams, limits of their request rates, and their health. The choice of an upstream is in
// upstream_choice.cc, what is learnt from answers in upstream_times.cc, weight versions are in
// upstream_weights.cc.

#include "gateway/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "base/hash.h"
#include "base/log_event.h"

namespace bluebellstep {
namespace {

constexpr Duration kUnreachableEjection{400};
constexpr Duration kMaxUnreachableEjection{3200};
// A fetch from an engine that has stopped fails only after some hundred milliseconds.
constexpr Duration kFetchExclusion{3000};
constexpr Duration kMisdirectedEjection{200};
// The registration of a crashed upstream is removed after three missed reports.
constexpr Duration kReplacedEjection{4000};
constexpr Duration kFullEjection{100};
// Roughly the time in which an engine completes its runs and loads new weights.
constexpr Duration kLoadingWeightsEjection{800};
// A failed connection is reported to the other gateways for this time.
constexpr Duration kUnreachableReportTime{1500};
// The reports count if at least two gateways, and one of so many, cannot reach the upstream: the
// fault may also be at the gateway that reports it.
constexpr std::size_t kMinUnreachableReports = 2;
constexpr std::size_t kGatewaysPerUnreachableReport = 20;
// An upstream that leaves has ended by then.
constexpr Duration kLeftMemory{60'000};
// In an outage of the store, many upstreams may have no registration.
constexpr Duration kDoubtfulUseLogInterval{1000};
// Share of `max_connections` that is used.
constexpr double kConnectionSafetyShare = 0.9;

}  // namespace

void UpstreamPool::put(UpstreamRegistration registration, Instant now) {
  const auto found = upstreams_.find(registration.id);
  const bool is_new_start = found == upstreams_.end() ||
                            found->second.registration.started_ms != registration.started_ms ||
                            found->second.registration.endpoint != registration.endpoint;
  if (is_new_start) {
    Upstream upstream;
    std::string id = registration.id;
    upstream.id_hash = hash64(id);
    if (found != upstreams_.end()) {
      // Requests sent before the restart are still in flight and will be recorded as finished.
      // Those sent within the last second may have reached the new process.
      upstream.in_flight = found->second.in_flight;
      cold_limit_.keep_counts(std::move(found->second.limit));
    } else {
      upstream.says_it_leaves = has_left(registration);
    }
    upstream.limit = cold_limit_.take_counts(upstream.id_hash, now);
    upstream.known_since = now;
    upstream.limit.cold_until = now + registration.remaining_cold_time;
    upstream.start_tag = start_tag(registration);
    for (const auto& [model, version] : registration.weight_versions) {
      upstream.weights_stated_at[model] = now;
    }
    upstream.registration = std::move(registration);
    registration_grace_.forget(id);
    upstreams_.insert_or_assign(std::move(id), std::move(upstream));
    return;
  }
  Upstream& upstream = found->second;
  upstream.limit.cold_until =
      std::max(upstream.limit.cold_until, now + registration.remaining_cold_time);
  for (const auto& [model, version] : upstream.registration.weight_versions) {
    // Answers state a version before the registration does, so a registration never lowers it.
    std::uint64_t& newest = registration.weight_versions[model];
    if (newest > version) {
      upstream.weights_stated_at[model] = now;
    }
    newest = std::max(newest, version);
  }
  upstream.registration = std::move(registration);
  registration_grace_.forget(upstream.registration.id);
}

void UpstreamPool::remove(std::string_view id, Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  if (is_leaving(found->second) || !registration_grace_.keep(id, now)) {
    erase(found, now);
  }
}

void UpstreamPool::remove_left(std::string_view id, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    found->second.says_it_leaves = true;
    erase(found, now);
  }
}

std::vector<std::string> UpstreamPool::left_upstreams(Instant now) const {
  std::vector<std::string> ids;
  for (const auto& [id, left] : left_) {
    if (now < left.until && !contains(id)) {
      ids.push_back(id);
    }
  }
  return ids;
}

void UpstreamPool::discard(std::string_view id, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    erase(found, now);
  }
}

UpstreamPool::Upstreams::iterator UpstreamPool::erase(Upstreams::iterator entry, Instant now) {
  Upstream& upstream = entry->second;
  const UpstreamRegistration& registration = upstream.registration;
  if (is_leaving(upstream)) {
    left_[entry->first] = {.started_ms = registration.started_ms,
                           .endpoint = registration.endpoint,
                           .until = now + kLeftMemory};
  } else if (const auto left = left_.find(entry->first); left != left_.end()) {
    left_.erase(left);  // Of an earlier start.
  }
  cold_limit_.keep_counts(std::move(upstream.limit));
  registration_grace_.forget(entry->first);
  return upstreams_.erase(entry);
}

bool UpstreamPool::has_left(const UpstreamRegistration& registration) const {
  // Starts of an upstream that does not state its start time cannot be told apart.
  const auto left = left_.find(registration.id);
  return left != left_.end() && registration.started_ms != 0 &&
         left->second.started_ms == registration.started_ms &&
         left->second.endpoint == registration.endpoint;
}

void UpstreamPool::replace_all(std::vector<UpstreamRegistration> registrations, Instant now) {
  std::set<std::string, std::less<>> present;
  for (UpstreamRegistration& registration : registrations) {
    present.insert(registration.id);
    put(std::move(registration), now);
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

void UpstreamPool::remove_expired_registrations(Instant now) {
  for (auto entry = upstreams_.begin(); entry != upstreams_.end();) {
    entry = registration_grace_.has_ended(entry->first, now) ? erase(entry, now) : std::next(entry);
  }
  std::erase_if(left_, [now](const auto& entry) { return now >= entry.second.until; });
}

void UpstreamPool::set_zones_out_of_service(std::set<std::string, std::less<>> zones, Instant now) {
  for (const std::string& zone : zones_out_of_service_) {
    if (!zones.contains(zone)) {
      cold_limit_.record_returned_zone(zone, now);
    }
  }
  zones_out_of_service_ = std::move(zones);
}

void UpstreamPool::apply_peer_reports(Upstream& upstream, Instant now) const {
  const std::uint32_t unreachable =
      load_aggregator_.peer_load(LoadAggregator::key_of(upstream.id_hash)).unreachable;
  const auto quorum = std::max<std::size_t>(kMinUnreachableReports,
                                            gateway_count() / kGatewaysPerUnreachableReport);
  if (unreachable >= quorum) {
    upstream.limit.restart_suspected_at = now;
  }
}

// Whether an upstream is neither ejected nor waiting for the result of a trial request.
bool UpstreamPool::is_healthy(Upstream& upstream, const PickQuery& query, Instant now) const {
  const InFlightLoad peer_load =
      load_aggregator_.peer_load(LoadAggregator::key_of(upstream.id_hash));
  // Ends with the report of the new weights, which may arrive before the other gateways' reports.
  const bool is_loading = (now < upstream.loading_until || peer_load.loading > 0) &&
                          query.service->engine && has_older_weights(upstream);
  return !is_loading && now >= upstream.ejected_until &&
         upstream.health.may_receive(query.may_retry, peer_load.consecutive_failures, now);
}

// Whether an upstream matches a query, regardless of its health: service, zone, software version,
// weight version, and not leaving or excluded.
bool UpstreamPool::may_receive(const Upstream& upstream,
                               const PickQuery& query,
                               Instant now) const {
  const UpstreamRegistration& registration = upstream.registration;
  if (registration_grace_.has_ended(registration.id, now) || is_leaving(upstream) ||
      registration.service != query.service->name ||
      zones_out_of_service_.contains(registration.zone) ||
      std::find(query.excluded_ids.begin(), query.excluded_ids.end(), registration.id) !=
          query.excluded_ids.end()) {
    return false;
  }
  if (service_rollouts_ != nullptr &&
      !service_rollouts_->allows(registration.service, registration.software_version)) {
    return false;
  }
  if (query.software_versions &&
      std::find(query.software_versions->begin(), query.software_versions->end(),
                registration.software_version) == query.software_versions->end()) {
    return false;
  }
  if (query.model.empty() || !query.service->engine) {
    return true;
  }
  const auto version = version_of(upstream, query.model);
  return version && !is_past_limit(*version, query.model, now);
}

void UpstreamPool::record_sent(const PickedUpstream& picked, const PickQuery& query, Instant now) {
  const auto found = upstreams_.find(picked.upstream_id);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.in_flight += {.requests = 1,
                         .prefill_tokens = picked.uncached_tokens,
                         .prompt_tokens = query.prompt_tokens};
  cold_limit_.record_sent(upstream.limit, now);
  upstream.health.record_sent();
  if (is_leaving(upstream) || registration_grace_.is_kept(picked.upstream_id)) {
    log_doubtful_use(upstream, now);
  }
  if (query.service->engine) {
    cache_.record_sent(picked.upstream_id, picked.cache_namespace, query.prompt, picked.cache_plan,
                       now);
    if (limits_.load_shedding) {
      overload_policy_.record_sent(overload_request_of(query), {picked.uncached_tokens}, now);
    }
  }
  if (on_prompt_sent_ && picked.uncached_tokens > 0) {
    on_prompt_sent_(picked.uncached_tokens);
  }
}

void UpstreamPool::log_doubtful_use(Upstream& upstream, Instant now) const {
  if (now < upstream.doubtful_use_logged_at + kDoubtfulUseLogInterval) {
    return;
  }
  upstream.doubtful_use_logged_at = now;
  const auto kept_until = registration_grace_.kept_until(upstream.registration.id);
  LogEvent("doubtful_upstream_used", LogEvent::Severity::kWarning)
      .field("upstream", upstream.registration.id)
      .field("registered_as_leaving", upstream.registration.leaving)
      .field("says_it_leaves", upstream.says_it_leaves)
      .field("kept", kept_until.has_value())
      .field("kept_ms", kept_until ? (*kept_until - now).ms : 0)
      .field("known_ms", (now - upstream.known_since).ms);
}

void UpstreamPool::record_prefill_finished(const PickedUpstream& picked) {
  cache_.record_fetch_finished(picked.cache_plan);
  if (const auto found = upstreams_.find(picked.upstream_id); found != upstreams_.end()) {
    std::uint64_t& remaining = found->second.in_flight.prefill_tokens;
    remaining -= std::min<std::uint64_t>(remaining, picked.uncached_tokens);
  }
}

void UpstreamPool::record_finished(std::string_view id,
                                   std::uint32_t prompt_tokens,
                                   AttemptOutcome outcome,
                                   Instant now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  Upstream& upstream = found->second;
  InFlightLoad& in_flight = upstream.in_flight;
  in_flight.requests -= in_flight.requests > 0 ? 1 : 0;
  in_flight.prompt_tokens -= std::min<std::uint64_t>(in_flight.prompt_tokens, prompt_tokens);
  if (in_flight.requests == 0) {
    // A remainder would be reported to the other gateways forever.
    in_flight = {};
  }
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      upstream.health.record_success(now);
      upstream.unreachable_ejection = Duration{0};
      if (std::exchange(upstream.failed_since_success, false)) {
        upstream.limit.restart_suspected_at = now;
      }
      return;
    case AttemptOutcome::kError:
      upstream.health.record_error_response(now);
      return;
    case AttemptOutcome::kRejected:
      upstream.health.cancel_trial();
      // The upstream is full or loads weights; both last for a while.
      if (has_older_weights(upstream)) {
        record_loading(id, now + kLoadingWeightsEjection);
      } else {
        upstream.ejected_until = std::max(upstream.ejected_until, now + kFullEjection);
      }
      return;
    case AttemptOutcome::kCallerDisconnected:
      upstream.health.cancel_trial();
      return;
    case AttemptOutcome::kNotReached:
      upstream.health.cancel_trial();
      upstream.failed_since_success = true;
      upstream.limit.restart_suspected_at = now;
      upstream.unreached_until = now + kUnreachableReportTime;
      upstream.unreachable_ejection =
          upstream.unreachable_ejection == Duration{0}
              ? kUnreachableEjection
              : std::min(upstream.unreachable_ejection * 2, kMaxUnreachableEjection);
      upstream.ejected_until =
          std::max(upstream.ejected_until, now + upstream.unreachable_ejection);
      cache_.exclude_from_fetch(id, now + kFetchExclusion);
      return;
    case AttemptOutcome::kFailed:
      upstream.health.record_failure(now);
      if (upstream.health.consecutive_failures() >= UpstreamHealth::kFailuresToEject) {
        upstream.failed_since_success = true;
        upstream.limit.restart_suspected_at = now;
      }
      if (upstream.health.consecutive_failures() >= UpstreamHealth::kFailuresToEject) {
        cache_.exclude_from_fetch(id, now + kFetchExclusion);
      }
      return;
  }
}

bool UpstreamPool::is_leaving(const Upstream& upstream) {
  return upstream.registration.leaving || upstream.says_it_leaves;
}

UpstreamPool::Upstream* UpstreamPool::find_since(std::string_view id, Instant sent_at) {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() || sent_at < found->second.known_since ? nullptr
                                                                          : &found->second;
}

void UpstreamPool::record_leaving(std::string_view id, Instant sent_at) {
  Upstream* upstream = find_since(id, sent_at);
  if (upstream == nullptr || std::exchange(upstream->says_it_leaves, true)) {
    return;
  }
  LogEvent("upstream_leaves")
      .field("upstream", id)
      .field("registered_as_leaving", upstream->registration.leaving);
}

void UpstreamPool::record_hold_off(std::string_view id, Instant sent_at, Instant until) {
  Upstream* upstream = find_since(id, sent_at);
  if (upstream == nullptr || until <= upstream->held_off_until) {
    return;
  }
  upstream->held_off_until = until;
  LogEvent("upstream_holds_off").field("upstream", id).field("ms", (until - sent_at).ms);
}

void UpstreamPool::record_loading(std::string_view id, Instant until) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  found->second.loading_until = std::max(found->second.loading_until, until);
  if (on_loading_) {
    on_loading_();
  }
}

void UpstreamPool::record_misdirected(std::string_view id, bool replaced, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    Instant& until = found->second.ejected_until;
    until = std::max(until, now + (replaced ? kReplacedEjection : kMisdirectedEjection));
  }
}

LoadReport UpstreamPool::make_load_report(Instant now) {
  LoadReport report;
  report.recent_requests = cold_limit_.recent_requests(now);
  report.upstream_loads = cache_.transfer_loads();
  report.sent_segments = cache_.take_sent_segments();
  for (auto& [id, upstream] : upstreams_) {
    InFlightLoad own_load = upstream.in_flight;
    own_load.consecutive_failures = upstream.health.consecutive_failures();
    own_load.loading = now < upstream.loading_until && has_older_weights(upstream) ? 1 : 0;
    own_load.unreachable = now < upstream.unreached_until ? 1 : 0;
    std::optional<SpeedReport> speed = upstream.speed.take_report(upstream.start_tag, now);
    if (own_load != InFlightLoad{} || speed) {
      report.upstream_loads.push_back({.upstream_key = LoadAggregator::key_of(upstream.id_hash),
                                       .in_flight = own_load,
                                       .speed = speed});
    }
  }
  return report;
}

QuotaGrant UpstreamPool::answer_quota_request(const QuotaRequest& request, Instant now) {
  // A request names up to 64 upstreams, so they are looked for in one pass.
  std::map<std::uint64_t, ColdLimit::Upstream*> wanted;
  for (const QuotaAmount& amount : request.wanted) {
    wanted.emplace(amount.upstream_hash, nullptr);
  }
  for (auto& [id, upstream] : upstreams_) {
    if (const auto entry = wanted.find(upstream.id_hash); entry != wanted.end()) {
      entry->second = &upstream.limit;
    }
  }
  const auto find = [&](std::uint64_t hash) { return wanted.at(hash); };
  return cold_limit_.answer_quota_request(request, find, now);
}

std::size_t UpstreamPool::connection_limit(const ServiceInfo& service) const {
  const double share = static_cast<double>(service.max_connections) * kConnectionSafetyShare /
                       static_cast<double>(gateway_count());
  return std::max<std::size_t>(2, static_cast<std::size_t>(share));
}

}  // namespace bluebellstep
