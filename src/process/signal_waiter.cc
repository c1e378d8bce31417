// Waits for stop signals.

#include "process/signal_waiter.h"

#include <ctime>

namespace bluebellstep {

SignalWaiter::SignalWaiter() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  // A peer that closes its connection while we write must not end the process.
  signal(SIGPIPE, SIG_IGN);
  // Says that the settings file has changed; its default action would end the process.
  signal(SIGHUP, SIG_IGN);
}

bool SignalWaiter::wait(Duration limit) {
  const timespec span = {limit.ms / 1000, (limit.ms % 1000) * 1'000'000};
  return sigtimedwait(&signals_, nullptr, &span) > 0;
}

}  // namespace bluebellstep
