// Tracks the attempts of an order at an entry instance, to report a correct verdict to the caller
// after retries.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_ATTEMPTS_H_
#define BLUEBELLSTEP_ORDERS_ORDER_ATTEMPTS_H_

#include <cstdint>
#include <set>

#include "base/verdict.h"

namespace bluebellstep {

/**
 * The attempts of one order at an entry instance. An attempt that was sent and not answered may
 * still be accepted later, for example by an owner that is paused. While such an attempt exists, a
 * refusal of a later attempt as `not_run` does not apply to the order. Each attempt is sent at most
 * once; a retry is a new attempt.
 */
class OrderAttempts {
 public:
  /** Starts an attempt and returns its number. Numbers start at 1. */
  std::uint32_t start() {
    unresolved_.insert(++last_attempt_);
    return last_attempt_;
  }

  /** Records that an attempt has not run and never will: it was refused as `not_run`, or no byte of
   * it was sent. */
  void mark_not_run(std::uint32_t attempt) { unresolved_.erase(attempt); }

  /** Returns the verdict for the caller when the last attempt ended with `last_verdict`. */
  Verdict verdict_for_caller(const Verdict& last_verdict) const {
    if (last_verdict.run_state() == RunState::kNotRun && !unresolved_.empty()) {
      return Verdict::may_have_run(Reason::kConnectionLost,
                                   "an earlier attempt was not answered and may still run");
    }
    return last_verdict;
  }

 private:
  std::uint32_t last_attempt_ = 0;
  std::set<std::uint32_t> unresolved_;  // Attempts that have run or may still run.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_ATTEMPTS_H_
