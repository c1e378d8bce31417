// Tests of the order and pace of weight loads.

#include "gateway/weight_rollout.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr Instant kStart{50'000};

std::vector<RolloutTarget> targets(int count, std::uint64_t wanted) {
  std::vector<RolloutTarget> result;
  result.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    result.push_back({.upstream_id = "e" + std::to_string(i),
                      .model = "m",
                      .current_version = wanted - 1,
                      .wanted_version = wanted});
  }
  return result;
}

EngineReport report(std::uint64_t version, std::uint64_t sequence, bool busy = false) {
  return {.command_sequence = sequence, .busy = busy, .weight_version = version};
}

// Answers all reports with `reported` and returns the engines that are commanded.
std::vector<WeightLoadCommand> commands(WeightRollout& rollout,
                                        const EngineReport& reported,
                                        Instant now) {
  std::vector<WeightLoadCommand> result;
  while (auto step = rollout.next(now)) {
    if (step->kind == RolloutStep::Kind::kReport) {
      rollout.on_report(step->command.upstream_id, reported, now);
    } else {
      result.push_back(step->command);
      rollout.on_load(step->command.upstream_id, WeightLoadAnswer::kAccepted, now);
    }
  }
  return result;
}

}  // namespace

// Guards against loads that take too many engines out of service or slow each other down.
TEST_CASE("only a few engines load weights at once", "[gateway]") {
  WeightRollout rollout;
  rollout.set_targets(targets(12, 2), 12, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 3);
  CHECK(commands(rollout, report(1, 1, true), kStart + 300_ms).empty());
}

TEST_CASE("small pools load on two engines at once", "[gateway]") {
  WeightRollout rollout;
  rollout.set_targets(targets(4, 2), 4, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 2);
}

TEST_CASE("an engine that has the version makes room for the next", "[gateway]") {
  WeightRollout rollout;
  rollout.set_targets(targets(3, 2), 3, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 2);
  const auto next = commands(rollout, report(2, 1), kStart + 1000_ms);
  CHECK(next.empty());  // The third engine reports the version too.
  CHECK_FALSE(rollout.needed());
}

// Guards against a second load by an order that was lost and is carried out late: both carry the
// same expected sequence, so the engine accepts only one of them.
TEST_CASE("a command without an answer is repeated with the sequence that the engine reports",
          "[gateway]") {
  WeightRollout rollout;
  rollout.set_targets(targets(1, 2), 1, kStart);
  auto step = rollout.next(kStart);
  REQUIRE(step);
  rollout.on_report("e0", report(1, 4), kStart);
  step = rollout.next(kStart);
  REQUIRE(step);
  REQUIRE(step->kind == RolloutStep::Kind::kLoad);
  CHECK(step->command.expected_sequence == 4);
  rollout.on_load("e0", WeightLoadAnswer::kOutcomeUnknown, kStart);
  CHECK_FALSE(rollout.next(kStart + 500_ms));
  step = rollout.next(kStart + 1000_ms);
  REQUIRE(step);
  CHECK(step->kind == RolloutStep::Kind::kReport);
  rollout.on_report("e0", report(1, 4), kStart + 1000_ms);
  step = rollout.next(kStart + 1000_ms);
  REQUIRE(step);
  CHECK(step->kind == RolloutStep::Kind::kLoad);
  CHECK(step->command.expected_sequence == 4);
}

TEST_CASE("an engine that does not report gives its place to others", "[gateway]") {
  WeightRollout rollout;
  rollout.set_targets(targets(3, 2), 3, kStart);
  auto first = rollout.next(kStart);
  REQUIRE(first);
  rollout.on_report(first->command.upstream_id, std::nullopt, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 2);
}

TEST_CASE("a newer version waits for the load that runs", "[gateway]") {
  WeightRollout rollout;
  rollout.set_targets(targets(1, 2), 1, kStart);
  CHECK(commands(rollout, report(1, 0), kStart).size() == 1);
  rollout.set_targets(targets(1, 3), 1, kStart + 100_ms);
  auto step = rollout.next(kStart + 100_ms);
  REQUIRE(step);
  CHECK(step->kind == RolloutStep::Kind::kReport);
  rollout.on_report("e0", report(1, 1, true), kStart + 100_ms);
  CHECK_FALSE(rollout.next(kStart + 200_ms));
}

}  // namespace bluebellstep
