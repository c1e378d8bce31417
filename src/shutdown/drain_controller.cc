// Phases of a shutdown: serving, leave announced, draining, aborting, exiting.

#include "shutdown/drain_controller.h"

#include <cassert>

#include "base/overloaded.h"

namespace bluebellstep {

DrainController::DrainController(DrainRole role, const DrainTimes& times)
    : role_(role), times_(times) {
  assert(times.stop_limit > times.balancer_delay && times.stop_limit > times.leave_notice_time);
}

void DrainController::handle_sigterm(Instant now) {
  if (!ready()) {
    if (times_.second_stop_is_forced) {
      phase_ = Exiting{kExitForced};
    }
    return;
  }
  const Duration announcement_time =
      role_ == DrainRole::kEntry ? times_.balancer_delay : times_.leave_notice_time;
  phase_ = LeaveAnnounced{now + announcement_time, now + times_.stop_limit};
}

DrainStep DrainController::step(std::size_t open_requests, Instant now) {
  return std::visit(
      Overloaded{[](Serving) -> DrainStep { return DrainContinue{}; },
                 [&](LeaveAnnounced announced) {
                   return step_leave_announced(announced, open_requests, now);
                 },
                 [&](Draining draining) { return step_draining(draining, open_requests, now); },
                 [&](Aborting aborting) -> DrainStep {
                   if (open_requests > 0 && now < aborting.until) {
                     return DrainContinue{aborting.until};
                   }
                   phase_ = Exiting{kExitAborted};
                   return ExitProcess{kExitAborted};
                 },
                 [](Exiting exiting) -> DrainStep { return ExitProcess{exiting.code}; }},
      phase_);
}

DrainStep DrainController::step_leave_announced(const LeaveAnnounced& announced,
                                                std::size_t open_requests,
                                                Instant now) {
  if (now < announced.until) {
    return DrainContinue{announced.until};
  }
  const Draining next{announced.stop_at};
  phase_ = next;
  if (role_ == DrainRole::kEntry) {
    return CloseListener{};
  }
  return step_draining(next, open_requests, now);
}

DrainStep DrainController::step_draining(const Draining& draining,
                                         std::size_t open_requests,
                                         Instant now) {
  if (open_requests == 0) {
    phase_ = Exiting{kExitGraceful};
    return ExitProcess{kExitGraceful};
  }
  if (now < draining.stop_at) {
    return DrainContinue{draining.stop_at};
  }
  phase_ = Aborting{now + times_.abort_timeout};
  return AbortStreams{};
}

std::optional<Verdict> DrainController::refusal_for(DrainWork work) const {
  const bool aborting =
      std::holds_alternative<Aborting>(phase_) || std::holds_alternative<Exiting>(phase_);
  bool accepted = ready();
  if (role_ == DrainRole::kEntry) {
    accepted = accepted || std::holds_alternative<LeaveAnnounced>(phase_) ||
               (work == DrainWork::kResume && !aborting);
  } else {
    accepted = accepted || (work != DrainWork::kNewRequest && !aborting);
  }
  if (accepted) {
    return std::nullopt;
  }
  // The first request with the key of a retried order may have run, and so may the request of a
  // resumed stream.
  if (work != DrainWork::kNewRequest) {
    return Verdict::may_have_run(Reason::kShuttingDown, "the process is shutting down");
  }
  const Reason reason =
      role_ == DrainRole::kEntry ? Reason::kShuttingDown : Reason::kUpstreamLeaving;
  return Verdict::not_run(reason, "the process is shutting down", Duration{0});
}

}  // namespace bluebellstep
