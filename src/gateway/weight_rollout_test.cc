// Tests of `WeightRollout`.

#include "gateway/weight_rollout.h"

#include <catch2/catch.hpp>

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

}  // namespace bluebellstep
