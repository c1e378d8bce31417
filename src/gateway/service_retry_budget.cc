// Sliding window of requests and retries.

#include "gateway/service_retry_budget.h"

#include <algorithm>

namespace bluebellstep {

ServiceRetryBudget::Bucket& ServiceRetryBudget::current_bucket(const RetryLimits& limits,
                                                               Instant now) {
  const std::int64_t bucket_ms =
      std::max<std::int64_t>(1, limits.window.ms / std::int64_t{kBuckets});
  const std::int64_t index = now.ms / bucket_ms;
  Bucket& bucket = buckets_[static_cast<std::size_t>(index) % kBuckets];
  if (bucket.index != index) {
    bucket = {.index = index};
  }
  return bucket;
}

void ServiceRetryBudget::count_request(const RetryLimits& limits, Instant now) {
  ++current_bucket(limits, now).requests;
}

bool ServiceRetryBudget::can_retry(const RetryLimits& limits,
                                   std::size_t gateway_count,
                                   Instant now) {
  const Bucket& bucket = current_bucket(limits, now);
  double requests = 0;
  double retries = 0;
  for (const Bucket& other : buckets_) {
    if (other.index > bucket.index - static_cast<std::int64_t>(kBuckets)) {
      requests += other.requests;
      retries += other.retries;
    }
  }
  const double fixed_share =
      limits.fixed_retries / static_cast<double>(std::max<std::size_t>(1, gateway_count));
  return retries + 1 <= kSafetyFactor * (limits.ratio * requests + fixed_share);
}

bool ServiceRetryBudget::try_acquire_retry(const RetryLimits& limits,
                                           std::size_t gateway_count,
                                           Instant now) {
  if (!can_retry(limits, gateway_count, now)) {
    return false;
  }
  ++current_bucket(limits, now).retries;
  return true;
}

}  // namespace bluebellstep
