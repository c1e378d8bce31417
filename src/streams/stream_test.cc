// Tests of the stream buffer and the stream assembler.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "streams/stream_assembler.h"
#include "streams/stream_buffer.h"

namespace bluebellstep {
namespace {

constexpr StreamAttemptId kAttemptId{{7}, 1};

StreamEvent event_of(std::uint64_t index) {
  return {std::to_string(index), 1};
}

std::string join(const std::vector<StreamEvent>& events) {
  std::string text;
  for (const StreamEvent& event : events) {
    text += event.text;
  }
  return text;
}

}  // namespace

TEST_CASE("a buffer resumes at the position of the receiver", "[streams]") {
  StreamBuffer buffer({}, 5);
  for (std::uint64_t i = 5; i < 10; ++i) {
    buffer.append(event_of(i));
  }
  CHECK(buffer.take_unsent(1).count == 1);
  CHECK(buffer.take_unsent(1 << 20).count == 4);
  CHECK(buffer.take_unsent(1 << 20).count == 0);
  buffer.acknowledge(7);
  buffer.acknowledge(6);
  buffer.acknowledge(99);
  CHECK_FALSE(buffer.resume_from(6));
  CHECK_FALSE(buffer.resume_from(11));
  REQUIRE(buffer.resume_from(8));
  const EventRange range = buffer.take_unsent(1 << 20);
  CHECK(range.first_index == 8);
  CHECK(range.count == 2);
  CHECK(buffer.event(9).text == "9");
  CHECK_FALSE(buffer.total_events().has_value());
  buffer.finish();
  CHECK(buffer.total_events() == 10);
  buffer.acknowledge(10);
  CHECK_FALSE(buffer.fully_acknowledged());
  buffer.acknowledge_end();
  CHECK(buffer.fully_acknowledged());
}

// Guards against a slow caller that fills the memory, and against a producer that is never resumed.
TEST_CASE("a buffer above its limit pauses the producer", "[streams]") {
  StreamBuffer buffer({.pause_above_bytes = 1000, .resume_below_bytes = 500});
  std::uint64_t next = 0;
  while (!buffer.should_pause_producer()) {
    buffer.append(event_of(next++));
  }
  CHECK(buffer.buffered_bytes() < 1100);
  buffer.acknowledge(1);
  CHECK(buffer.should_pause_producer());
  buffer.acknowledge(next);
  CHECK_FALSE(buffer.should_pause_producer());
}

TEST_CASE("an assembler returns each event once and in order", "[streams]") {
  StreamAssembler assembler(kAttemptId, 200);
  CHECK(assembler.push(kAttemptId, 1, event_of(1)) == PushResult::kBuffered);
  CHECK(assembler.push(kAttemptId, 1, event_of(1)) == PushResult::kDuplicate);
  CHECK(assembler.push({{8}, 1}, 0, event_of(0)) == PushResult::kOtherAttempt);
  CHECK(assembler.push({{7}, 2}, 0, event_of(0)) == PushResult::kOtherAttempt);
  CHECK(assembler.push(kAttemptId, 0, event_of(0)) == PushResult::kReady);
  CHECK(assembler.push(kAttemptId, 0, event_of(0)) == PushResult::kDuplicate);
  CHECK(join(assembler.take_ready()) == "01");
  CHECK(assembler.take_ready().empty());
  for (std::uint64_t i = 3; i < 7; ++i) {
    assembler.push(kAttemptId, i, event_of(i));
  }
  CHECK(assembler.push(kAttemptId, 40, event_of(40)) == PushResult::kBufferFull);
  CHECK(assembler.next_index() == 2);
}

// Guards against an answer that ends normally although its last events are missing.
TEST_CASE("an answer is complete only with its total", "[streams]") {
  StreamAssembler assembler(kAttemptId, 1000);
  assembler.push(kAttemptId, 0, event_of(0));
  CHECK_FALSE(assembler.complete());
  CHECK_FALSE(assembler.finish({{7}, 2}, 1));
  CHECK_FALSE(assembler.finish(kAttemptId, 0));
  REQUIRE(assembler.finish(kAttemptId, 2));
  CHECK_FALSE(assembler.finish(kAttemptId, 3));
  CHECK_FALSE(assembler.complete());
  CHECK(assembler.push(kAttemptId, 2, event_of(2)) == PushResult::kBeyondEnd);
  assembler.push(kAttemptId, 1, event_of(1));
  CHECK(assembler.complete());
}

// Guards against early events of a failed attempt that become part of the text of the next attempt.
TEST_CASE("early events are discarded when the attempt changes", "[streams]") {
  StreamAssembler assembler(kAttemptId, 1000);
  assembler.push(kAttemptId, 0, event_of(0));
  assembler.push(kAttemptId, 2, {"old", 1});
  REQUIRE(assembler.finish(kAttemptId, 3));
  assembler.switch_to_attempt(2);
  const StreamAttemptId next{kAttemptId.request, 2};
  assembler.push(next, 1, event_of(1));
  assembler.push(kAttemptId, 2, {"old", 1});
  CHECK(join(assembler.take_ready()) == "01");
  CHECK_FALSE(assembler.complete());
}

}  // namespace bluebellstep
