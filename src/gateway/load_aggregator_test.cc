// Tests of the sums of work in flight.

#include "gateway/load_aggregator.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

LoadReport report(std::uint64_t incarnation, std::uint64_t sequence, std::uint32_t requests) {
  LoadReport result{.gateway = "g1", .sequence = sequence, .incarnation = incarnation};
  if (requests > 0) {
    result.lines.push_back({LoadAggregator::key_of("e1"), {requests, 100, 200}});
  }
  return result;
}

}  // namespace

TEST_CASE("a report replaces the one before", "[gateway]") {
  LoadAggregator board;
  board.apply(report(1, 1, 3), Instant{1000});
  board.apply(report(1, 2, 5), Instant{1000});
  CHECK(board.others("e1").requests == 5);
  CHECK(board.others("e1").held_tokens == 200);
  board.apply(report(1, 3, 0), Instant{1000});
  CHECK(board.others("e1").requests == 0);
}

// Guards against datagrams that overtake each other, and against a gateway that starts again.
TEST_CASE("a late report is dropped, one of a new start is not", "[gateway]") {
  LoadAggregator board;
  board.apply(report(1, 9, 3), Instant{1000});
  board.apply(report(1, 8, 7), Instant{1000});
  CHECK(board.others("e1").requests == 3);
  board.apply(report(2, 1, 1), Instant{1000});
  CHECK(board.others("e1").requests == 1);
}

TEST_CASE("a silent gateway has nothing in flight", "[gateway]") {
  LoadAggregator board;
  board.apply(report(1, 1, 3), Instant{1000});
  board.remove_unresponsive(Instant{2499});
  CHECK(board.others("e1").requests == 3);
  board.remove_unresponsive(Instant{2500});
  CHECK(board.others("e1").requests == 0);
}

TEST_CASE("what the others send is the sum of their last reports", "[gateway]") {
  LoadAggregator board;
  board.apply({.gateway = "g1", .sequence = 1, .sends = 5}, Instant{1000});
  board.apply({.gateway = "g2", .sequence = 1, .sends = 7}, Instant{1000});
  board.apply({.gateway = "g1", .sequence = 2, .sends = 3}, Instant{2000});
  CHECK(board.others_sends() == 10);
  board.remove_unresponsive(Instant{2500});
  CHECK(board.others_sends() == 3);
}

TEST_CASE("reports survive their encoding, other bytes are no report", "[gateway]") {
  LoadReport sent = report(7, 8, 9);
  sent.sends = 12;
  sent.parts = {{LoadAggregator::key_of("e1"), 0xb1, 12'800}};
  const std::string bytes = encode_load_report(sent);
  const auto decoded =
      decode_load_report({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  REQUIRE(decoded);
  CHECK(decoded->incarnation == 7);
  CHECK(decoded->sends == 12);
  CHECK(decoded->parts == sent.parts);
  CHECK(decoded->lines.at(0).in_flight == InFlightLoad{9, 100, 200, 0, 0});
  const std::uint8_t junk[] = {0x93, 1, 2};
  CHECK_FALSE(decode_load_report(junk));
  CHECK_FALSE(decode_load_report({}));
}

}  // namespace bluebellstep
