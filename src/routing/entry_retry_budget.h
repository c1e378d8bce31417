// Limit on retries, so that a failing pool is not flooded by them.

#ifndef BLUEBELLSTEP_ROUTING_ENTRY_RETRY_BUDGET_H_
#define BLUEBELLSTEP_ROUTING_ENTRY_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace bluebellstep {

/** Token bucket that first tries fill and retries empty: retries are at most 10% of first tries,
 * plus `kReservedRetries` for a process that has seen few requests. */
class EntryRetryBudget {
 public:
  /** Retries that are possible without any first tries. */
  static constexpr std::int64_t kReservedRetries = 10;

  /** First tries that pay for one retry. */
  static constexpr std::int64_t kFirstAttemptsPerRetry = 10;

  /** Counts a first try. */
  void record_first_attempt() {
    credit_ = std::min(credit_ + 1, kReservedRetries * kFirstAttemptsPerRetry);
  }

  /** Returns true and charges the budget if a retry may be made now. */
  bool try_acquire_retry() {
    if (credit_ < kFirstAttemptsPerRetry) {
      return false;
    }
    credit_ -= kFirstAttemptsPerRetry;
    return true;
  }

  /** Returns the number of retries that could be made now. */
  std::int64_t available_retries() const { return credit_ / kFirstAttemptsPerRetry; }

 private:
  // Counted in first tries, from 0 to kReservedRetries * kFirstAttemptsPerRetry.
  std::int64_t credit_ = kReservedRetries * kFirstAttemptsPerRetry;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_ENTRY_RETRY_BUDGET_H_
