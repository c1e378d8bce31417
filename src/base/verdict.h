// The verdict on a request that got no answer: whether it may have run, why, and whether to retry.

#ifndef BLUEBELLSTEP_BASE_VERDICT_H_
#define BLUEBELLSTEP_BASE_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace bluebellstep {

/** Whether the upstream executed a request. */
enum class RunState : std::uint8_t {
  kNotRun = 0,      // Certain: the upstream did not and will not execute it.
  kMayHaveRun = 1,  // The upstream may have executed it, or may still do so.
  kRun = 2,         // Certain: the upstream executed it.
};

/** Why a request was refused or failed. The text forms are part of the API, see `to_string`. */
enum class Reason : std::uint8_t {
  kBadRequest = 0,
  kUnauthorized,
  kUnknownModel,
  kUnknownService,
  kOverloaded,
  kColdUpstream,
  kZoneOut,
  kUpstreamLeaving,
  kWeightVersionChanged,
  kNoUpstream,
  kUpstreamUnreachable,
  kUpstreamFailed,
  kConnectionLost,
  kDeadlineExceeded,
  kCancelled,
  kShuttingDown,
  kKeyReused,
  kKeyExpired,
  kKeyInFuture,
  kOwnerRestarted,
  kOwnerFull,
  kNotOwner,
  kPlatformUnavailable,
  kNoConfiguration,
  kRetryBudgetExhausted,
  kInternal,
};

/** Returns the lower-case name used in the API, in logs and in metrics, for example "zone_out". */
std::string_view to_string(Reason reason);

/** Returns "not_run", "may_have_run" or "run". */
std::string_view to_string(RunState state);

/** Returns the reason at `value`, or `kInternal` for a value that this version does not know. */
Reason reason_from_wire(std::uint16_t value);

/** Returns the run state at `value`, or `kMayHaveRun`, the safe one, for an unknown value. */
RunState run_state_from_wire(std::uint16_t value);

/**
 * Outcome of a request that got no answer. Used as an error object within a process, over RPC and,
 * as JSON, towards callers. Say `not_run` only where it is certain, since callers send the request
 * again on the strength of it.
 */
class Verdict {
 public:
  /** The request certainly did not run. `retry_after` tells when to retry; without it a retry does
   * not help. */
  static Verdict not_run(Reason reason,
                         std::string_view detail,
                         std::optional<Duration> retry_after = std::nullopt);

  /** The request may have run; the caller must not send it again under another key. */
  static Verdict may_have_run(Reason reason, std::string_view detail);

  /** The request ran, but its answer is not to be had. */
  static Verdict run(Reason reason, std::string_view detail);

  /** Rebuilds a verdict from its parts, for decoders. */
  Verdict(RunState run_state,
          Reason reason,
          std::string_view detail,
          std::optional<Duration> retry_after);

  RunState run_state() const { return run_state_; }
  Reason reason() const { return reason_; }

  /** Time after which a retry makes sense; nothing if a retry does not help. */
  std::optional<Duration> retry_after() const { return retry_after_; }

  /** One sentence for a person. */
  std::string_view detail() const { return detail_; }

 private:
  RunState run_state_;
  Reason reason_;
  std::string detail_;
  std::optional<Duration> retry_after_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_VERDICT_H_
