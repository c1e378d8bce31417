// Graceful shutdown of an entry instance or a sidecar: what is accepted in each phase, and when the
// process exits with which code.

#ifndef BLUEBELLSTEP_SHUTDOWN_DRAIN_CONTROLLER_H_
#define BLUEBELLSTEP_SHUTDOWN_DRAIN_CONTROLLER_H_

#include <cstddef>
#include <optional>
#include <variant>

#include "base/clock.h"
#include "base/verdict.h"

namespace bluebellstep {

/** Which process drains. */
enum class DrainRole { kEntry, kSidecar };

/** Kinds of work that a process is asked for. */
enum class DrainWork {
  kNewRequest,  // Includes an order whose key is not known.
  kOrderRetry,  // An order whose key has a claim.
  kResume,      // Further events of a stream that is open.
};

/** Times of a shutdown, all from the first SIGTERM. */
struct DrainTimes {
  // How long an entry instance goes on accepting, until the balancer has taken it out.
  Duration balancer_delay{5000};
  // How long a sidecar stays at least, so that entry instances hear that it leaves (promise 9)
  // instead of finding its connection closed.
  Duration leave_notice_time{2000};
  // When open work is cut off.
  Duration stop_limit{120'000};
  // How long the error events of streams that are cut off may take to be sent.
  Duration abort_timeout{1000};
};

/** Go on; call `step` again at `at`, if given, and when the amount of open work changes. */
struct DrainContinue {
  std::optional<Instant> at;
};

/** Accept no further connections from callers. */
struct CloseListener {};

/** End every open stream with an error event. */
struct AbortStreams {};

/** End the process. */
struct ExitProcess {
  int code = 0;
};

using DrainStep = std::variant<DrainContinue, CloseListener, AbortStreams, ExitProcess>;

/** Decides the course of a shutdown. Call `step` until it says to continue or to exit. */
class DrainController {
 public:
  static constexpr int kExitGraceful = 0;
  static constexpr int kExitForced = 3;   // By a second SIGTERM.
  static constexpr int kExitAborted = 4;  // Requests were cut off at the stop limit.

  /** `times.stop_limit` must be above the role's delay. */
  DrainController(DrainRole role, const DrainTimes& times);

  /** Reports a SIGTERM. The second one makes the next step an exit. */
  void handle_sigterm(Instant now);

  /** Returns what to do now. `open_work` counts requests that are not answered completely. */
  DrainStep step(std::size_t open_work, Instant now);

  /** Returns nothing if such work is accepted now, else the verdict to refuse it with. */
  std::optional<Verdict> refusal_for(DrainWork work) const;

  /** Whether the process reports itself as ready. */
  bool ready() const { return std::holds_alternative<Serving>(phase_); }

  /** Whether heartbeats say that the process leaves. */
  bool leaving() const { return !ready(); }

 private:
  struct Serving {};
  // Known to leave, but others may not have heard of it yet.
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

  DrainStep step_announced(const LeaveAnnounced& announced, std::size_t open_work, Instant now);
  DrainStep step_draining(const Draining& draining, std::size_t open_work, Instant now);

  DrainRole role_;
  DrainTimes times_;
  std::variant<Serving, LeaveAnnounced, Draining, Aborting, Exiting> phase_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SHUTDOWN_DRAIN_CONTROLLER_H_
