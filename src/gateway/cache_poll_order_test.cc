// Tests of the order of first polls.

#include "gateway/cache_poll_order.h"

#include <catch2/catch.hpp>
#include <vector>

namespace bluebellstep {

// Load pattern: all gateways start again at once. Guards against a link that is filled by the
// answers of all sources.
TEST_CASE("after a start a few sources are polled at a time, stores first", "[gateway][load]") {
  CachePollOrder order("a", 1000);
  const std::vector<CacheSource> sources = {{.name = "e1", .zone = "a"},
                                            {.name = "e2", .zone = "a"},
                                            {.name = "s1", .zone = "b", .is_store = true},
                                            {.name = "s2", .zone = "a", .is_store = true}};
  order.set_sources(sources);
  CHECK(order.begin() == "s1");
  CHECK(order.begin() == "s2");
  CHECK_FALSE(order.begin());
  order.ended("s2");
  CHECK(order.begin() == "e1");
  CHECK_FALSE(order.begin());
  // What is known of a source survives a change of the others.
  order.set_sources(std::vector<CacheSource>{sources[0], sources[1], sources[3]});
  CHECK_FALSE(order.contains("s1"));
  CHECK(order.begin() == "e2");
  order.ended("e1");
  order.ended("e2");
  CHECK_FALSE(order.begin());
}

// Guards against events of busy engines that leave a slow link no room for requests.
TEST_CASE("behind a slow link only the engines of the own zone are polled", "[gateway][load]") {
  const std::vector<CacheSource> sources = {{.name = "e1", .zone = "a"},
                                            {.name = "e2", .zone = "b"}};
  CachePollOrder slow("a", 10);
  slow.set_sources(sources);
  CHECK(slow.contains("e1"));
  CHECK_FALSE(slow.contains("e2"));
  CachePollOrder fast("a", 200);
  fast.set_sources(sources);
  CHECK(fast.contains("e2"));
  CachePollOrder unknown("a", 0);
  unknown.set_sources(sources);
  CHECK(unknown.contains("e2"));
}

}  // namespace bluebellstep
