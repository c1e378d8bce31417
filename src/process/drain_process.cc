// Carries out the steps of a `DrainController`.

#include "process/drain_process.h"

#include <optional>

#include "base/log_event.h"
#include "base/overloaded.h"

namespace bluebellstep {
namespace {

constexpr Duration kPoll = {20};
constexpr Duration kIdlePoll = {1000};

// Carries out steps until the controller wants to wait. Returns the exit code once it says to exit.
std::optional<int> take_steps(DrainController& controller, const DrainActions& actions) {
  while (true) {
    std::optional<int> exit_code;
    bool waits = false;
    std::visit(Overloaded{[&](const DrainContinue&) { waits = true; },
                          [&](const CloseListener&) { actions.close_listener(); },
                          [&](const AbortStreams&) { actions.cut_streams(); },
                          [&](const ExitProcess& exit) { exit_code = exit.code; }},
               controller.step(actions.open_work(), Clock().now()));
    if (waits || exit_code.has_value()) {
      return exit_code;
    }
  }
}

}  // namespace

int drain_process(SignalWaiter& signals, DrainController controller, const DrainActions& actions) {
  while (signals.wait(kIdlePoll) != SignalKind::kStop) {
    if (actions.check_settings) {
      actions.check_settings();
    }
  }
  LogEvent("shutdown_started").field("open_work", static_cast<std::uint64_t>(actions.open_work()));
  controller.handle_sigterm(Clock().now());
  actions.announce();
  while (true) {
    if (const auto exit_code = take_steps(controller, actions)) {
      return *exit_code;
    }
    if (signals.wait(kPoll) == SignalKind::kStop) {
      controller.handle_sigterm(Clock().now());
    }
  }
}

}  // namespace bluebellstep
