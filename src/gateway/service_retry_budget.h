// Limits how often a gateway retries requests to a service.
//
// When many requests fail at the same time, every gateway retries them, and the retries could
// overload the service. The limit holds over all gateways together, so each one uses only its
// share.

#ifndef BLUEBELLSTEP_GATEWAY_SERVICE_RETRY_BUDGET_H_
#define BLUEBELLSTEP_GATEWAY_SERVICE_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** Limit over all gateways: in each window, `ratio` retries per request plus `fixed_retries`. */
struct RetryLimits {
  double ratio = 0.2;
  double fixed_retries = 50;
  Duration window{10'000};
};

/** Counts requests and retries of one service in a sliding window. */
class ServiceRetryBudget {
 public:
  /** Fraction of the limit that is used, since clocks and windows of the gateways differ. */
  static constexpr double kSafetyFactor = 0.8;

  /** Counts a caller's request. Retries are not counted as requests. */
  void count_request(const RetryLimits& limits, Instant now);

  /** Returns whether a retry is within the budget now, without counting one. */
  bool can_retry(const RetryLimits& limits, std::size_t gateway_count, Instant now);

  /** Counts a retry and returns true if it is within the budget. `gateway_count` gateways share
   * `limits.fixed_retries` equally. */
  [[nodiscard]] bool try_acquire_retry(const RetryLimits& limits,
                                       std::size_t gateway_count,
                                       Instant now);

 private:
  struct Bucket {
    std::int64_t index = -1;  // Time since the clock's epoch, in bucket lengths.
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  static constexpr std::size_t kBuckets = 10;

  // Returns the bucket for `now`, cleared if it still holds the counts of an earlier window.
  Bucket& current_bucket(const RetryLimits& limits, Instant now);

  std::array<Bucket, kBuckets> buckets_;  // Ring indexed by `Bucket::index` modulo `kBuckets`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SERVICE_RETRY_BUDGET_H_
