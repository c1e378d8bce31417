// Tests of the splitting of event streams.

#include "gateway/sse_event_buffer.h"

#include <catch2/catch.hpp>

namespace bluebellstep {

// Guards against a partial event in front of the events of the upstream that continues the stream.
TEST_CASE("an event is returned only when it is complete", "[gateway]") {
  SseEventBuffer buffer;
  CHECK(buffer.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(buffer.last_event_id() == 1);
  CHECK(buffer.has_partial());
  CHECK(buffer.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(buffer.last_event_id() == 2);
  CHECK(buffer.event_count() == 2);
}

TEST_CASE("a discarded partial event does not corrupt the continued stream", "[gateway]") {
  SseEventBuffer buffer;
  buffer.feed("id: 7\ndata: a\n\nid: 8\ndata: half");
  buffer.discard_partial();
  CHECK(buffer.feed("id: 8\ndata: whole\n\n") == "id: 8\ndata: whole\n\n");
  CHECK(buffer.last_event_id() == 8);
}

TEST_CASE("an event without an id does not change the last event id", "[gateway]") {
  SseEventBuffer buffer;
  buffer.feed("id: 3\n\nweight-versions: 2\ndata: x\n\n");
  CHECK(buffer.last_event_id() == 3);
}

// Guards against streams whose lines end with CR or CRLF and that would be held back completely.
TEST_CASE("events end with an empty line, whatever the line ends", "[gateway]") {
  const auto line_end = GENERATE(as<std::string>{}, "\n", "\r\n", "\r");
  const std::string event = "id: 4" + line_end + "data: a" + line_end + line_end;
  SECTION("in one piece") {
    SseEventBuffer buffer;
    CHECK(buffer.feed(event + event) == event + event);
    CHECK(buffer.event_count() == 2);
    CHECK_FALSE(buffer.has_partial());
  }
  SECTION("byte by byte") {
    SseEventBuffer buffer;
    std::string released;
    for (const char byte : event + event) {
      released += buffer.feed({&byte, 1});
    }
    CHECK(released == event + event);
    CHECK(buffer.event_count() == 2);
    CHECK(buffer.last_event_id() == 4);
    CHECK_FALSE(buffer.has_partial());
  }
}

TEST_CASE("events without a field are released and not counted", "[gateway]") {
  SseEventBuffer buffer;
  CHECK(buffer.feed(": keep-alive\n\n\n\n") == ": keep-alive\n\n\n\n");
  CHECK(buffer.event_count() == 0);
}

// Guards against memory and processor time that grow with a stream without an event boundary.
TEST_CASE("an event without an end overflows the buffer", "[gateway]") {
  SseEventBuffer buffer;
  const std::string piece(1000, 'x');
  std::size_t fed = 0;
  while (!buffer.overflowed() && fed < 2 * SseEventBuffer::kMaxEventBytes) {
    CHECK(buffer.feed(piece).empty());
    fed += piece.size();
  }
  CHECK(fed <= SseEventBuffer::kMaxEventBytes + piece.size());
  buffer.discard_partial();
  CHECK(buffer.feed("id: 1\n\n") == "id: 1\n\n");
}

}  // namespace bluebellstep
