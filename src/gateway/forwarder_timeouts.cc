// Timeouts of requests and attempts.

#include <algorithm>
#include <cstdint>
#include <memory>

#include "gateway/forwarder.h"

namespace bluebellstep {
namespace {

// Zones of a region are a few ms apart; a slower connect is not expected to succeed.
constexpr Duration kConnectTimeout{300};
// A request that may be retried is sent to another upstream after this multiple of its route's
// latency goal without progress.
constexpr std::int64_t kResponseTimeoutGoalMultiple = 3;
constexpr Duration kMinResponseTimeout{250};
// A stream without events is continued by another upstream this long before its caller abandons it.
constexpr Duration kStreamResumeTime{700};
constexpr Duration kMinStreamIdleTimeout{1300};

}  // namespace

void Forwarder::limit_wait(Request& request) {
  const RouteRule* route = config_->find_route(request.caller.host, request.caller.path);
  if (route == nullptr || route->timeout >= request.route->timeout) {
    return;
  }
  const Instant deadline = clock_.now() + route->timeout;
  if (deadline < request.deadline) {
    request.deadline = deadline;
    schedule_check(request);
  }
}

Instant Forwarder::next_check_time(const Request& request) const {
  Instant check_at = request.deadline;
  if (!request.attempt) {
    return check_at;
  }
  const Attempt& attempt = *request.attempt;
  // The upstream has answered; the store's client limits the wait for the acknowledgement.
  const bool waits_for_record = attempt.held && attempt.held->received_at;
  if (!attempt.connection->established()) {
    check_at = std::min(check_at, attempt.started_at + kConnectTimeout);
  } else if (request.route->may_retry() && !waits_for_record) {
    const Duration time_limit =
        request.route->kind == RequestKind::kStream
            ? std::max(kMinStreamIdleTimeout, request.route->stream_patience - kStreamResumeTime)
            : std::max(kMinResponseTimeout,
                       request.route->latency_goal * kResponseTimeoutGoalMultiple);
    check_at =
        std::min(check_at, std::max(attempt.started_at, request.last_progress_at) + time_limit);
  }
  return check_at;
}

void Forwarder::check_timeouts(Request& request) {
  const Instant now = clock_.now();
  if (now >= request.deadline) {
    give_up_attempt(request, AttemptOutcome::kFailed);
    fail_request(request, request.possible_runs > 0, "timeout");
    return;
  }
  if (!request.attempt || now < next_check_time(request)) {
    schedule_check(request);
    return;
  }
  if (!request.attempt->connection->established()) {
    on_attempt_failed(request, AttemptOutcome::kNotReached, false, "connect_timeout");
    return;
  }
  if (request.possible_runs < request.route->max_attempts &&
      retry_budget(request).can_retry(retry_limits_, pool_.gateway_count(), now)) {
    on_attempt_failed(request, AttemptOutcome::kFailed, true, "upstream_silent");
    return;
  }
  // No retry is possible, so the current attempt goes on: its response may still arrive.
  request.last_progress_at = now;
  schedule_check(request);
}

void Forwarder::schedule_check(Request& request) {
  const Instant check_at = next_check_time(request);
  // An earlier check is kept: it finds no timeout and schedules the next one.
  if (request.check_at && *request.check_at <= check_at) {
    return;
  }
  if (request.check_at) {
    scheduled_checks_.erase({*request.check_at, request.id});
  }
  request.check_at = check_at;
  scheduled_checks_.emplace(check_at, request.id);
  arm_timer();
}

void Forwarder::arm_timer() {
  if (scheduled_checks_.empty() ||
      (timer_armed_for_ && *timer_armed_for_ <= scheduled_checks_.begin()->first)) {
    return;
  }
  timer_armed_for_ = scheduled_checks_.begin()->first;
  const Duration delay = std::max(Duration{0}, *timer_armed_for_ - clock_.now());
  loop_.post_after(delay, [this, alive = std::weak_ptr<bool>(alive_), at = *timer_armed_for_] {
    if (alive.expired() || timer_armed_for_ != at) {
      return;
    }
    timer_armed_for_.reset();
    run_due_checks();
    arm_timer();
  });
}

void Forwarder::run_due_checks() {
  const Instant now = clock_.now();
  while (!scheduled_checks_.empty() && scheduled_checks_.begin()->first <= now) {
    const RequestId id = scheduled_checks_.begin()->second;
    scheduled_checks_.erase(scheduled_checks_.begin());
    if (Request* request = find(id); request != nullptr) {
      request->check_at.reset();
      check_timeouts(*request);
    }
  }
}

}  // namespace bluebellstep
