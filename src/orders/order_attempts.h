// What an entry instance may tell the caller of an order that it sent more than once.

#ifndef BLUEBELLSTEP_ORDERS_ORDER_ATTEMPTS_H_
#define BLUEBELLSTEP_ORDERS_ORDER_ATTEMPTS_H_

#include <cstdint>
#include <set>

#include "base/verdict.h"

namespace bluebellstep {

/**
 * The attempts of one order at an entry instance. An attempt that was sent and got no answer may
 * still be accepted later, for example by an owner that is paused. As long as there is one, a "not
 * run" from a later attempt does not hold for the order. Each attempt is sent at most once; sending
 * again is a new attempt.
 */
class OrderAttempts {
 public:
  /** Starts an attempt and returns its number, from 1. */
  std::uint32_t start() {
    open_.insert(++last_);
    return last_;
  }

  /** Notes that an attempt certainly did not and will not run: it was refused `not_run`, or no
   * byte of it was sent. */
  void mark_not_run(std::uint32_t attempt) { open_.erase(attempt); }

  /** Returns the verdict for the caller when the last attempt ended with `last`. */
  Verdict verdict_for_caller(const Verdict& last) const {
    if (last.run_state() == RunState::kNotRun && !open_.empty()) {
      return Verdict::may_have_run(Reason::kConnectionLost,
                                   "an earlier attempt got no answer and may still run");
    }
    return last;
  }

 private:
  std::uint32_t last_ = 0;
  std::set<std::uint32_t> open_;  // Attempts not known to have ended without running.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ORDERS_ORDER_ATTEMPTS_H_
