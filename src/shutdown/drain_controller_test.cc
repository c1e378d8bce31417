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
      Overloaded{[](const DrainContinue& go_on) {
                   return go_on.at ? "until " + std::to_string(go_on.at->ms) : std::string("go on");
                 },
                 [](CloseListener) { return std::string("close"); },
                 [](AbortStreams) { return std::string("cut"); },
                 [](ExitProcess exit) { return "exit " + std::to_string(exit.code); }},
      step);
}

struct Moment {
  std::int64_t at;
  std::size_t open_work;
  std::string step;
  bool handle_sigterm = false;  // Before the step.
};

struct Course {
  std::string name;
  DrainRole role;
  std::vector<Moment> moments;
};

}  // namespace

// Guards against an exit while requests are open, an exit code that hides a cut request, and a
// process that never ends.
TEST_CASE("a shutdown takes its course", "[shutdown]") {
  const Course course = GENERATE(values<Course>({
      {"entry without work waits for the balancer",
       DrainRole::kEntry,
       {{0, 5, "go on"},
        {10, 0, "until 60", true},
        {59, 0, "until 60"},
        {60, 0, "close"},
        {60, 0, "exit 0"}}},
      {"entry waits for its streams",
       DrainRole::kEntry,
       {{0, 2, "until 50", true},
        {50, 2, "close"},
        {50, 2, "until 1000"},
        {999, 1, "until 1000"},
        {999, 0, "exit 0"},
        {2000, 0, "exit 0"}}},
      {"entry cuts streams at the limit",
       DrainRole::kEntry,
       {{0, 1, "until 50", true},
        {50, 1, "close"},
        {1000, 1, "cut"},
        {1001, 1, "until 1010"},
        {1002, 0, "exit 4"}}},
      {"error events that are never sent do not keep it",
       DrainRole::kEntry,
       {{0, 1, "until 50", true}, {50, 1, "close"}, {1000, 1, "cut"}, {1010, 1, "exit 4"}}},
      {"entry paused past all limits",
       DrainRole::kEntry,
       {{0, 1, "until 50", true}, {5000, 1, "close"}, {5000, 1, "cut"}, {5000, 0, "exit 4"}}},
      {"second signal",
       DrainRole::kEntry,
       {{0, 1, "until 50", true}, {10, 1, "exit 3", true}, {11, 0, "exit 3"}}},
      {"second signal while cutting",
       DrainRole::kSidecar,
       {{0, 1, "until 20", true}, {1000, 1, "cut"}, {1001, 1, "exit 3", true}}},
      {"sidecar without work stays until the entries have heard",
       DrainRole::kSidecar,
       {{0, 0, "until 20", true}, {19, 0, "until 20"}, {20, 0, "exit 0"}}},
      {"sidecar finishes its runs",
       DrainRole::kSidecar,
       {{0, 3, "until 20", true},
        {20, 3, "until 1000"},
        {700, 1, "until 1000"},
        {800, 0, "exit 0"}}},
      {"sidecar cuts runs at the limit",
       DrainRole::kSidecar,
       {{0, 1, "until 20", true}, {1000, 1, "cut"}, {1001, 0, "exit 4"}}},
  }));
  INFO(course.name);
  DrainController controller(course.role, kTimes);
  for (const Moment& moment : course.moments) {
    if (moment.handle_sigterm) {
      controller.handle_sigterm(Instant{moment.at});
    }
    INFO("at " << moment.at);
    CHECK(describe(controller.step(moment.open_work, Instant{moment.at})) == moment.step);
  }
}

// Guards against a leaving sidecar that takes new work or forgets its orders, and an entry instance
// that refuses callers whom the balancer still sends.
TEST_CASE("each phase accepts its kinds of work", "[shutdown]") {
  struct Row {
    DrainRole role;
    std::int64_t time;  // Of the last step; the signal comes at 0, before it nothing is refused.
    bool new_request;
    bool order_repeat;
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
  CHECK(!controller.refusal_for(DrainWork::kOrderRetry) == row.order_repeat);
  CHECK(!controller.refusal_for(DrainWork::kResume) == row.resume);
}

// Guards against a refusal that tells a caller "not run" about an order that may have run.
TEST_CASE("a refused repeat may have run", "[shutdown]") {
  DrainController controller(DrainRole::kSidecar, kTimes);
  controller.handle_sigterm(Instant{0});
  CHECK(controller.refusal_for(DrainWork::kNewRequest)->run_state() == RunState::kNotRun);
  controller.handle_sigterm(Instant{1});
  CHECK(controller.refusal_for(DrainWork::kOrderRetry)->run_state() == RunState::kMayHaveRun);
}

}  // namespace bluebellstep
