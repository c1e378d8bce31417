// Ends attempts, and decides whether a request is retried.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "gateway/forwarder.h"

namespace bluebellstep {
namespace {

// A failed connect costs a few ms. The limit is high, since a third of a pool may be down at once.
constexpr std::uint32_t kMaxConnectFailures = 8;
// A request is not retried after this many upstreams rejected it without running it.
constexpr std::uint32_t kMaxRejections = 3;

// Returns what an outcome says about the software version of the upstream.
ServiceRollouts::Outcome rollout_outcome(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return ServiceRollouts::Outcome::kAnswered;
    case AttemptOutcome::kError:
    case AttemptOutcome::kFailed:
      return ServiceRollouts::Outcome::kFailed;
    case AttemptOutcome::kNotReached:
      return ServiceRollouts::Outcome::kNotReached;
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kCallerDisconnected:
      break;
  }
  return ServiceRollouts::Outcome::kNotCounted;
}

}  // namespace

void Forwarder::on_attempt_failed(Request& request,
                                  AttemptOutcome outcome,
                                  bool may_have_run,
                                  std::string_view reason) {
  const std::string upstream_id = request.attempt->picked.upstream_id;
  const bool reached = outcome != AttemptOutcome::kNotReached;
  log_failed_attempt(request, may_have_run, reason);
  const bool response_complete = outcome == AttemptOutcome::kRejected ||
                                 outcome == AttemptOutcome::kAnswered ||
                                 outcome == AttemptOutcome::kError;
  end_attempt(request, outcome, response_complete);
  request.tried_upstreams.push_back(upstream_id);
  request.last_failure_reason = reason;
  request.event_buffer.discard_partial();
  if (!may_have_run) {
    --request.possible_runs;
  }
  if (!reached) {
    --request.attempts_sent;
    ++request.connect_failures;
  }
  if (should_retry(request, may_have_run)) {
    metrics_.count("bluebellstep_gateway_repeats_total", std::string(reason));
    if (!request.waits_for_crash_check) {
      dispatch(request);
    }
    return;
  }
  fail_request(request, request.possible_runs > 0, reason);
}

bool Forwarder::should_retry(Request& request, bool may_have_run) {
  if (may_have_run && !request.route->may_retry()) {
    return false;
  }
  // A stream without event ids cannot be continued.
  if (request.response_started &&
      (!request.route->resumable || !request.event_buffer.last_event_id())) {
    return false;
  }
  if (request.possible_runs >= std::max<std::uint32_t>(1, request.route->max_attempts) ||
      request.connect_failures > kMaxConnectFailures ||
      request.attempts_sent >= kMaxRejections + request.possible_runs) {
    return false;
  }
  if (time_left(request, clock_.now()) < kMinTimeLeft) {
    return false;
  }
  // While no attempt has reached an upstream, another one is not charged to the retry budget.
  return request.attempts_sent == 0 || retry_budget(request).try_acquire_retry(
                                           retry_limits_, pool_.gateway_count(), clock_.now());
}

void Forwarder::report_prefill_finished(Attempt& attempt) {
  if (!attempt.prefill_reported) {
    attempt.prefill_reported = true;
    pool_.record_prefill_finished(attempt.picked);
  }
}

void Forwarder::end_attempt(Request& request, AttemptOutcome outcome, bool keep_connection) {
  Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  const Instant now = clock_.now();
  buffered_body_bytes_ -= attempt.body.size();
  report_prefill_finished(attempt);
  pool_.record_finished(attempt.picked.upstream_id, request.caller.prompt_tokens, outcome, now);
  if (service_rollouts_ != nullptr) {
    service_rollouts_->record_finished(
        {.service = request.service->name,
         .version = attempt.picked.software_version,
         .route = request.route->name,
         .phase = attempt.rollout_phase,
         .outcome = rollout_outcome(outcome),
         .first_byte = attempt.first_byte_at
                           ? std::optional(*attempt.first_byte_at - attempt.started_at)
                           : std::nullopt});
  }
  connections_.release(attempt.picked.upstream_id, std::move(attempt.connection), keep_connection,
                       now);
}

void Forwarder::give_up_attempt(Request& request, AttemptOutcome outcome_if_sent) {
  if (!request.attempt) {
    return;
  }
  const bool sent = request.attempt->connection->established();
  if (!sent) {
    --request.possible_runs;
    --request.attempts_sent;
  }
  end_attempt(request, sent ? outcome_if_sent : AttemptOutcome::kNotReached, false);
}

}  // namespace bluebellstep
