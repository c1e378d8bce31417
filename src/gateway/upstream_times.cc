// What the pool learns from the answers of upstreams: their loads, how long their work takes, and
// their speeds.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/hash.h"
#include "gateway/upstream_pool.h"
#include "http/socket_address.h"

namespace bluebellstep {

// All gateways derive the same tag for the same start of an upstream.
std::uint32_t UpstreamPool::start_tag(const UpstreamRegistration& registration) {
  constexpr std::uint32_t kTagMask = 0xffff;
  return static_cast<std::uint32_t>(hash64(to_string(registration.endpoint) + " " +
                                           std::to_string(registration.started_ms))) &
         kTagMask;
}

const UpstreamPool::ServiceTimes& UpstreamPool::times_of(const ServiceInfo& service) const {
  static const ServiceTimes initial;
  const auto found = times_.find(service.name);
  return found == times_.end() ? initial : found->second;
}

const FirstEventPredictor* UpstreamPool::predictor(std::string_view service) const {
  const auto found = times_.find(service);
  return found == times_.end() ? nullptr : &found->second.predictor;
}

double UpstreamPool::record_first_event(const PickedUpstream& picked,
                                        Duration elapsed,
                                        Instant now) {
  const auto found = upstreams_.find(picked.upstream_id);
  if (found == upstreams_.end()) {
    return 1;
  }
  ServiceTimes& times = times_[found->second.registration.service];
  FirstEventPredictor& predictor = times.predictor;
  const double fetch_ms = picked.expected_work.fetch_ms;
  const double work_ms = predictor.predict_ms(picked.expected_work) - fetch_ms;
  const double expected_ms = picked.speed_factor * work_ms + fetch_ms;
  const auto actual_ms = static_cast<double>(elapsed.ms);
  // The time of a response that mostly waited for fetches tells little about the upstream's speed.
  if (fetch_ms < work_ms) {
    found->second.speed.record_answer(work_ms, actual_ms - fetch_ms, times.speed, now);
  }
  if (picked.cache_plan.fetches()) {
    cache_.record_fetch_delay(picked.cache_plan.fetch_endpoints,
                              elapsed - Duration{static_cast<std::int64_t>(expected_ms)}, now);
  }
  predictor.record(picked.expected_work, elapsed);
  return actual_ms / expected_ms;
}

void UpstreamPool::record_answer_time(const PickedUpstream& picked,
                                      std::string_view route,
                                      Duration elapsed,
                                      Instant now) {
  const auto found = upstreams_.find(picked.upstream_id);
  if (found == upstreams_.end()) {
    return;
  }
  ServiceTimes& times = times_[found->second.registration.service];
  const double own_ms = times.request_time.expect_ms(route);
  const double expected_ms = std::max(own_ms, picked.expected_work.other_ms);
  const auto actual_ms = static_cast<double>(elapsed.ms);
  found->second.speed.record_answer(expected_ms, actual_ms, times.speed, now);
  times.request_time.record(route, actual_ms * own_ms / expected_ms);
}

void UpstreamPool::record_load(std::string_view id, const ReportedLoad& load, Instant now) {
  if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
    found->second.load = load;
    found->second.load_reported_at = now;
    if (load.work_time_percent) {
      found->second.speed.record_work_time(*load.work_time_percent, now);
    }
  }
}

void UpstreamPool::apply_speed_reports(const LoadReport& report, Instant now) {
  std::unordered_map<std::uint32_t, SpeedReport> speeds;
  for (const UpstreamLoad& upstream_load : report.upstream_loads) {
    if (upstream_load.speed) {
      speeds.emplace(upstream_load.upstream_key, *upstream_load.speed);
    }
  }
  if (speeds.empty()) {
    return;
  }
  const std::uint32_t gateway = LoadAggregator::key_of(report.gateway);
  for (auto& [id, upstream] : upstreams_) {
    const auto found = speeds.find(LoadAggregator::key_of(upstream.id_hash));
    // Observations of another start say nothing about the present process.
    if (found != speeds.end() && found->second.start_tag == upstream.start_tag) {
      upstream.speed.apply(gateway, found->second, now);
    }
  }
}

std::vector<UpstreamPool::UnusualSpeed> UpstreamPool::unusual_speeds(Instant now) const {
  constexpr double kUnusualFactor = 1.25;
  std::vector<UnusualSpeed> speeds;
  for (const auto& [id, upstream] : upstreams_) {
    const auto times = times_.find(upstream.registration.service);
    if (times == times_.end()) {
      continue;
    }
    const double factor = upstream.speed.factor(times->second.speed, now);
    if (factor >= kUnusualFactor || factor * kUnusualFactor <= 1) {
      speeds.push_back({id, factor, upstream.speed.answers(now), upstream.load.work_time_percent});
    }
  }
  std::sort(speeds.begin(), speeds.end(),
            [](const UnusualSpeed& a, const UnusualSpeed& b) { return a.factor > b.factor; });
  return speeds;
}

}  // namespace bluebellstep
