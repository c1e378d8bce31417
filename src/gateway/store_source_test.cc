// Tests of the choice between the platform's store and another gateway.

#include "gateway/store_source.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "http/socket_address.h"

namespace bluebellstep {
namespace {

constexpr Instant kNow{100'000};

StoreSource::Gateway gateway(int index, const std::string& zone, double link_mbps = 20) {
  return {.name = "g" + std::to_string(index),
          .zone = zone,
          .endpoint = {"10.0.0." + std::to_string(index), 1},
          .link_mbps = link_mbps};
}

}  // namespace

// Load pattern: hundreds of gateways and a store that charges each call. Guards against calls that
// grow with the number of gateways.
TEST_CASE("one gateway reads the store, and one of each zone passes changes on",
          "[gateway][load]") {
  std::vector<StoreSource::Gateway> gateways;
  for (int i = 1; i <= 40; ++i) {
    gateways.push_back(gateway(i, i % 2 == 0 ? "a" : "b", i == 20 || i == 21 ? 200 : 20));
  }
  std::map<std::string, std::set<std::string>> readers_by_zone;
  int direct = 0;
  for (const StoreSource::Gateway& own : gateways) {
    StoreSource source(own.name, own.zone);
    source.set_gateways(gateways);
    if (const auto reader = source.reader(kNow)) {
      readers_by_zone[own.zone].insert(to_string(*reader));
    } else {
      ++direct;
    }
  }
  CHECK(direct == 1);
  // Those with the fast links. The first of zone b follows the one of zone a.
  CHECK(readers_by_zone["a"] == std::set<std::string>{"10.0.0.20:1"});
  CHECK(readers_by_zone["b"] == std::set<std::string>{"10.0.0.20:1", "10.0.0.21:1"});
}

TEST_CASE("a gateway reads the store itself while no reader of its zone is usable", "[gateway]") {
  StoreSource source("g4", "b");
  CHECK_FALSE(source.reader(kNow));
  source.set_gateways({gateway(1, "a"), gateway(2, "a"), gateway(3, "b"), gateway(4, "b")});
  const auto first = source.reader(kNow);
  REQUIRE(first == Endpoint{"10.0.0.3", 1});
  source.record_failure(*first, kNow);
  const auto second = source.reader(kNow);
  REQUIRE(second == Endpoint{"10.0.0.1", 1});
  source.record_failure(*second, kNow);
  CHECK_FALSE(source.reader(kNow));
  CHECK(source.reader(kNow + StoreSource::kExclusion) == first);
}

// Guards against gateways that follow each other, none of which reads the store.
TEST_CASE("gateways follow only those that rank before them", "[gateway]") {
  const std::vector<StoreSource::Gateway> gateways = {gateway(1, "a"), gateway(2, "a"),
                                                      gateway(3, "b")};
  StoreSource first("g1", "a");
  first.set_gateways(gateways);
  CHECK_FALSE(first.reader(kNow));
  StoreSource second("g2", "a");
  second.set_gateways(gateways);
  CHECK(second.reader(kNow) == gateways[0].endpoint);
  StoreSource other_zone("g3", "b");
  other_zone.set_gateways(gateways);
  CHECK(other_zone.reader(kNow) == gateways[0].endpoint);
}

}  // namespace bluebellstep
