// Limits the retries of an entry instance, so that they do not overload a pool that is already
// failing.

#ifndef BLUEBELLSTEP_ROUTING_RETRY_BUDGET_H_
#define BLUEBELLSTEP_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace bluebellstep {

/** Token bucket that is filled by first attempts and drained by retries. Retries are limited to 10%
 * of first attempts, plus `kReservedRetries` for a process that has handled few requests. */
class EntryRetryBudget {
 public:
  /** Retries available before any first attempt. */
  static constexpr std::int64_t kReservedRetries = 10;

  /** Number of first attempts that allow one retry. */
  static constexpr std::int64_t kFirstAttemptsPerRetry = 10;

  /** Records the first attempt of a request. */
  void record_first_attempt() {
    tokens_ = std::min(tokens_ + 1, kReservedRetries * kFirstAttemptsPerRetry);
  }

  /** Takes one retry from the budget. Returns false, and takes nothing, if the budget is exhausted.
   */
  bool try_acquire_retry() {
    if (tokens_ < kFirstAttemptsPerRetry) {
      return false;
    }
    tokens_ -= kFirstAttemptsPerRetry;
    return true;
  }

  /** Returns the number of retries left in the budget. */
  std::int64_t available_retries() const { return tokens_ / kFirstAttemptsPerRetry; }

 private:
  // In first attempts, from 0 to kReservedRetries * kFirstAttemptsPerRetry.
  std::int64_t tokens_ = kReservedRetries * kFirstAttemptsPerRetry;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROUTING_RETRY_BUDGET_H_
