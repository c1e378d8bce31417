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

}  // namespace bluebellstep
