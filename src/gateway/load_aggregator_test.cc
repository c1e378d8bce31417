// Tests of the sums of in-flight load.

#include "gateway/load_aggregator.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace bluebellstep {
namespace {

LoadReport report(std::uint64_t incarnation, std::uint64_t sequence, std::uint32_t requests) {
  LoadReport result{.gateway = "g1", .sequence = sequence, .incarnation = incarnation};
  if (requests > 0) {
    result.upstream_loads.push_back({LoadAggregator::key_of("e1"), {requests, 100, 200}});
  }
  return result;
}

std::optional<LoadReport> decode(const std::string& bytes) {
  return decode_load_report({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
}

}  // namespace

// Guards against reports that are lost while gateways of different versions run, and against an
// unusable speed that makes the load unknown.
TEST_CASE("a report is decoded without speeds, and with unusable ones", "[gateway][speed]") {
  const SpeedReport speed{7, 120, 310, 290, 400, 35};
  LoadReport sent = report(1, 1, 3);
  CHECK_FALSE(decode(encode_load_report(sent))->upstream_loads.at(0).speed);
  sent.upstream_loads.at(0).speed = speed;
  CHECK(decode(encode_load_report(sent))->upstream_loads.at(0).speed == speed);
  const std::vector<nlohmann::json> odd = {"text", -1, 1.5, std::uint64_t{1} << 40, nullptr};
  for (const nlohmann::json& value : odd) {
    std::string bytes;
    const nlohmann::json entry = {7, 3, 100, 200, 0, 0, 0, 0, 1, value, 100, 100, 0, 0};
    nlohmann::json::to_msgpack(
        {"g1", 1, 1, 0, nlohmann::json::array({entry}), nlohmann::json::array()}, bytes);
    const auto decoded = decode(bytes);
    REQUIRE(decoded);
    CHECK(decoded->upstream_loads.at(0).in_flight.requests == 3);
    CHECK_FALSE(decoded->upstream_loads.at(0).speed);
  }
}

// Guards against a datagram that ends the process: the parser recurses into nested arrays.
TEST_CASE("a datagram of nested arrays is rejected", "[gateway]") {
  constexpr std::uint8_t kArrayOfOne = 0x91;
  const std::vector<std::uint8_t> nested(16u << 10, kArrayOfOne);
  CHECK_FALSE(decode_load_report(nested));
  const std::string valid = encode_load_report(report(1, 1, 3));
  const std::vector<std::uint8_t> bytes(valid.begin(), valid.end());
  REQUIRE(decode_load_report(bytes));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(decode_load_report(std::span(bytes).first(length)));
  }
}

TEST_CASE("a report replaces the previous one of the same gateway", "[gateway]") {
  LoadAggregator aggregator;
  aggregator.apply(report(1, 1, 3), Instant{1000});
  aggregator.apply(report(1, 2, 5), Instant{1000});
  CHECK(aggregator.peer_load("e1").requests == 5);
  CHECK(aggregator.peer_load("e1").prompt_tokens == 200);
  aggregator.apply(report(1, 3, 0), Instant{1000});
  CHECK(aggregator.peer_load("e1").requests == 0);
}

// Guards against datagrams that arrive out of order, and against ignoring the reports of a
// restarted gateway, whose sequence numbers start again.
TEST_CASE("an older report is ignored, the first one after a restart is not", "[gateway]") {
  LoadAggregator aggregator;
  aggregator.apply(report(1, 9, 3), Instant{1000});
  aggregator.apply(report(1, 8, 7), Instant{1000});
  CHECK(aggregator.peer_load("e1").requests == 3);
  aggregator.apply(report(2, 1, 1), Instant{1000});
  CHECK(aggregator.peer_load("e1").requests == 1);
}

TEST_CASE("the load of an unresponsive gateway is removed", "[gateway]") {
  LoadAggregator aggregator;
  aggregator.apply(report(1, 1, 3), Instant{1000});
  aggregator.remove_unresponsive(Instant{2499});
  CHECK(aggregator.peer_load("e1").requests == 3);
  aggregator.remove_unresponsive(Instant{2500});
  CHECK(aggregator.peer_load("e1").requests == 0);
}

TEST_CASE("the request rate of the others is the sum of their last reports", "[gateway]") {
  LoadAggregator aggregator;
  aggregator.apply({.gateway = "g1", .sequence = 1, .recent_requests = 5}, Instant{1000});
  aggregator.apply({.gateway = "g2", .sequence = 1, .recent_requests = 7}, Instant{1000});
  aggregator.apply({.gateway = "g1", .sequence = 2, .recent_requests = 3}, Instant{2000});
  CHECK(aggregator.recent_requests_from_peers() == 10);
  aggregator.remove_unresponsive(Instant{2500});
  CHECK(aggregator.recent_requests_from_peers() == 3);
}

TEST_CASE("reports are decoded as they were encoded, other bytes are refused", "[gateway]") {
  LoadReport sent = report(7, 8, 9);
  sent.recent_requests = 12;
  sent.sent_segments = {{LoadAggregator::key_of("e1"), 0xb1, 12'800}};
  const std::string bytes = encode_load_report(sent);
  const auto decoded =
      decode_load_report({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  REQUIRE(decoded);
  CHECK(decoded->incarnation == 7);
  CHECK(decoded->recent_requests == 12);
  CHECK(decoded->sent_segments == sent.sent_segments);
  CHECK(decoded->upstream_loads.at(0).in_flight == InFlightLoad{9, 100, 200, 0, 0});
  const std::uint8_t junk[] = {0x93, 1, 2};
  CHECK_FALSE(decode_load_report(junk));
  CHECK_FALSE(decode_load_report({}));
}

// Guards against reports that gateways of an earlier version cannot decode, and against the loss of
// reports from those.
TEST_CASE("a report tells the epoch of the versions from the second one on",
          "[gateway][stream_versions]") {
  const auto elements = [](const std::string& bytes) {
    return nlohmann::json::from_msgpack(bytes).size();
  };
  LoadReport sent = report(1, 1, 3);
  for (const std::uint64_t epoch : {0, 1}) {
    sent.versions_epoch = epoch;
    const std::string bytes = encode_load_report(sent);
    CHECK(elements(bytes) == 6);
    REQUIRE(decode(bytes));
    CHECK(decode(bytes)->versions_epoch == 0);
    CHECK(decode(bytes)->upstream_loads.size() == 1);
  }
  sent.versions_epoch = 2;
  const std::string bytes = encode_load_report(sent);
  CHECK(elements(bytes) == 7);
  REQUIRE(decode(bytes));
  CHECK(decode(bytes)->versions_epoch == 2);
  nlohmann::json longer = nlohmann::json::from_msgpack(bytes);
  longer.push_back(1);
  std::string encoded;
  nlohmann::json::to_msgpack(longer, encoded);
  CHECK_FALSE(decode(encoded));
}

}  // namespace bluebellstep
