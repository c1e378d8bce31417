// Whether an upstream that failed gets further requests.
//
// Load pattern: servers that fail all requests at once while their health check is good. They have
// little in flight, so they look like the best choice, and each of many gateways must lose requests
// to learn what the others know. Requests that may not be repeated are lost by each such attempt.
//
// After failures in a row an upstream is left alone for a while, then tried with one request that
// may be repeated, and used by all only after a success. What other gateways saw counts as well.

#ifndef BLUEBELLSTEP_GATEWAY_UPSTREAM_HEALTH_H_
#define BLUEBELLSTEP_GATEWAY_UPSTREAM_HEALTH_H_

#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** Times are those of one monotonic clock. */
class UpstreamHealth {
 public:
  /** Failures in a row, of this gateway or of all others, after which an upstream is left alone. */
  static constexpr std::uint32_t kFailuresToShun = 3;
  /** Error responses in a row with the same effect. Some services answer one request in seven with
   * an error, so that fewer come by chance. */
  static constexpr std::uint32_t kErrorsToShun = 6;
  /** How long it is left alone first; twice as long after each trial that fails, up to the last. */
  static constexpr Duration kFirstPause{1000};
  static constexpr Duration kLastPause{8000};
  /** Where no request that may be repeated comes, others try after this further time. */
  static constexpr Duration kTrialByAnyAfter{3000};
  /** After a success of its own a gateway does not mind what others saw for this long: some faults
   * concern some callers only. */
  static constexpr Duration kTrustSuccess{5000};

  /** A request failed there: broken, late or unusable. */
  void failed(Instant now);
  /** It answered with an error of its own. */
  void answered_error(Instant now);
  void succeeded(Instant now);
  /** A trial ended without a result, since the caller left or the upstream refused it. */
  void trial_ended() { trial_under_way_ = false; }

  /** A request was sent there. */
  void sent();

  /** Whether a request may be sent there. `others_failures` is the sum of failures in a row that
   * the other gateways report. */
  bool may_get(bool may_retry, std::uint32_t others_failures, Instant now);

  /** Failures in a row, for the other gateways. */
  std::uint32_t failures() const { return failures_; }

 private:
  void shun(Instant now);

  std::uint32_t failures_ = 0;  // In a row, like the next one.
  std::uint32_t errors_ = 0;
  bool on_trial_ = false;  // Since it was left alone, no request has succeeded.
  bool trial_under_way_ = false;
  Instant shunned_until_;
  Duration pause_ = kFirstPause;
  Instant trusted_until_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_UPSTREAM_HEALTH_H_
