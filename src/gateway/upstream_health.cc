// Consecutive failures, ejections and trial requests.

#include "gateway/upstream_health.h"

#include <algorithm>

namespace bluebellstep {

void UpstreamHealth::record_failure(Instant now) {
  trial_in_flight_ = false;
  ++consecutive_failures_;
  if (on_trial_ || consecutive_failures_ >= kFailuresToEject) {
    eject(now);
  }
}

void UpstreamHealth::record_error_response(Instant now) {
  trial_in_flight_ = false;
  ++consecutive_errors_;
  if (consecutive_errors_ >= kErrorsToEject) {
    eject(now);
  }
}

void UpstreamHealth::record_success(Instant now) {
  *this = UpstreamHealth();
  ignore_peers_until_ = now + kOwnSuccessValidity;
}

void UpstreamHealth::eject(Instant now) {
  if (now < ejected_until_) {
    return;  // The failed request was sent before the ejection.
  }
  ejection_time_ = on_trial_ ? std::min(ejection_time_ * 2, kMaxEjection) : kFirstEjection;
  on_trial_ = true;
  ejected_until_ = now + ejection_time_;
}

void UpstreamHealth::record_sent() {
  trial_in_flight_ = on_trial_;
}

bool UpstreamHealth::may_receive(bool may_retry, std::uint32_t peer_failures, Instant now) {
  if (!on_trial_ && peer_failures >= kFailuresToEject && now >= ignore_peers_until_) {
    eject(now);
  }
  if (!on_trial_) {
    return true;
  }
  if (now < ejected_until_ || trial_in_flight_) {
    return false;
  }
  return may_retry || now >= ejected_until_ + kNonRetryableTrialDelay;
}

}  // namespace bluebellstep
