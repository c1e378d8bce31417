// Runs a process until it receives a stop signal, and then performs its graceful shutdown.

#ifndef BLUEBELLSTEP_PROCESS_DRAIN_PROCESS_H_
#define BLUEBELLSTEP_PROCESS_DRAIN_PROCESS_H_

#include <cstddef>
#include <functional>

#include "process/signal_waiter.h"
#include "shutdown/drain_controller.h"

namespace bluebellstep {

/** Actions of a process during its shutdown. All are called on the main thread. */
struct DrainActions {
  /** Called about once per second until the stop signal, and immediately after a signal that the
   * settings have changed. May be empty. */
  std::function<void()> check_settings;

  /** Called at the first stop signal. Reports the process as not ready; a sidecar also notifies its
   * peers that it is leaving. */
  std::function<void()> announce_leaving;

  /** Returns the number of requests without a complete answer. */
  std::function<std::size_t()> count_open_requests;

  /** Stops accepting connections from callers. */
  std::function<void()> close_listener;

  /** Aborts all open requests with an error. */
  std::function<void()> abort_requests;
};

/** Runs until a stop signal is received and the shutdown is complete. Returns the exit code of the
 * process. */
int drain_process(SignalWaiter& signals, DrainController controller, const DrainActions& actions);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_DRAIN_PROCESS_H_
