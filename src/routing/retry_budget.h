// Limit on retries, so that a failing pool is not flooded by them.

#ifndef BLUEBELLSTEP_ROUTING_RETRY_BUDGET_H_
#define BLUEBELLSTEP_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace bluebellstep {

/** Token bucket that first tries fill and retries empty: retries are at most 10% of first tries,
 * plus `kReserve` for a process that has seen few requests. */
class RetryBudget {
 public:
  /** Retries that are possible without any first tries. */
  static constexpr std::int64_t kReserve = 10;

  /** First tries that pay for one retry. */
  static constexpr std::int64_t kFirstTriesPerRetry = 10;

  /** Counts a first try. */
  void first_try() { credit_ = std::min(credit_ + 1, kReserve * kFirstTriesPerRetry); }

  /** Returns true and charges the budget if a retry may be made now. */
  bool try_retry() {
    if (credit_ < kFirstTriesPerRetry) {
      return false;
    }
    credit_ -= kFirstTriesPerRetry;
    return true;
  }

  /** Returns the number of retries that could be made now. */
  std::int64_t available() const { return credit_ / kFirstTriesPerRetry; }

 private:
  // Counted in first tries, from 0 to kReserve * kFirstTriesPerRetry.
  std::int64_t credit_ = kReserve * kFirstTriesPerRetry;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_RETRY_BUDGET_H_
