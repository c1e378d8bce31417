// Tests of the answers to polls that gateways of a zone pass on to each other.

#include "gateway/cache_update.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gateway/cache_poll_scheduler.h"

namespace bluebellstep {
namespace {

constexpr Instant kNow{100'000};

SegmentEvent event(std::uint64_t segment, std::uint32_t tokens) {
  return {.cache_namespace = "w1/m", .segment = segment, .tokens = tokens};
}

std::vector<std::uint8_t> to_bytes(const std::string& text) {
  return {text.begin(), text.end()};
}

}  // namespace

TEST_CASE("an update is read as it was written", "[gateway][cache]") {
  CacheUpdate update{.node = "s1", .since = 5};
  update.result = {.epoch = 7,
                   .next = 8,
                   .events_lost = true,
                   .clock_ms = 99,
                   .events = {event(0xb1, 800), {"w2/m/acme", 0xffffffffffffffffu, 0}}};
  const auto decoded = decode_cache_update(to_bytes(encode_cache_update(update)));
  REQUIRE(decoded);
  CHECK(decoded->node == "s1");
  CHECK(decoded->since == 5);
  CHECK(decoded->result.epoch == 7);
  CHECK(decoded->result.next == 8);
  CHECK(decoded->result.events_lost);
  CHECK(decoded->result.clock_ms == 99);
  REQUIRE(decoded->result.events.size() == 2);
  CHECK(decoded->result.events[1].cache_namespace == "w2/m/acme");
  CHECK(decoded->result.events[1].segment == 0xffffffffffffffffu);
}

// Guards against a datagram that ends the process, and against a report that is taken for an
// update.
TEST_CASE("what is not an update is rejected", "[gateway][cache]") {
  const auto valid =
      to_bytes(encode_cache_update({.node = "s1", .result = {.events = {event(1, 2)}}}));
  for (std::size_t length = 0; length < valid.size(); ++length) {
    CHECK_FALSE(decode_cache_update(std::span(valid).first(length)));
  }
  CHECK_FALSE(decode_cache_update(to_bytes(encode_load_report({.gateway = "g1"}))));
  CHECK_FALSE(decode_load_report(valid));
  std::vector<std::uint8_t> corrupted = valid;
  for (std::uint8_t& byte : corrupted) {
    const std::uint8_t original = byte;
    for (const int value : {0x00, 0x7f, 0x90, 0xc0, 0xff}) {
      byte = static_cast<std::uint8_t>(value);
      (void)decode_cache_update(corrupted);
    }
    byte = original;
  }
}

// Guards against a gateway that misses the removal of a segment because a datagram was lost.
TEST_CASE("an update after a gap is not applied", "[gateway][cache]") {
  LoadAggregator load_aggregator;
  CacheDirectory directory(load_aggregator);
  directory.set_nodes({{.name = "s1", .is_store = true}});
  CHECK_FALSE(directory.on_relayed_events("s1", 0, {.epoch = 1, .next = 5}, kNow));
  directory.on_events("s1", {.epoch = 1, .next = 5}, kNow);
  CHECK(directory.on_relayed_events("s1", 5, {.epoch = 1, .next = 9}, kNow));
  CHECK(directory.next_event("s1") == 9);
  CHECK_FALSE(directory.on_relayed_events("s1", 12, {.epoch = 1, .next = 14}, kNow));
  CHECK_FALSE(directory.on_relayed_events("s1", 0, {.epoch = 2, .next = 3}, kNow));
  CHECK(directory.next_event("s1") == 9);
  CHECK(directory.on_relayed_events("s1", 7, {.epoch = 1, .next = 11}, kNow));  // It overlaps.
  CHECK(directory.next_event("s1") == 11);
}

// Load pattern: 20 gateways in a zone, and cache nodes that accept 12 polls at a time. Guards
// against polls by each gateway, most of which are rejected.
TEST_CASE("one gateway of a zone polls each shared node", "[gateway][load]") {
  constexpr int kGateways = 20;
  constexpr int kStores = 40;
  std::vector<std::string> names;
  names.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    names.push_back("g" + std::to_string(i));
  }
  std::vector<CacheNode> nodes;
  nodes.reserve(kStores + 2);
  for (int i = 0; i < kStores; ++i) {
    nodes.push_back({.name = "s" + std::to_string(i), .zone = "b", .is_store = true});
  }
  nodes.push_back({.name = "e1", .zone = "a"});
  nodes.push_back({.name = "e2", .zone = "b"});
  std::vector<int> pollers(nodes.size());
  for (const std::string& name : names) {
    CachePollScheduler scheduler(name, "a", 1000);
    scheduler.set_nodes(nodes);
    scheduler.set_zone_gateways(names);
    CHECK(scheduler.is_shared("s1"));
    CHECK(scheduler.is_shared("e1"));
    CHECK_FALSE(scheduler.is_shared("e2"));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      pollers[i] += scheduler.polls_for_zone(nodes[i].name) ? 1 : 0;
    }
  }
  for (const int count : pollers) {
    CHECK(count == 1);
  }
}

TEST_CASE("a gateway that knows no others polls all nodes", "[gateway]") {
  CachePollScheduler scheduler("g1", "a", 1000);
  const std::vector<CacheNode> nodes = {{.name = "s1", .zone = "b", .is_store = true}};
  scheduler.set_nodes(nodes);
  CHECK(scheduler.polls_for_zone("s1"));
}

}  // namespace bluebellstep
