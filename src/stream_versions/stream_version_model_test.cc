// Randomized test of the versions of streams.

#include <catch2/catch.hpp>

#include <cstdint>

#include "tests/support/stream_version_simulation.h"

namespace bluebellstep {
namespace {

using stream_version_simulation::MoreFaults;
using stream_version_simulation::Omitted;
using stream_version_simulation::Simulation;

// Limits the run time to about 1 s.
constexpr std::uint64_t kSeeds = 100;
// Each missing step shows on one of so many seeds.
constexpr std::uint64_t kMaxSeeds = 3000;

struct Missing {
  Omitted step;
  std::uint64_t first_seed;  // The first one that showed it, to shorten the search.
  MoreFaults more = {};
};

bool breaks(const Missing& missing) {
  for (std::uint64_t i = 0; i < kMaxSeeds; ++i) {
    if (Simulation(missing.first_seed + i, missing.step, false, missing.more).run()) {
      CAPTURE(missing.first_seed + i);
      return true;
    }
  }
  return false;
}

void check_streams(const MoreFaults& more) {
  int take_ups = 0;
  int continued = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    Simulation simulation(seed, Omitted::kNothing, false, more);
    CAPTURE(seed);
    CHECK_FALSE(simulation.run());
    take_ups += simulation.take_ups;
    continued += simulation.continued;
  }
  CAPTURE(take_ups, continued);
  CHECK(take_ups > 1000);
  CHECK(continued * 10 > take_ups * 9);
}

}  // namespace

// Guards against a stream that gets events of two versions, and against gateways that refuse
// callers although they could find out the version.
TEST_CASE("streams continue only at the version that began them", "[stream_versions][model]") {
  check_streams({});
}

// Guards against the same while gateways are paused, so that they trust the table and the reports
// from before, and while the store loses tables and records that it had acknowledged.
TEST_CASE("streams continue only at their version across pauses and restores",
          "[stream_versions][model]") {
  const MoreFaults more = GENERATE(values<MoreFaults>(
      {{.pauses = true}, {.restores = true}, {.pauses = true, .restores = true}}));
  CAPTURE(more.pauses, more.restores);
  check_streams(more);
}

// Guards against a gateway that does not wait for others that cannot know it, because the answer to
// the write that created its record was lost.
TEST_CASE("a gateway knows that it created its record", "[stream_versions][model]") {
  CHECK_FALSE(Simulation(781, Omitted::kNothing, false).run());
}

// Guards against a gateway that returns to the store and removes the record of another one, by the
// registrations that it knew before.
TEST_CASE("records of gateways that are registered again stay", "[stream_versions][model]") {
  CHECK_FALSE(Simulation(6653, Omitted::kNothing, false).run());
}

// Guards against calls to the store for a service with one version.
TEST_CASE("one version needs no store", "[stream_versions][model]") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    Simulation simulation(seed, Omitted::kNothing, true);
    CAPTURE(seed);
    CHECK_FALSE(simulation.run());
    CHECK(simulation.late_calls == 0);
    CHECK(simulation.continued == simulation.take_ups);
  }
}

// Guards against a model that does not detect a missing step.
TEST_CASE("each step of the versions of streams is needed", "[stream_versions][model]") {
  const Missing missing = GENERATE(values<Missing>({
      {Omitted::kAcknowledgement, 0},
      {Omitted::kInForce, 4},
      {Omitted::kLookup, 0},
      {Omitted::kAdoption, 1},
      {Omitted::kSettleTime, 5},
      {Omitted::kKnownFor, 83},
      {Omitted::kGatewayList, 83},
      {Omitted::kReplacement, 0},
      {Omitted::kOutdated, 5107},
      {Omitted::kHeard, 81},
      {Omitted::kRegistered, 272},
      {Omitted::kStoreAnswer, 94},
      {Omitted::kJoined, 55},
      {Omitted::kCondition, 63},
      {Omitted::kReportGap, 550, {.pauses = true}},
      {Omitted::kLookupTime, 4415, {.pauses = true}},
      {Omitted::kEra, 3781, {.restores = true}},
      {Omitted::kRewrite, 128, {.restores = true}},
      {Omitted::kIncomplete, 0, {.restores = true}},
      {Omitted::kLostStreams, 656, {.restores = true}},
  }));
  CAPTURE(static_cast<int>(missing.step));
  CHECK(breaks(missing));
}

}  // namespace bluebellstep
