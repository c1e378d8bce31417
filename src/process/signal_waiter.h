// Signals that stop a process or tell it of changed settings.

#ifndef BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_
#define BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_

#include <signal.h>

#include "base/clock.h"

namespace bluebellstep {

/** What a signal asks for. */
enum class SignalKind { kNone, kStop, kSettingsChanged };

/** Takes SIGTERM, SIGINT and SIGHUP from their default action. Make it before any thread starts,
 * since threads inherit it. */
class SignalWaiter {
 public:
  SignalWaiter();

  /** Waits for a signal, for at most `limit`. */
  SignalKind wait(Duration max_wait);

 private:
  sigset_t signals_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_SIGNAL_WAITER_H_
