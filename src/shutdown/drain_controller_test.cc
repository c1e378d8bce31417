// Tests of graceful shutdown.

#include "shutdown/drain_controller.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "base/overloaded.h"

namespace bluebellstep {
namespace {

constexpr DrainTimes kTimes{.balancer_delay = {50},
                            .leave_notice_time = {20},
                            .stop_limit = {1000},
                            .abort_timeout = {10}};

std::string describe(const DrainStep& step) {
  return std::visit(
      Overloaded{[](const DrainContinue& next) {
                   return next.at ? "until " + std::to_string(next.at->ms) : std::string("go on");
                 },
                 [](CloseListener) { return std::string("close"); },
                 [](AbortStreams) { return std::string("abort"); },
                 [](ExitProcess exit) { return "exit " + std::to_string(exit.code); }},
      step);
}

struct ExpectedStep {
  std::int64_t at;
  std::size_t open_requests;
  std::string step;
  bool sigterm = false;  // Whether a SIGTERM precedes the step.
};

struct Scenario {
  std::string name;
  DrainRole role;
  std::vector<ExpectedStep> expected_steps;
};

}  // namespace

// Guards against an exit while requests are open, against exit code 0 although requests were
// aborted, and against a process that never exits.
TEST_CASE("a shutdown takes its course", "[shutdown]") {
  const Scenario scenario = GENERATE(values<Scenario>({
      {"entry instance without requests waits for the load balancer",
       DrainRole::kEntry,
       {{0, 5, "go on"},
        {10, 0, "until 60", true},
        {59, 0, "until 60"},
        {60, 0, "close"},
        {60, 0, "exit 0"}}},
      {"entry instance waits for its streams",
       DrainRole::kEntry,
       {{0, 2, "until 50", true},
        {50, 2, "close"},
        {50, 2, "until 1000"},
        {999, 1, "until 1000"},
        {999, 0, "exit 0"},
        {2000, 0, "exit 0"}}},
      {"entry instance aborts streams at the stop limit",
       DrainRole::kEntry,
       {{0, 1, "until 50", true},
        {50, 1, "close"},
        {1000, 1, "abort"},
        {1001, 1, "until 1010"},
        {1002, 0, "exit 4"}}},
      {"error events that are never sent do not prevent the exit",
       DrainRole::kEntry,
       {{0, 1, "until 50", true}, {50, 1, "close"}, {1000, 1, "abort"}, {1010, 1, "exit 4"}}},
      {"entry instance paused until after all limits",
       DrainRole::kEntry,
       {{0, 1, "until 50", true}, {5000, 1, "close"}, {5000, 1, "abort"}, {5000, 0, "exit 4"}}},
      {"second SIGTERM",
       DrainRole::kEntry,
       {{0, 1, "until 50", true}, {10, 1, "exit 3", true}, {11, 0, "exit 3"}}},
      {"second SIGTERM while aborting",
       DrainRole::kSidecar,
       {{0, 1, "until 20", true}, {1000, 1, "abort"}, {1001, 1, "exit 3", true}}},
      {"sidecar without requests waits until its leaving is reported",
       DrainRole::kSidecar,
       {{0, 0, "until 20", true}, {19, 0, "until 20"}, {20, 0, "exit 0"}}},
      {"sidecar completes its runs",
       DrainRole::kSidecar,
       {{0, 3, "until 20", true},
        {20, 3, "until 1000"},
        {700, 1, "until 1000"},
        {800, 0, "exit 0"}}},
      {"sidecar aborts runs at the stop limit",
       DrainRole::kSidecar,
       {{0, 1, "until 20", true}, {1000, 1, "abort"}, {1001, 0, "exit 4"}}},
  }));
  INFO(scenario.name);
  DrainController controller(scenario.role, kTimes);
  for (const ExpectedStep& expected : scenario.expected_steps) {
    if (expected.sigterm) {
      controller.handle_sigterm(Instant{expected.at});
    }
    INFO("at " << expected.at);
    CHECK(describe(controller.step(expected.open_requests, Instant{expected.at})) == expected.step);
  }
}

// Guards against requests that are cut off because the platform repeats SIGTERM.
TEST_CASE("a second SIGTERM has no effect unless it is set to force the exit", "[shutdown]") {
  DrainTimes times = kTimes;
  times.second_stop_is_forced = false;
  DrainController controller(DrainRole::kEntry, times);
  controller.handle_sigterm(Instant{0});
  controller.handle_sigterm(Instant{10});
  CHECK(describe(controller.step(1, Instant{10})) == "until 50");
  CHECK(describe(controller.step(1, Instant{50})) == "close");
  controller.handle_sigterm(Instant{60});
  CHECK(describe(controller.step(1, Instant{60})) == "until 1000");
  CHECK(describe(controller.step(0, Instant{70})) == "exit 0");
}

// Guards against a leaving sidecar that accepts new requests or refuses retries of its orders, and
// against an entry instance that refuses requests which the load balancer still sends to it.
TEST_CASE("each phase accepts its kinds of work", "[shutdown]") {
  struct Row {
    DrainRole role;
    std::int64_t time;  // Time of the last step. SIGTERM is received at 0; -1 means no SIGTERM.
    bool new_request;
    bool order_retry;
    bool resume;
  };
  const Row row = GENERATE(values<Row>({
      {DrainRole::kEntry, -1, true, true, true},
      {DrainRole::kEntry, 49, true, true, true},
      {DrainRole::kEntry, 50, false, false, true},
      {DrainRole::kEntry, 1000, false, false, false},
      {DrainRole::kSidecar, -1, true, true, true},
      {DrainRole::kSidecar, 0, false, true, true},
      {DrainRole::kSidecar, 999, false, true, true},
      {DrainRole::kSidecar, 1000, false, false, false},
  }));
  CAPTURE(static_cast<int>(row.role), row.time);
  DrainController controller(row.role, kTimes);
  if (row.time >= 0) {
    controller.handle_sigterm(Instant{0});
    controller.step(1, Instant{row.time});
    controller.step(1, Instant{row.time});
  }
  CHECK(controller.ready() == (row.time < 0));
  CHECK(!controller.refusal_for(DrainWork::kNewRequest) == row.new_request);
  CHECK(!controller.refusal_for(DrainWork::kOrderRetry) == row.order_retry);
  CHECK(!controller.refusal_for(DrainWork::kResume) == row.resume);
}

// Guards against a refusal that reports "not run" to a caller although the order may have run.
TEST_CASE("a refused order retry may have run", "[shutdown]") {
  DrainController controller(DrainRole::kSidecar, kTimes);
  controller.handle_sigterm(Instant{0});
  CHECK(controller.refusal_for(DrainWork::kNewRequest)->run_state() == RunState::kNotRun);
  controller.handle_sigterm(Instant{1});
  CHECK(controller.refusal_for(DrainWork::kOrderRetry)->run_state() == RunState::kMayHaveRun);
}

}  // namespace bluebellstep
