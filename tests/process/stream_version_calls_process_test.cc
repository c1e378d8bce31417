// Tests on real processes that streams cost no call to the store while one software version serves.

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "tests/process/gateway_fleet.h"

namespace bluebellstep::testing {
namespace {

// Longer than `StreamVersionDriver::kPlanInterval`.
constexpr std::chrono::milliseconds kQuietTime{3000};

// Returns how many calls for streams gateways make while callers take streams up. Runs `between`
// during the start, until the gateways make no call for `kQuietTime`.
int calls_after_start(const std::function<void(GatewayFleet&)>& between) {
  GatewayFleet fleet(2);
  const auto calls = [&] { return fleet.store_calls("bluebellstep-streams"); };
  int before = 0;
  REQUIRE(wait_until(Duration{20'000}, [&] {
    const int previous = std::exchange(before, calls());
    between(fleet);
    return before > 0 && previous == before;
  }));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "p" + std::to_string(i);
    fleet.set_faults({{"cut_streams", 2}});
    const auto part = GatewayFleet::parse_stream(fleet.request("g1", "prompts", id).body);
    REQUIRE_FALSE(part.event_ids.empty());
    CHECK(fleet.resume("g2", id + "-again", {id, part.event_ids.back()}).status == 200);
  }
  return calls() - before;
}

}  // namespace

// Guards against calls to the store for streams while one software version serves.
TEST_CASE("process: one software version needs no call to the store under load") {
  CHECK(calls_after_start([](GatewayFleet& fleet) {
          for (int i = 0; i < 60; ++i) {
            fleet.request(i % 2 == 0 ? "g1" : "g2", "prompts", "load-" + std::to_string(i));
            std::this_thread::sleep_for(kQuietTime / 60);
          }
        }) == 0);
}

// Guards against such calls by gateways that had nothing to do before.
TEST_CASE("process: one software version needs no call to the store after a pause") {
  CHECK(calls_after_start([](GatewayFleet&) { std::this_thread::sleep_for(kQuietTime); }) == 0);
}

}  // namespace bluebellstep::testing
