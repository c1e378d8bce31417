// Tests of which cache nodes are polled, and in which order.

#include "gateway/cache_poll_scheduler.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace bluebellstep {

// Load pattern: all gateways restart at the same time. Guards against a link that is saturated by
// the answers of all nodes.
TEST_CASE("after a start a few nodes are polled at a time, stores first", "[gateway][load]") {
  CachePollScheduler scheduler("g1", "a", 1000);
  const std::vector<CacheNode> nodes = {{.name = "e1", .zone = "a"},
                                        {.name = "e2", .zone = "a"},
                                        {.name = "s1", .zone = "b", .is_store = true},
                                        {.name = "s2", .zone = "a", .is_store = true}};
  scheduler.set_nodes(nodes);
  CHECK(scheduler.start_next_poll() == "s1");
  CHECK(scheduler.start_next_poll() == "s2");
  CHECK_FALSE(scheduler.start_next_poll());
  scheduler.record_poll_finished("s2");
  CHECK(scheduler.start_next_poll() == "e1");
  CHECK_FALSE(scheduler.start_next_poll());
  // The state of a node is kept when others are removed.
  scheduler.set_nodes(std::vector<CacheNode>{nodes[0], nodes[1], nodes[3]});
  CHECK_FALSE(scheduler.contains("s1"));
  CHECK(scheduler.start_next_poll() == "e2");
  scheduler.record_poll_finished("e1");
  scheduler.record_poll_finished("e2");
  CHECK_FALSE(scheduler.start_next_poll());
}

// Guards against events of busy engines that saturate a slow link.
TEST_CASE("behind a slow link only the engines of the gateway's zone are polled",
          "[gateway][load]") {
  const std::vector<CacheNode> nodes = {{.name = "e1", .zone = "a"}, {.name = "e2", .zone = "b"}};
  CachePollScheduler slow("g1", "a", 10);
  slow.set_nodes(nodes);
  CHECK(slow.contains("e1"));
  CHECK_FALSE(slow.contains("e2"));
  CachePollScheduler fast("g1", "a", 200);
  fast.set_nodes(nodes);
  CHECK(fast.contains("e2"));
  CachePollScheduler unknown("g1", "a", 0);
  unknown.set_nodes(nodes);
  CHECK(unknown.contains("e2"));
}

// Guards against events of a large fleet that exhaust a gateway's processor and link.
TEST_CASE("a gateway polls a limited number of engines", "[gateway][load]") {
  std::vector<CacheNode> nodes;
  constexpr int kEngines = 400;
  nodes.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    nodes.push_back({.name = "e" + std::to_string(i), .zone = i < 20 ? "a" : "b"});
  }
  CachePollScheduler first("g1", "a", 0);
  CachePollScheduler second("g2", "a", 0);
  first.set_nodes(nodes);
  second.set_nodes(nodes);
  std::size_t polled = 0;
  std::size_t by_both = 0;
  for (const CacheNode& node : nodes) {
    polled += first.contains(node.name) ? 1 : 0;
    by_both += first.contains(node.name) && second.contains(node.name) ? 1 : 0;
  }
  CHECK(polled == CachePollScheduler::kMaxEngines);
  for (int i = 0; i < 20; ++i) {
    CHECK(first.contains("e" + std::to_string(i)));  // Of the gateway's zone.
  }
  CHECK(by_both < CachePollScheduler::kMaxEngines / 2 + 20);
}

}  // namespace bluebellstep
