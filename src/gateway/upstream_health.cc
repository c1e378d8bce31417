// Failures in a row, pauses and trials.

#include "gateway/upstream_health.h"

#include <algorithm>

namespace bluebellstep {

void UpstreamHealth::failed(Instant now) {
  trial_under_way_ = false;
  ++failures_;
  if (on_trial_ || failures_ >= kFailuresToShun) {
    shun(now);
  }
}

void UpstreamHealth::answered_error(Instant now) {
  trial_under_way_ = false;
  ++errors_;
  if (errors_ >= kErrorsToShun) {
    shun(now);
  }
}

void UpstreamHealth::succeeded(Instant now) {
  *this = UpstreamHealth();
  trusted_until_ = now + kTrustSuccess;
}

void UpstreamHealth::shun(Instant now) {
  if (now < shunned_until_) {
    return;  // A request that was sent before.
  }
  pause_ = on_trial_ ? std::min(pause_ * 2, kLastPause) : kFirstPause;
  on_trial_ = true;
  shunned_until_ = now + pause_;
}

void UpstreamHealth::sent() {
  trial_under_way_ = on_trial_;
}

bool UpstreamHealth::may_get(bool may_retry, std::uint32_t others_failures, Instant now) {
  if (!on_trial_ && others_failures >= kFailuresToShun && now >= trusted_until_) {
    shun(now);
  }
  if (!on_trial_) {
    return true;
  }
  if (now < shunned_until_ || trial_under_way_) {
    return false;
  }
  return may_retry || now >= shunned_until_ + kTrialByAnyAfter;
}

}  // namespace bluebellstep
