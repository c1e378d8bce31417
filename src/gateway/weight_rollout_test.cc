// Tests of `WeightRollout`.

#include "gateway/weight_rollout.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellstep {
namespace {

constexpr Instant kStart{50'000};

std::vector<EngineUpdate> updates(int count, std::uint64_t target) {
  std::vector<EngineUpdate> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    result.push_back({.upstream_id = "e" + std::to_string(i),
                      .model = "m",
                      .current_version = target - 1,
                      .target_version = target});
  }
  return result;
}

EngineReport report(std::uint64_t version, std::uint64_t sequence, bool busy = false) {
  return {.command_sequence = sequence, .busy = busy, .weight_version = version};
}

// Answers each report request with `reported`, accepts each load command, and returns the commands.
std::vector<WeightLoadCommand> commands(WeightRollout& rollout,
                                        const EngineReport& reported,
                                        Instant now) {
  std::vector<WeightLoadCommand> result;
  while (auto call = rollout.next(now)) {
    if (call->kind == EngineCall::Kind::kRequestReport) {
      rollout.on_report(call->command.upstream_id, reported, now);
    } else {
      result.push_back(call->command);
      rollout.on_load_answer(call->command.upstream_id, WeightLoadAnswer::kAccepted, now);
    }
  }
  return result;
}

}  // namespace

// Guards against concurrent loads that take too many engines out of service or slow each other
// down.
TEST_CASE("a quarter of the engines load weights at the same time", "[gateway]") {
  WeightRollout rollout;
  rollout.set_pending_updates(updates(12, 2), 12, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 3);
  CHECK(commands(rollout, report(1, 1, true), kStart + 300_ms).empty());
}

TEST_CASE("in a small pool two engines load weights at the same time", "[gateway]") {
  WeightRollout rollout;
  rollout.set_pending_updates(updates(4, 2), 4, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 2);
}

TEST_CASE("an engine that reports the target version leaves the rollout", "[gateway]") {
  WeightRollout rollout;
  rollout.set_pending_updates(updates(3, 2), 3, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 2);
  const auto next = commands(rollout, report(2, 1), kStart + 1000_ms);
  CHECK(next.empty());  // The third engine reports the target version too.
  CHECK_FALSE(rollout.has_pending_updates());
}

// Guards against a second load when a command without an answer takes effect late: the retry
// expects the same sequence, so the engine accepts only one of the two.
TEST_CASE("a command without an answer is retried with the sequence that the engine reports",
          "[gateway]") {
  WeightRollout rollout;
  rollout.set_pending_updates(updates(1, 2), 1, kStart);
  auto call = rollout.next(kStart);
  REQUIRE(call);
  rollout.on_report("e0", report(1, 4), kStart);
  call = rollout.next(kStart);
  REQUIRE(call);
  REQUIRE(call->kind == EngineCall::Kind::kLoadWeights);
  CHECK(call->command.expected_sequence == 4);
  rollout.on_load_answer("e0", WeightLoadAnswer::kOutcomeUnknown, kStart);
  CHECK_FALSE(rollout.next(kStart + 500_ms));
  call = rollout.next(kStart + 1000_ms);
  REQUIRE(call);
  CHECK(call->kind == EngineCall::Kind::kRequestReport);
  rollout.on_report("e0", report(1, 4), kStart + 1000_ms);
  call = rollout.next(kStart + 1000_ms);
  REQUIRE(call);
  CHECK(call->kind == EngineCall::Kind::kLoadWeights);
  CHECK(call->command.expected_sequence == 4);
}

TEST_CASE("an engine that does not report leaves its load slot to others", "[gateway]") {
  WeightRollout rollout;
  rollout.set_pending_updates(updates(3, 2), 3, kStart);
  auto first = rollout.next(kStart);
  REQUIRE(first);
  rollout.on_report(first->command.upstream_id, std::nullopt, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 2);
}

// Guards against a rollout that stalls beside engines that went dark: they have the fewest
// requests, so each time they were asked first, and took up the load slots for the time of a call.
TEST_CASE("engines that do not report yield to those that may load", "[gateway]") {
  WeightRollout rollout;
  std::vector<EngineUpdate> pending = updates(8, 2);
  for (std::size_t i = 2; i < pending.size(); ++i) {
    pending[i].running_requests = 5;
  }
  rollout.set_pending_updates(std::move(pending), 8, kStart);
  for (const std::string_view dark : {"e0", "e1"}) {
    const auto call = rollout.next(kStart);
    REQUIRE(call);
    CHECK(call->command.upstream_id == dark);
  }
  rollout.on_report("e0", std::nullopt, kStart + 800_ms);
  rollout.on_report("e1", std::nullopt, kStart + 800_ms);
  const Instant all_due = kStart + 800_ms + WeightRollout::kRetryDelay;
  const auto loading = commands(rollout, report(1, 0), all_due);
  REQUIRE(loading.size() == 2);
  CHECK(loading[0].upstream_id == "e2");
  CHECK(loading[1].upstream_id == "e3");
}

TEST_CASE("a newer target version waits for the load in progress", "[gateway]") {
  WeightRollout rollout;
  rollout.set_pending_updates(updates(1, 2), 1, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 1);
  rollout.set_pending_updates(updates(1, 3), 1, kStart + 100_ms);
  auto call = rollout.next(kStart + 100_ms);
  REQUIRE(call);
  CHECK(call->kind == EngineCall::Kind::kRequestReport);
  rollout.on_report("e0", report(1, 1, true), kStart + 100_ms);
  CHECK_FALSE(rollout.next(kStart + 200_ms));
}

