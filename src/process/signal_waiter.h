// Waits for signals that stop a process or notify it of changed settings.

#ifndef BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_
#define BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_

#include <signal.h>

#include "base/clock.h"

namespace bluebellstep {

/** Meaning of a received signal. */
enum class SignalKind { kNone, kStop, kSettingsChanged };

/** Blocks SIGTERM, SIGINT and SIGHUP, so that they can be received by `wait`. Also ignores SIGPIPE.
 * Construct it before any thread is started, because threads inherit the signal mask. */
class SignalWaiter {
 public:
  SignalWaiter();

  /** Waits for a signal for at most `max_wait`. Returns `kNone` if none was received. */
  SignalKind wait(Duration max_wait);

 private:
  sigset_t signals_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_
