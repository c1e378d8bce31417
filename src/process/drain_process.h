// Waits for the stop signal and takes a process through its graceful shutdown.

#ifndef BLUEBELLSTEP_PROCESS_DRAIN_PROCESS_H_
#define BLUEBELLSTEP_PROCESS_DRAIN_PROCESS_H_

#include <cstddef>
#include <functional>

#include "process/signal_waiter.h"
#include "shutdown/drain_controller.h"

namespace bluebellstep {

/** What a role does in the steps of its shutdown. All are called on the main thread. */
struct DrainActions {
  /** Called about once a second until the stop signal, and when a signal says that the settings
   * have changed. May be empty. */
  std::function<void()> check_settings;

  /** The first stop signal came: readiness turns false, peers hear that the process leaves. */
  std::function<void()> announce_leaving;

  /** Returns the number of requests that are not answered completely. */
  std::function<std::size_t()> count_open_requests;

  /** Stops accepting connections from callers. */
  std::function<void()> close_listener;

  /** Ends every open request with an error. */
  std::function<void()> abort_requests;
};

/** Serves until a stop signal comes, then drains. Returns the exit code. */
int drain_process(SignalWaiter& signals, DrainController controller, const DrainActions& actions);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PROCESS_DRAIN_PROCESS_H_
