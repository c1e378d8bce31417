// Passive health of an upstream: ejects it after consecutive failures.
//
// Load pattern: a server passes its health check but fails every request immediately. It has few
// requests in flight, so it looks like the best choice, and each gateway would lose requests before
// it detects the fault. Requests that may not be retried are lost for good.
//
// After consecutive failures an upstream is ejected for a limited time. Then it receives a single
// trial request, which should be one that may be retried, and all requests again after a success.
// Failures that other gateways report count as well.

#ifndef BLUEBELLSTEP_GATEWAY_UPSTREAM_HEALTH_H_
#define BLUEBELLSTEP_GATEWAY_UPSTREAM_HEALTH_H_

#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** Health of one upstream as seen by one gateway.
 *
 * All times are read from one monotonic clock.
 */
class UpstreamHealth {
 public:
  /** Consecutive failures, of this gateway or summed over the others, that eject an upstream. */
  static constexpr std::uint32_t kFailuresToEject = 3;
  /** Consecutive error responses that eject an upstream. Some services answer one request in seven
   * with an error, so that shorter sequences occur by chance. */
  static constexpr std::uint32_t kErrorsToEject = 6;
  /** Duration of the first ejection. It doubles after each failed trial, up to `kMaxEjection`. */
  static constexpr Duration kFirstEjection{1000};
  static constexpr Duration kMaxEjection{8000};
  /** If no retryable request arrives within this time after the ejection, any request may be the
   * trial. */
  static constexpr Duration kNonRetryableTrialDelay{3000};
  /** For this time after a success of its own, a gateway ignores failures reported by others: some
   * faults affect only some callers. */
  static constexpr Duration kOwnSuccessValidity{5000};

  /** A request failed: connection lost, timeout or unusable response. */
  void record_failure(Instant now);
  /** The upstream itself generated an error response. */
  void record_error_response(Instant now);
  /** A request was answered. Ends the ejection and resets all counts. */
  void record_success(Instant now);
  /** The trial request, if any, ended without a result: the caller disconnected, or the upstream
   * rejected it or could not be reached. */
  void cancel_trial() { trial_in_flight_ = false; }

  /** A request was sent to the upstream. */
  void record_sent();

  /** Whether a request may be sent to the upstream.
   *
   * @param may_retry      The request may be retried if it fails.
   * @param peer_failures  Sum of the consecutive failures that the other gateways report.
   */
  bool may_receive(bool may_retry, std::uint32_t peer_failures, Instant now);

  /** Consecutive failures, to be reported to the other gateways. */
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }

 private:
  void eject(Instant now);

  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t consecutive_errors_ = 0;
  bool on_trial_ = false;  // No request has succeeded since the last ejection.
  bool trial_in_flight_ = false;
  Instant ejected_until_;
  Duration ejection_time_ = kFirstEjection;
  Instant ignore_peers_until_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_UPSTREAM_HEALTH_H_
