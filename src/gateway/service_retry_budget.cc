// Sliding window of requests and repeats.

#include "gateway/service_retry_budget.h"

#include <algorithm>

namespace bluebellstep {

ServiceRetryBudget::Slice& ServiceRetryBudget::current(const RetryLimits& limits, Instant now) {
  const std::int64_t span = std::max<std::int64_t>(1, limits.window.ms / std::int64_t{kSlices});
  const std::int64_t number = now.ms / span;
  Slice& slice = slices_[static_cast<std::size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = {.number = number};
  }
  return slice;
}

void ServiceRetryBudget::request(const RetryLimits& limits, Instant now) {
  ++current(limits, now).requests;
}

bool ServiceRetryBudget::available(const RetryLimits& limits, std::size_t gateways, Instant now) {
  const Slice& slice = current(limits, now);
  double requests = 0;
  double repeats = 0;
  for (const Slice& other : slices_) {
    if (other.number > slice.number - static_cast<std::int64_t>(kSlices)) {
      requests += other.requests;
      repeats += other.repeats;
    }
  }
  const double share =
      limits.fixed_retries / static_cast<double>(std::max<std::size_t>(1, gateways));
  return repeats + 1 <= kSafetyFactor * (limits.ratio * requests + share);
}

bool ServiceRetryBudget::take(const RetryLimits& limits, std::size_t gateways, Instant now) {
  if (!available(limits, gateways, now)) {
    return false;
  }
  ++current(limits, now).repeats;
  return true;
}

}  // namespace bluebellstep
