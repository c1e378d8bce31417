// Queue limits and times to return under overload.

#include "overload/overload_policy.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {

namespace {

// Requests of one kind have the priority in common.
std::string kind_name(std::string_view service, std::int64_t priority) {
  return std::string(service) + "/" + std::to_string(priority);
}

// Sizes in one class differ by at most a fifth.
std::string size_class(const OverloadRequest& request) {
  constexpr double kClassesPerDoubling = 4;
  return std::to_string(std::lround(kClassesPerDoubling * std::log2(1.0 + request.prompt_tokens)));
}

constexpr Cost kOneRequest{1};

}  // namespace

OverloadState OverloadPolicy::state(const OverloadRequest& request, Instant now) {
  OverloadState result{.standing = shares_.standing(request.service, request.account, now)};
  if (result.standing.refused_share <= 0) {
    return result;
  }
  result.returned = refused_requests_.contains(request.id_hash);
  const std::string size = size_class(request);
  result.size_sent_share =
      shares_.relative_sent_share(kind_name(request.service, request.priority), size).value_or(1);
  if (request.priority > request.urgent_priority) {
    // A less urgent request gets no more room for its size than an urgent one of the same size.
    const auto urgent_share =
        shares_.relative_sent_share(kind_name(request.service, request.urgent_priority), size);
    result.size_sent_share = std::max(result.size_sent_share, urgent_share.value_or(0));
    const double urgent_sent =
        shares_.sent_share(kind_name(request.service, request.urgent_priority));
    const double own_sent = shares_.sent_share(kind_name(request.service, request.priority));
    result.urgent_sent_share = own_sent > urgent_sent ? urgent_sent / own_sent : 1;
  }
  return result;
}

double OverloadPolicy::max_queue_ms(const AdmissionInputs& inputs, const OverloadState& state) {
  const double pressure = std::min(1.0, state.standing.refused_share / kFullPressure);
  if (pressure <= 0) {
    return AdmissionControl::max_queue_ms(inputs);
  }
  const bool urgent = !inputs.urgent_goal || *inputs.urgent_goal <= Duration{0};
  const Duration urgent_goal = urgent ? inputs.latency_goal : *inputs.urgent_goal;
  const double urgent_goal_ms = static_cast<double>(urgent_goal.ms);
  const double urgent_limit_ms = AdmissionControl::kMaxGoalMultiple * urgent_goal_ms;
  double limit_ms = urgent_limit_ms;
  if (!urgent) {
    const double multiple =
        std::lerp(AdmissionControl::kMaxGoalMultiple, kOverloadUrgentGoalMultiple, pressure);
    limit_ms = std::min(static_cast<double>(inputs.latency_goal.ms), multiple * urgent_goal_ms);
  }
  if (state.returned) {
    limit_ms =
        urgent ? kReturnedFactor * limit_ms : std::min(kReturnedFactor * limit_ms, urgent_limit_ms);
  }
  const double starved = std::clamp(
      (kServedSizeShare - state.size_sent_share) / (kServedSizeShare - kStarvedSizeShare), 0.0,
      1.0);
  const double starved_queue_ms =
      std::max(AdmissionControl::kMinQueueMs, kStarvedGoalMultiple * urgent_goal_ms);
  const double min_queue_ms = std::lerp(AdmissionControl::kMinQueueMs, starved_queue_ms, starved);
  const double account_factor =
      std::clamp(1 / std::max(1.0, state.standing.share_used), kMinAccountFactor, 1.0);
  const double urgent_factor =
      urgent ? 1 : std::clamp(state.urgent_sent_share, kMinUrgentFactor, 1.0);
  const double by_goal =
      account_factor * urgent_factor * std::max(min_queue_ms, limit_ms - inputs.own_ms);
  const double by_deadline =
      AdmissionControl::kMaxTimeLeftShare * static_cast<double>(inputs.time_left.ms) -
      inputs.own_ms;
  return std::min(std::max(by_goal, AdmissionControl::resumed_queue_ms(inputs)), by_deadline);
}

