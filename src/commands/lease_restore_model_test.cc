// Randomized tests of a lease in a store that is restored from older copies.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/lease_restore_simulation.h"

namespace bluebellstep {
namespace {

using lease_restore_simulation::Faults;
using lease_restore_simulation::Omitted;
using lease_restore_simulation::Scenario;
using lease_restore_simulation::Simulation;

constexpr std::uint64_t kSeeds = 3000;
constexpr std::uint64_t kTimingSeeds = 500;
constexpr std::uint64_t kHuntSeeds = 100'000;

std::optional<std::string> first_violation(Scenario scenario, std::uint64_t seeds = kSeeds) {
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    if (const auto violation = Simulation(seed, scenario).run()) {
      return "seed " + std::to_string(seed) + ": " + *violation;
    }
  }
  return std::nullopt;
}

}  // namespace

// Guards against two holders, a fencing number that is given out twice, a stale order that is
// carried out, and a lease that nobody gets any more, after a restore of the store.
TEST_CASE("a lease survives restores of its store", "[commands][model]") {
  const bool states_era = GENERATE(true, false);
  const bool receiver_checks = GENERATE(false, true);
  CAPTURE(states_era, receiver_checks);
  const auto violation =
      first_violation({.states_era = states_era, .receiver_checks = receiver_checks});
  INFO(violation.value_or(""));
  CHECK_FALSE(violation.has_value());
}

// The same on more seeds; takes minutes.
TEST_CASE("long hunt for violations of a lease across restores", "[.lease_hunt]") {
  const bool receiver_checks = GENERATE(false, true);
  CAPTURE(receiver_checks);
  const auto violation = first_violation({.receiver_checks = receiver_checks}, kHuntSeeds);
  INFO(violation.value_or(""));
  CHECK_FALSE(violation.has_value());
}

// Guards against updates that wait longer for a holder than new weights may take to be served
// everywhere.
TEST_CASE("after a restore the lease is soon held again", "[commands][model]") {
  constexpr Duration kVersionLimit{10'000};
  const Duration grace = GENERATE(1_s, 3_s);
  const Faults faults = GENERATE(Faults::kOneRestore, Faults::kRestoreAndKilling);
  std::vector<std::int64_t> times;
  for (std::uint64_t seed = 0; seed < kTimingSeeds; ++seed) {
    Simulation simulation(seed, {.faults = faults, .grace = grace});
    REQUIRE_FALSE(simulation.run().has_value());
    times.push_back(simulation.time_without_holder().ms);
  }
  std::sort(times.begin(), times.end());
  const std::string description = "grace " + std::to_string(grace.ms) + " ms, holder " +
                                  (faults == Faults::kOneRestore ? "lives" : "is killed") +
                                  ": without holder for " +
                                  std::to_string(times[kTimingSeeds / 2]) + " ms (median), " +
                                  std::to_string(times[kTimingSeeds * 99 / 100]) + " ms (99 %), " +
                                  std::to_string(times.back()) + " ms (longest)";
  INFO(description);
  CHECK(Duration{times.back()} < kVersionLimit);
}

// Guards against a simulation that does not detect a missing rule.
TEST_CASE("each rule on restores is needed", "[commands][model]") {
  const auto finds = [](Scenario scenario) {
    const auto violation = first_violation(scenario);
    UNSCOPED_INFO(violation.value_or(""));
    return violation.has_value();
  };
  CHECK(finds({.omitted = Omitted::kEra}));
  CHECK(finds({.omitted = Omitted::kWait}));
  CHECK(finds({.omitted = Omitted::kAnswerEra}));
  CHECK(finds({.states_era = false, .omitted = Omitted::kHolderInFence}));
  CHECK(finds({.omitted = Omitted::kCountInFence}));
}

}  // namespace bluebellstep
