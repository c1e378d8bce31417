// Tests of event boundaries.

#include "gateway/sse_event_buffer.h"

#include <catch2/catch.hpp>

namespace bluebellstep {

// Guards against a stream that another upstream continues in the middle of an event.
TEST_CASE("the start of an event is held back until the event is whole", "[gateway]") {
  SseEventBuffer cutter;
  CHECK(cutter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(cutter.last_id() == 1);
  CHECK(cutter.has_partial());
  CHECK(cutter.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(cutter.last_id() == 2);
  CHECK(cutter.events() == 2);
}

TEST_CASE("an event that was cut is dropped before the stream is continued", "[gateway]") {
  SseEventBuffer cutter;
  cutter.feed("id: 7\ndata: a\n\nid: 8\ndata: half");
  cutter.drop_partial();
  CHECK(cutter.feed("id: 8\ndata: whole\n\n") == "id: 8\ndata: whole\n\n");
  CHECK(cutter.last_id() == 8);
}

TEST_CASE("an event without an id keeps the last id", "[gateway]") {
  SseEventBuffer cutter;
  cutter.feed("id: 3\n\nweight-versions: 2\ndata: x\n\n");
  CHECK(cutter.last_id() == 3);
}

}  // namespace bluebellstep