// Guards against a rollout that is not done in time because versions are named in quick succession:
// an engine whose load had ended kept its load slot until the load timed out, since it reported
// another version than the newest.
TEST_CASE("a newer target version is loaded as soon as the load in progress has ended",
          "[gateway]") {
  WeightRollout rollout;
  rollout.set_pending_updates(updates(1, 2), 1, kStart);
  REQUIRE(commands(rollout, report(1, 4), kStart).size() == 1);
  rollout.set_pending_updates(updates(1, 3), 1, kStart + 100_ms);
  SECTION("the report is from before the command") {
    CHECK(commands(rollout, report(1, 4), kStart + 100_ms).empty());
  }
  SECTION("the load is in progress") {
    CHECK(commands(rollout, report(1, 5, true), kStart + 100_ms).empty());
  }
  SECTION("the load has ended") {
    const auto next = commands(rollout, report(2, 5), kStart + 3000_ms);
    REQUIRE(next.size() == 1);
    CHECK(next[0].weight_version == 3);
    CHECK(next[0].expected_sequence == 5);
  }
  SECTION("the engine has started again") {
    EngineReport restarted = report(1, 0);
    restarted.started_ms = 7;
    CHECK(commands(rollout, restarted, kStart + 3000_ms).size() == 1);
  }
}

// Guards against load slots that stay unused while engines wait for them, and so against a rollout
// that takes longer than the 20 s for which requests may start on older weights. The load: 43
// engines that load for 2.5 s, or longer while more than eight do, and three versions that are
// named within 8 s.
TEST_CASE("versions that are named in quick succession are loaded in time", "[gateway]") {
  struct SimulatedEngine {
    EngineReport reported = report(1, 0);
    std::uint64_t loading = 0;
    double remaining_ms = 0;  // Of the load, if no more than `kFullSpeedLoads` are in progress.
  };
  constexpr int kEngines = 43;
  constexpr double kFullSpeedLoads = 8;
  constexpr std::ptrdiff_t kSlots = kEngines / 4;
  constexpr Duration kStep{10};
  const Instant last_named = kStart + 8000_ms;
  std::map<std::string, SimulatedEngine> engines;
  std::uint64_t target = 2;
  const auto pending = [&] {
    std::vector<EngineUpdate> result;
    for (const auto& update : updates(kEngines, target)) {
      if (*engines[update.upstream_id].reported.weight_version < target) {
        result.push_back(update);
      }
    }
    return result;
  };
  WeightRollout rollout;
  rollout.set_pending_updates(pending(), kEngines, kStart);
  Duration unused_slots_for{0};
  Instant now = kStart;
  for (; rollout.has_pending_updates() || now <= last_named; now = now + kStep) {
    CAPTURE((now - last_named).ms);
    REQUIRE(now < last_named + 20'000_ms);
    if (now == kStart + 4000_ms || now == last_named) {
      ++target;
      rollout.set_pending_updates(pending(), kEngines, now);
    }
    const auto loads = std::count_if(engines.begin(), engines.end(),
                                     [](const auto& entry) { return entry.second.reported.busy; });
    const auto outdated = std::count_if(engines.begin(), engines.end(), [&](const auto& entry) {
      return *entry.second.reported.weight_version < target;
    });
    unused_slots_for = loads < std::min(kSlots, outdated) ? unused_slots_for + kStep : Duration{0};
    REQUIRE(unused_slots_for < WeightRollout::kReportInterval * 2);
    const double speed =
        std::min(1.0, kFullSpeedLoads / static_cast<double>(std::max<std::ptrdiff_t>(loads, 1)));
    for (auto& [id, engine] : engines) {
      engine.remaining_ms -= speed * static_cast<double>(kStep.ms);
      if (engine.reported.busy && engine.remaining_ms <= 0) {
        engine.reported.busy = false;
        engine.reported.weight_version = engine.loading;
      }
    }
    while (auto call = rollout.next(now)) {
      const std::string& id = call->command.upstream_id;
      SimulatedEngine& engine = engines[id];
      if (call->kind == EngineCall::Kind::kRequestReport) {
        rollout.on_report(id, engine.reported, now);
        continue;
      }
      REQUIRE_FALSE(engine.reported.busy);
      REQUIRE(call->command.expected_sequence == engine.reported.command_sequence);
      ++engine.reported.command_sequence;
      engine.reported.busy = true;
      engine.loading = call->command.weight_version;
      engine.remaining_ms = 2500;
      rollout.on_load_answer(id, WeightLoadAnswer::kAccepted, now);
    }
  }
}

// Guards against a rollout that is not done in time because its holder changes again and again:
// engines that no gateway may use any more waited for load slots, and each holder filled them once.
TEST_CASE("engines that are out of service do not wait for load slots", "[gateway]") {
  WeightRollout rollout;
  std::vector<EngineUpdate> pending = updates(43, 2);
  for (std::size_t i = 20; i < pending.size(); ++i) {
    pending[i].serves_until = kStart + 1000_ms;
  }
  rollout.set_pending_updates(std::move(pending), 43, kStart);
  const std::size_t before = commands(rollout, report(1, 0), kStart + 999_ms).size();
  CHECK(before == 10);
  const std::size_t after = commands(rollout, report(1, 0), kStart + 2500_ms).size();
  CHECK(before + after >= 23);
  CHECK(before + after <= 33);  // No more than ten of those that serve.
  CHECK(commands(rollout, report(1, 0), kStart + 2500_ms).empty());
}

}  // namespace bluebellstep
