// Blocks signals and waits for them.

#include "process/signal_waiter.h"

#include <ctime>

namespace bluebellstep {

SignalWaiter::SignalWaiter() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  sigaddset(&signals_, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  // Writing to a connection closed by the peer must not end the process.
  signal(SIGPIPE, SIG_IGN);
}

SignalKind SignalWaiter::wait(Duration max_wait) {
  const timespec timeout = {max_wait.ms / 1000, (max_wait.ms % 1000) * 1'000'000};
  const int signal = sigtimedwait(&signals_, nullptr, &timeout);
  if (signal <= 0) {
    return SignalKind::kNone;
  }
  return signal == SIGHUP ? SignalKind::kSettingsChanged : SignalKind::kStop;
}

}  // namespace bluebellstep
