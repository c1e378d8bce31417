// Fault tests on real processes: every caller receives the complete answer, or an error if it is
// not complete.

#include <signal.h>

#include <catch2/catch.hpp>

#include "standins/expected_answer.h"
#include "tests/process/deployment.h"

namespace bluebellstep::testing {
namespace {

// Such an answer takes 3 s, because the engines of the deployment need 10 ms per token.
constexpr int kTokens = 300;
constexpr Duration kStreamTimeout = {15'000};

// Returns a prompt whose answer has at least `kTokens` tokens.
std::string long_prompt(int number) {
  for (int i = 0;; ++i) {
    std::string prompt = "manual " + std::to_string(number) + " page " + std::to_string(i);
    if (standins::ExpectedAnswer(prompt).length(kTokens) == kTokens) {
      return prompt;
    }
  }
}

std::string complete_text(const std::string& prompt) {
  return standins::ExpectedAnswer(prompt).text(0, kTokens);
}

// Checks that the answer is complete and marked as complete.
void check_complete(const AnswerStream::State& state, const std::string& prompt) {
  CHECK(state.closed);
  CHECK(state.status == 200);
  CHECK_FALSE(state.ended_in_error);
  CHECK(state.marked_complete);
  CHECK(state.text == complete_text(prompt));
}

// A stream of which the caller has received tokens, and the engine that generates it.
struct RunningStream {
  std::string prompt;
  std::shared_ptr<AnswerStream> stream;
  std::string engine;
};

RunningStream begin_stream(Deployment& deployment, int number) {
  RunningStream running;
  running.prompt = long_prompt(number);
  const auto before = deployment.counters("engine", "started");
  running.stream = deployment.start_stream("entry-1", running.prompt, kTokens);
  running.engine = deployment.wait_for_busy_upstream("engine", "started", before);
  REQUIRE_FALSE(running.engine.empty());
  REQUIRE(running.stream->wait_for_tokens(20, Duration{5000}));
  return running;
}

}  // namespace

// Guards against lost or duplicated tokens when a connection that was given up as unresponsive
// delivers events again.
TEST_CASE("process: an answer is whole after its sidecar was paused") {
  Deployment deployment;
  const RunningStream running = begin_stream(deployment, 1);
  ChildProcess& sidecar = deployment.process("sidecar-" + running.engine);
  sidecar.send_signal(SIGSTOP);
  // The pause must exceed the 1.5 s after which a connection counts as unresponsive.
  running.stream->wait_for_end(Duration{2500});
  sidecar.send_signal(SIGCONT);
  REQUIRE(running.stream->wait_for_end(kStreamTimeout));
  check_complete(running.stream->state(), running.prompt);
}

// Guards against an incomplete answer that is marked as complete when the sidecar is killed. An
// error is a failure too, because the other engine can take over.
TEST_CASE("process: an answer is whole after its sidecar was killed") {
  Deployment deployment;
  const RunningStream running = begin_stream(deployment, 2);
  deployment.process("sidecar-" + running.engine).kill_now();
  REQUIRE(running.stream->wait_for_end(kStreamTimeout));
  check_complete(running.stream->state(), running.prompt);
}

// Guards against answers that end where the connection to the engine broke.
TEST_CASE("process: an answer is whole when the engine's stream breaks") {
  Deployment deployment;
  for (const std::string engine : {"engine-1", "engine-2"}) {
    deployment.set_faults(engine, {{"break_after_tokens", 100}});
  }
  const std::string prompt = long_prompt(3);
  const auto stream = deployment.start_stream("entry-1", prompt, kTokens);
  REQUIRE(stream->wait_for_end(kStreamTimeout));
  check_complete(stream->state(), prompt);
}

// Guards against a caller that waits indefinitely for an engine that stopped sending without
// closing the connection.
TEST_CASE("process: an answer is whole when the engine's stream goes silent") {
  Deployment deployment;
  for (const std::string engine : {"engine-1", "engine-2"}) {
    deployment.set_faults(engine, {{"stall_after_tokens", 120}});
  }
  const std::string prompt = long_prompt(4);
  const auto stream = deployment.start_stream("entry-1", prompt, kTokens);
  REQUIRE(stream->wait_for_end(kStreamTimeout));
  check_complete(stream->state(), prompt);
}

// Guards against a graceful shutdown of an entry instance that cuts streams.
TEST_CASE("process: SIGTERM to an entry instance lets its streams end whole") {
  Deployment deployment;
  const RunningStream running = begin_stream(deployment, 5);
  ChildProcess& entry = deployment.process("entry-1");
  entry.send_signal(SIGTERM);
  CHECK(entry.wait_for_exit(kStreamTimeout) == 0);
  REQUIRE(running.stream->wait_for_end(Duration{1000}));
  check_complete(running.stream->state(), running.prompt);
}

// Guards against a graceful shutdown of a sidecar that cuts streams.
TEST_CASE("process: SIGTERM to a sidecar lets its streams end whole") {
  Deployment deployment;
  const RunningStream running = begin_stream(deployment, 6);
  ChildProcess& sidecar = deployment.process("sidecar-" + running.engine);
  sidecar.send_signal(SIGTERM);
  CHECK(sidecar.wait_for_exit(kStreamTimeout) == 0);
  REQUIRE(running.stream->wait_for_end(Duration{1000}));
  check_complete(running.stream->state(), running.prompt);
}

// Guards against a process that an operator cannot stop at once, and against a forced stop that
// exits with the code of a graceful one.
TEST_CASE("process: a second SIGTERM ends a process at once with code 3") {
  Deployment deployment;
  const RunningStream running = begin_stream(deployment, 7);
  for (const std::string& name : {std::string("entry-1"), "sidecar-" + running.engine}) {
    ChildProcess& target = deployment.process(name);
    target.send_signal(SIGTERM);
    // Pending signals of the same kind are merged, so the first one must have been handled.
    REQUIRE(
        wait_until(Duration{3000}, [&] { return deployment.get(name, "/readyz").status == 503; }));
    target.send_signal(SIGTERM);
    CHECK(target.wait_for_exit(Duration{1000}) == 3);
  }
}

}  // namespace bluebellstep::testing
