// Signals that stop a process.

#ifndef BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_
#define BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_

#include <signal.h>

#include "base/clock.h"

namespace bluebellstep {

/** Takes SIGTERM and SIGINT from their default action. Make it before any thread starts, since
 * threads inherit it. */
class SignalWaiter {
 public:
  SignalWaiter();

  /** Waits for a stop signal, for at most `limit`. Returns whether one came. */
  bool wait(Duration limit);

 private:
  sigset_t signals_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_
