// The verdict on a request that was not answered: whether it may have run, why it failed, and
// whether a retry makes sense.

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

/** Why a request was refused or failed. The names and values are part of the API, see `to_string`
 * and `reason_from_wire`. */
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

/** Returns the reason with the wire value `value`, or `kInternal` if this version does not know
 * it. */
Reason reason_from_wire(std::uint16_t value);

/** Returns the run state with the wire value `value`, or `kMayHaveRun`, the safe choice, if this
 * version does not know it. */
RunState run_state_from_wire(std::uint16_t value);

/**
 * Outcome of a request that was not answered. It is the error object within a process, is sent over
 * RPC, and is returned to callers as JSON. Use `not_run` only where it is certain, since callers
 * rely on it when they retry the request.
 */
class Verdict {
 public:
  /** The request certainly did not run. `retry_after` is the time after which a retry makes sense;
   * leave it empty if a retry would not help. */
  static Verdict not_run(Reason reason,
                         std::string_view detail,
                         std::optional<Duration> retry_after = std::nullopt);

  /** The request may have run. The caller must not retry it with another idempotency key. */
  static Verdict may_have_run(Reason reason, std::string_view detail);

  /** The request ran, but its answer is not available. */
  static Verdict run(Reason reason, std::string_view detail);

  /** Constructs a verdict from its fields, for decoders. */
  Verdict(RunState run_state,
          Reason reason,
          std::string_view detail,
          std::optional<Duration> retry_after);

  RunState run_state() const { return run_state_; }
  Reason reason() const { return reason_; }

  /** Returns the time after which a retry makes sense, or nothing if a retry would not help. */
  std::optional<Duration> retry_after() const { return retry_after_; }

  /** Returns an explanation in one sentence, for people. */
  std::string_view detail() const { return detail_; }

 private:
  RunState run_state_;
  Reason reason_;
  std::string detail_;
  std::optional<Duration> retry_after_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_VERDICT_H_