std::optional<Duration> OverloadPolicy::retry_delay(const AdmissionInputs& inputs,
                                                    const OverloadState& state) {
  const double time_left_ms = static_cast<double>(inputs.time_left.ms);
  if (inputs.has_idle_slots &&
      inputs.queue_ms + inputs.own_ms <= AdmissionControl::kMaxTimeLeftShare * time_left_ms) {
    return std::nullopt;
  }
  if (state.standing.refused_share <= 0) {
    return AdmissionControl::retry_delay(inputs);
  }
  const double excess_ms = inputs.queue_ms - max_queue_ms(inputs, state);
  if (excess_ms <= 0) {
    return std::nullopt;
  }
  const double delay_ms =
      std::max(excess_ms, static_cast<double>(state.standing.overloaded_for.ms));
  const double latest_ms = kMaxRetryShare * time_left_ms;
  return std::max(AdmissionControl::kMinRetryDelay,
                  Duration{std::lround(std::min(delay_ms, latest_ms))});
}

std::string_view OverloadPolicy::refusal_reason(const AdmissionInputs& inputs,
                                                const OverloadState& state) {
  const auto refused_with = [&](const AdmissionInputs& changed,
                                const OverloadState& changed_state) {
    return inputs.queue_ms > max_queue_ms(changed, changed_state);
  };
  if (inputs.queue_ms + inputs.own_ms >
      AdmissionControl::kMaxTimeLeftShare * static_cast<double>(inputs.time_left.ms)) {
    return "deadline";
  }
  OverloadState within_share = state;
  within_share.standing.share_used = 0;
  if (!refused_with(inputs, within_share)) {
    return "account_over_share";
  }
  AdmissionInputs alone = inputs;
  alone.urgent_goal.reset();
  return refused_with(alone, within_share) ? "late" : "room_for_urgent";
}

void OverloadPolicy::record_sent(const OverloadRequest& request, Cost work, Instant now) {
  shares_.record_sent(request.service, request.account, work, now);
  shares_.record_sent(kind_name(request.service, request.priority), size_class(request),
                      kOneRequest, now);
}

void OverloadPolicy::remember_refused(std::uint64_t id_hash, Instant now) {
  while (!refused_order_.empty() && (refused_order_.size() >= kMaxRefusedRequests ||
                                     now - refused_order_.front().first > kRefusedMemory)) {
    refused_requests_.erase(refused_order_.front().second);
    refused_order_.pop_front();
  }
  if (refused_requests_.insert(id_hash).second) {
    refused_order_.emplace_back(now, id_hash);
  }
}

void OverloadPolicy::record_refused(const OverloadRequest& request, Cost work, Instant now) {
  shares_.record_refused(request.service, request.account, work, now);
  shares_.record_refused(kind_name(request.service, request.priority), size_class(request),
                         kOneRequest, now);
  report_fast_until_ = now + kFastReportTime;
  remember_refused(request.id_hash, now);
  if (unreported_requests_.size() < kMaxReportedRequests) {
    unreported_requests_.push_back(request.id_hash);
  }
}

std::vector<AccountWorkReport> OverloadPolicy::take_reports(Instant now) {
  std::vector<AccountWorkReport> reports;
  const Duration interval =
      now <= report_fast_until_ ? AccountShares::kReportInterval : kCalmReportInterval;
  if (now - reported_at_ < interval) {
    return reports;
  }
  reported_at_ = now;
  const std::vector<AccountWork> work = shares_.recent_work(now);
  for (std::size_t first = 0; first < work.size(); first += AccountShares::kMaxReportedAccounts) {
    const std::size_t end = std::min(work.size(), first + AccountShares::kMaxReportedAccounts);
    reports.push_back({.accounts = {work.begin() + static_cast<std::ptrdiff_t>(first),
                                    work.begin() + static_cast<std::ptrdiff_t>(end)},
                       .refused_requests = std::exchange(unreported_requests_, {})});
  }
  return reports;
}

void OverloadPolicy::apply(const AccountWorkReport& report, Instant now) {
  shares_.apply(report, now);
  if (!report.refused_requests.empty()) {
    report_fast_until_ = now + kFastReportTime;
  }
  for (const std::uint64_t id_hash : report.refused_requests) {
    remember_refused(id_hash, now);
  }
}

}  // namespace bluebellstep
