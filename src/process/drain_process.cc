// Executes the steps of a `DrainController`.

#include "process/drain_process.h"

#include <optional>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

constexpr Duration kDrainPollInterval = {20};
constexpr Duration kServingPollInterval = {1000};

// Executes steps until there is nothing to do at present. Returns the exit code if the process must
// exit.
std::optional<int> execute_steps(DrainController& controller, const DrainActions& actions) {
  while (true) {
    std::optional<int> exit_code;
    bool is_waiting = false;
    std::visit(Overloaded{[&](const DrainContinue&) { is_waiting = true; },
                          [&](const CloseListener&) { actions.close_listener(); },
                          [&](const AbortStreams&) { actions.abort_requests(); },
                          [&](const ExitProcess& exit) { exit_code = exit.code; }},
               controller.step(actions.count_open_requests(), Clock().now()));
    if (is_waiting || exit_code.has_value()) {
      return exit_code;
    }
  }
}

}  // namespace

int drain_process(SignalWaiter& signals, DrainController controller, const DrainActions& actions) {
  while (signals.wait(kServingPollInterval) != SignalKind::kStop) {
    if (actions.check_settings) {
      actions.check_settings();
    }
  }
  LogEvent("shutdown_started")
      .field("open_work", static_cast<std::uint64_t>(actions.count_open_requests()));
  controller.handle_sigterm(Clock().now());
  actions.announce_leaving();
  while (true) {
    if (const auto exit_code = execute_steps(controller, actions)) {
      return *exit_code;
    }
    if (signals.wait(kDrainPollInterval) == SignalKind::kStop) {
      controller.handle_sigterm(Clock().now());
    }
  }
}

}  // namespace bluebellstep
