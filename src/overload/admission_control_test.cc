// Tests of the admission of requests under overload.

#include "overload/admission_control.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr AdmissionInputs kShort{.queue_ms = 0,
                                 .own_ms = 50,
                                 .latency_goal = Duration{400},
                                 .time_left = Duration{4000}};

AdmissionInputs with_queue(AdmissionInputs inputs, double queue_ms) {
  inputs.queue_ms = queue_ms;
  return inputs;
}

}  // namespace

TEST_CASE("a request is refused if its first event is not expected in time", "[overload]") {
  CHECK_FALSE(AdmissionControl::retry_delay(with_queue(kShort, 340)));
  const auto delay = AdmissionControl::retry_delay(with_queue(kShort, 1350));
  REQUIRE(delay);
  CHECK(*delay == Duration{1000});  // The queue has 1000 ms too much.
}

TEST_CASE("the retry delay is limited", "[overload]") {
  CHECK(AdmissionControl::retry_delay(with_queue(kShort, 360)) == AdmissionControl::kMinRetryDelay);
  CHECK(AdmissionControl::retry_delay(with_queue(kShort, 60'000)) ==
        AdmissionControl::kMaxRetryDelay);
}

// Guards against prompts that are refused for ever because their own prefill takes longer than the
// goal.
TEST_CASE("a long prompt is admitted to an engine with a short queue", "[overload]") {
  AdmissionInputs inputs = kShort;
  inputs.own_ms = 900;
  CHECK_FALSE(AdmissionControl::retry_delay(inputs));
  CHECK_FALSE(AdmissionControl::retry_delay(with_queue(inputs, 100)));
  CHECK(AdmissionControl::retry_delay(with_queue(inputs, 200)));
}

// Guards against streams that break off and are refused everywhere, while the engines of their
// software version are busy with new ones.
TEST_CASE("a stream that its caller takes up waits longer than a new one", "[overload]") {
  AdmissionInputs inputs = kShort;
  inputs.own_ms = 200;
  CHECK(AdmissionControl::retry_delay(with_queue(inputs, 400)));
  inputs.resumes = true;
  CHECK_FALSE(AdmissionControl::retry_delay(with_queue(inputs, 400)));
  CHECK(AdmissionControl::retry_delay(with_queue(inputs, 401)));
  inputs.time_left = Duration{500};
  CHECK(AdmissionControl::retry_delay(with_queue(inputs, 300)));
}

// Guards against work for callers that have left by the time of the answer.
TEST_CASE("a request whose deadline comes first is refused, whatever the queue is", "[overload]") {
  AdmissionInputs inputs = kShort;
  inputs.own_ms = 300;
  inputs.time_left = Duration{300};
  CHECK(AdmissionControl::retry_delay(inputs));
}

// Load pattern: short prompts with a short goal among long ones. Guards against queues of long
// prompts in which every short one is late.
TEST_CASE("less urgent requests leave room for urgent ones", "[overload][load]") {
  AdmissionInputs long_prompt{.own_ms = 200,
                              .latency_goal = Duration{800},
                              .urgent_goal = Duration{400},
                              .time_left = Duration{8000}};
  CHECK_FALSE(AdmissionControl::retry_delay(with_queue(long_prompt, 270)));
  CHECK(AdmissionControl::retry_delay(with_queue(long_prompt, 300)));
  // A short prompt is still admitted where a long one is not.
  CHECK_FALSE(AdmissionControl::retry_delay(with_queue(kShort, 300)));
  long_prompt.urgent_goal.reset();
  CHECK_FALSE(AdmissionControl::retry_delay(with_queue(long_prompt, 300)));
}

}  // namespace bluebellstep
