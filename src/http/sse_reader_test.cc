// Tests of the parser of server-sent events.

#include "http/sse_reader.h"

#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

namespace bluebellstep {
namespace {

std::vector<std::string> read_split(SseReader& reader, std::string_view input, std::size_t step) {
  std::vector<std::string> events;
  while (!input.empty()) {
    const std::string piece(input.substr(0, step));
    reader.feed(piece, [&](std::string_view data) { events.emplace_back(data); });
    input.remove_prefix(std::min(step, input.size()));
  }
  return events;
}

}  // namespace

// Guards against events that are lost or joined where the network splits the stream.
TEST_CASE("events are the same however the stream is split", "[http][sse]") {
  const auto [input, expected] = GENERATE(table<std::string, std::vector<std::string>>({
      {"data: a\n\ndata: b\n\n", {"a", "b"}},
      {"data: a\r\n\r\ndata: b\r\n\r\n", {"a", "b"}},
      {"data: a\r\rdata:b\r\r", {"a", "b"}},
      {"data: one\ndata: two\ndata\n\n", {"one\ntwo\n"}},
      {": comment\nevent: x\nid: 1\ndata:  spaced\ndatax: no\n\n", {" spaced"}},
      {"data:\n\n\n\ndata: x\n\n", {"", "x"}},
      {"data\ndata: b\n\n", {"\nb"}},
      {"\xef\xbb\xbf"
       "data: mark\n\n",
       {"mark"}},
      {"event: only\n\ndata: cut\n", {}},
  }));
  for (std::size_t step = 1; step <= input.size(); ++step) {
    INFO(input << " in steps of " << step);
    SseReader reader;
    CHECK(read_split(reader, input, step) == expected);
  }
}

// Guards against a truncated stream that is considered complete.
TEST_CASE("a stream that ends within an event has a partial event", "[http][sse]") {
  const std::string input = GENERATE(as<std::string>{}, "da", "data: x", "data: x\n", "data\n");
  SseReader reader;
  CHECK(read_split(reader, "data: a\n\n" + input, 3) == std::vector<std::string>{"a"});
  CHECK(reader.has_partial_event());
  SseReader complete;
  read_split(complete, "data: a\n\n", 3);
  CHECK_FALSE(complete.has_partial_event());
}

// Guards against a server that makes the process buffer data without limit.
TEST_CASE("an event over the limit is an error and ends the stream", "[http][sse]") {
  const std::string input =
      GENERATE(as<std::string>{}, "data: " + std::string(20, 'x'), ":" + std::string(20, 'x'),
               "data: 12345\ndata: 12345\ndata: 12345\n");
  const std::size_t step = GENERATE(1, 7, 100);
  SseReader reader(16);
  CHECK(read_split(reader, "data: fits\n\n" + input + "\n\ndata: y\n\n", step) ==
        std::vector<std::string>{"fits"});
  CHECK(reader.feed("data: z\n\n", [](std::string_view) { FAIL(); }) ==
        SseReader::Status::kEventTooLong);
  CHECK(SseReader::describe(SseReader::Status::kEventTooLong).find("limit") !=
        std::string_view::npos);
}

// Guards against results that depend on where the input is split, with random input.
TEST_CASE("random streams yield the same events in one piece and in many", "[http][sse][fuzz]") {
  constexpr std::string_view kFragments[] = {"data",
                                             ":",
                                             " ",
                                             "\n",
                                             "\r",
                                             "\r\n",
                                             "x",
                                             "\xef\xbb\xbf",
                                             "data: y\n\n",
                                             "id",
                                             std::string_view("\0", 1)};
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    std::string input;
    for (std::uint64_t i = random.below(60); i > 0; --i) {
      input += kFragments[random.below(std::size(kFragments))];
    }
    const std::size_t limit = random.chance(0.5) ? 1000 : 12;
    SseReader complete(limit);
    const auto expected = read_split(complete, input, input.size() + 1);
    SseReader split(limit);
    CHECK(read_split(split, input, 1 + random.below(5)) == expected);
    const auto ignore = [](std::string_view) {};
    CHECK(split.feed({}, ignore) == complete.feed({}, ignore));
    if (complete.feed({}, ignore) == SseReader::Status::kOk) {
      CHECK(split.has_partial_event() == complete.has_partial_event());
    }
  }
}

}  // namespace bluebellstep
