// Graceful shutdown of an entry instance or a sidecar: determines the work that is accepted in each
// phase, and when and with which code the process exits.

#ifndef BLUEBELLSTEP_SHUTDOWN_DRAIN_CONTROLLER_H_
#define BLUEBELLSTEP_SHUTDOWN_DRAIN_CONTROLLER_H_

#include <cstddef>
#include <optional>
#include <variant>

#include "base/clock.h"
#include "base/verdict.h"

namespace bluebellstep {

/** Kind of process that is shut down. */
enum class DrainRole { kEntry, kSidecar };

/** Kinds of requests that a process receives. */
enum class DrainWork {
  kNewRequest,  // Any new request, including an order with an unknown key.
  kOrderRetry,  // An order with a key that is already claimed.
  kResume,      // A request for further events of an open stream.
};

/** Times and options of a shutdown. All times except `abort_timeout` are measured from the first
 * SIGTERM. */
struct DrainTimes {
  // Time for which an entry instance continues to accept requests, until the load balancer has
  // removed it from its targets.
  Duration balancer_delay{5000};
  // Minimum time before a sidecar exits, so that entry instances receive its heartbeat that it is
  // leaving (promise 9) before its connection is closed.
  Duration leave_notice_time{2000};
  // Time after which requests in progress are aborted.
  Duration stop_limit{120'000};
  // Maximum time for sending the error events of aborted streams, measured from the abort.
  Duration abort_timeout{1000};
  // Whether a second SIGTERM ends the process at once. Otherwise it has no effect.
  bool second_stop_is_forced = true;
};

/** Nothing to do now. Call `step` again at `at`, if set, and when the number of open requests
 * changes.
 */
struct DrainContinue {
  std::optional<Instant> at;
};

/** Stop accepting connections from callers. */
struct CloseListener {};

/** Abort every open stream with an error event. */
struct AbortStreams {};

/** Exit the process with `code`. */
struct ExitProcess {
  int code = 0;
};

using DrainStep = std::variant<DrainContinue, CloseListener, AbortStreams, ExitProcess>;

/** Determines the steps of a shutdown. Call `step` and execute the result repeatedly, until the
 * result is `DrainContinue` or `ExitProcess`. */
class DrainController {
 public:
  static constexpr int kExitGraceful = 0;
  static constexpr int kExitForced = 3;   // A second SIGTERM was received.
  static constexpr int kExitAborted = 4;  // Requests were aborted at the stop limit.

  /** `times.stop_limit` must be above `times.balancer_delay` and `times.leave_notice_time`. */
  DrainController(DrainRole role, const DrainTimes& times);

  /** Reports a SIGTERM. After the second one, the next step is `ExitProcess`, unless
   * `DrainTimes::second_stop_is_forced` is false. */
  void handle_sigterm(Instant now);

  /** Returns the next step. `open_requests` is the number of requests without a complete answer. */
  DrainStep step(std::size_t open_requests, Instant now);

  /** Returns the verdict with which to refuse work of this kind now, or nothing if it is accepted.
   */
  std::optional<Verdict> refusal_for(DrainWork work) const;

  /** Whether the process must report itself as ready. */
  bool ready() const { return std::holds_alternative<Serving>(phase_); }

  /** Whether heartbeats must report the process as leaving. */
  bool leaving() const { return !ready(); }

 private:
  struct Serving {};
  // The process reports itself as leaving, but other processes may not have received the report
  // yet.
  struct LeaveAnnounced {
    Instant until;
    Instant stop_at;
  };
  struct Draining {
    Instant stop_at;
  };
  struct Aborting {
    Instant until;
  };
  struct Exiting {
    int code;
  };

  DrainStep step_leave_announced(const LeaveAnnounced& announced,
                                 std::size_t open_requests,
                                 Instant now);
  DrainStep step_draining(const Draining& draining, std::size_t open_requests, Instant now);

  DrainRole role_;
  DrainTimes times_;
  std::variant<Serving, LeaveAnnounced, Draining, Aborting, Exiting> phase_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SHUTDOWN_DRAIN_CONTROLLER_H_
