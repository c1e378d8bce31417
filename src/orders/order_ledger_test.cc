// Tests of the order ledger.

#include "orders/order_ledger.h"

#include <catch2/catch.hpp>

#include <string>

#include "orders/order_attempts.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{1'733'000'000'000};
constexpr Instant kAfterFloor = kStart + Duration{10'000};
constexpr Duration kDay{86'400'000};

OrderKey key_created_at(Instant creation_time, std::string_view rest = "x") {
  return OrderKey::parse("parts", "a", std::to_string(creation_time.ms) + "-" + std::string(rest))
      .value();
}

RunState refused_state(const ClaimDecision& decision) {
  return std::get<RefuseOrder>(decision).verdict.run_state();
}

Reason refused_reason(const ClaimDecision& decision) {
  return std::get<RefuseOrder>(decision).verdict.reason();
}

}  // namespace

// Guards against running a retried order again, in each state of its claim.
TEST_CASE("a retry is decided by the state of the claim", "[orders]") {
  OrderLedger ledger({}, kStart);
  const OrderKey key = key_created_at(kAfterFloor);
  const ClaimId id = std::get<ClaimAcquired>(ledger.claim(key, 1, kAfterFloor)).claim;
  CHECK(std::get<JoinClaim>(ledger.claim(key, 1, kAfterFloor)).claim == id);
  CHECK(std::get<JoinClaim>(ledger.decide_known_key(key, 1).value()).claim == id);
  CHECK_FALSE(ledger.decide_known_key(key_created_at(kAfterFloor, "unknown"), 1).has_value());
  CHECK(refused_state(ledger.claim(key, 2, kAfterFloor)) == RunState::kMayHaveRun);

  REQUIRE(ledger.mark_dispatched(id));
  CHECK_FALSE(ledger.mark_dispatched(id));
  CHECK_FALSE(ledger.abandon_before_dispatch(id));
  CHECK(std::get<JoinClaim>(ledger.claim(key, 1, kAfterFloor)).claim == id);

  ledger.mark_outcome_unknown(id);
  CHECK(refused_state(ledger.claim(key, 1, kAfterFloor)) == RunState::kMayHaveRun);

  ledger.complete(id, {201, "text/plain", "done"});
  ledger.mark_outcome_unknown(id);
  CHECK(std::get<ReplayAnswer>(ledger.claim(key, 1, kAfterFloor)).answer.body == "done");
  CHECK(refused_state(ledger.claim(key, 2, kAfterFloor)) == RunState::kRun);
  CHECK(refused_reason(ledger.claim(key, 2, kAfterFloor)) == Reason::kKeyReused);
}

// Guards against accepting a key that an earlier incarnation, on a machine with a different clock,
// may have accepted.
TEST_CASE("keys created outside the accepted window are refused", "[orders]") {
  struct Row {
    Instant creation_time;
    Instant now;
    std::optional<RunState> refused;
  };

  const Row row = GENERATE(values<Row>({
      {kStart, kStart, RunState::kMayHaveRun},
      {kStart + 3000_ms, kStart + 3000_ms, RunState::kMayHaveRun},
      {kStart + 3001_ms, kStart + 3000_ms, std::nullopt},
      {kStart + 5000_ms, kStart + 3000_ms, std::nullopt},
      {kStart + 5001_ms, kStart + 3000_ms, RunState::kNotRun},
      {kAfterFloor, kAfterFloor + kDay, RunState::kMayHaveRun},
      {kAfterFloor + 1_ms, kAfterFloor + kDay, std::nullopt},
  }));
  OrderLedger ledger({}, kStart);
  const ClaimDecision decision = ledger.claim(key_created_at(row.creation_time), 1, row.now);
  CHECK(std::holds_alternative<ClaimAcquired>(decision) == !row.refused.has_value());
  if (row.refused) {
    CHECK(refused_state(decision) == *row.refused);
  }
}

// Guards against a creation time floor that includes only the future allowance: an incarnation
// whose clock is ahead accepts a key, and the clock of the next incarnation is behind.
TEST_CASE("a successor refuses what its predecessor may have accepted", "[orders]") {
  OrderLedger predecessor({}, kStart);
  const Instant wall_ahead = kAfterFloor + 1000_ms;
  const OrderKey key = key_created_at(wall_ahead + 2000_ms);
  const ClaimId id = std::get<ClaimAcquired>(predecessor.claim(key, 1, wall_ahead)).claim;
  REQUIRE(predecessor.mark_dispatched(id));
  OrderLedger successor({}, kAfterFloor);
  const Instant acceptable_time = *key.creation_time() - 2000_ms;
  CHECK(refused_state(successor.claim(key, 1, acceptable_time)) == RunState::kMayHaveRun);
}

// Guards against running an order again after the wall clock stepped forward, claims expired, and
// the clock stepped back.
TEST_CASE("the creation time floor never decreases", "[orders]") {
  OrderLedger ledger({}, kStart);
  const OrderKey key = key_created_at(kAfterFloor);
  const ClaimId id = std::get<ClaimAcquired>(ledger.claim(key, 1, kAfterFloor)).claim;
  REQUIRE(ledger.mark_dispatched(id));
  const Instant far = kAfterFloor + kDay * 40;
  CHECK(std::holds_alternative<ClaimAcquired>(ledger.claim(key_created_at(far), 1, far)));
  CHECK(ledger.held_claims() == 1);
  CHECK_FALSE(ledger.state(id).has_value());
  CHECK(refused_state(ledger.claim(key, 1, kAfterFloor)) == RunState::kMayHaveRun);
  CHECK_FALSE(ledger.mark_dispatched(id));
}

TEST_CASE("an abandoned key can be claimed again", "[orders]") {
  OrderLedger ledger({}, kStart);
  const OrderKey key = key_created_at(kAfterFloor);
  const ClaimId first = std::get<ClaimAcquired>(ledger.claim(key, 1, kAfterFloor)).claim;
  CHECK(ledger.abandon_before_dispatch(first));
  CHECK_FALSE(ledger.abandon_before_dispatch(first));
  const ClaimId second = std::get<ClaimAcquired>(ledger.claim(key, 1, kAfterFloor)).claim;
  CHECK_FALSE(second == first);
  CHECK_FALSE(ledger.mark_dispatched(first));
  CHECK(ledger.mark_dispatched(second));
}

// Guards against removing claims to make room, which would let their orders run again.
TEST_CASE("a full ledger refuses new keys and keeps its claims", "[orders]") {
  OrderLedger ledger({.max_claims = 2}, kStart);
  const OrderKey kept = key_created_at(kAfterFloor, "0");
  REQUIRE(std::holds_alternative<ClaimAcquired>(ledger.claim(kept, 1, kAfterFloor)));
  REQUIRE(std::holds_alternative<ClaimAcquired>(
      ledger.claim(key_created_at(kAfterFloor, "1"), 1, kAfterFloor)));
  const ClaimDecision third = ledger.claim(key_created_at(kAfterFloor, "2"), 1, kAfterFloor);
  CHECK(refused_state(third) == RunState::kNotRun);
  CHECK(refused_reason(third) == Reason::kOwnerFull);
  CHECK(std::holds_alternative<JoinClaim>(ledger.claim(kept, 1, kAfterFloor)));
}

TEST_CASE("answers are evicted beyond the byte limit", "[orders]") {
  OrderLedger ledger({.max_answer_bytes = 3000}, kStart);
  for (int i = 0; i < 5; ++i) {
    const OrderKey key = key_created_at(kAfterFloor, std::to_string(i));
    const ClaimId id = std::get<ClaimAcquired>(ledger.claim(key, 1, kAfterFloor)).claim;
    REQUIRE(ledger.mark_dispatched(id));
    ledger.complete(id, {200, "text/plain", std::string(1000, 'x')});
    CHECK(ledger.answer_bytes() <= 3000);
  }
  CHECK(std::holds_alternative<ReplayAnswer>(
      ledger.claim(key_created_at(kAfterFloor, "4"), 1, kAfterFloor)));
  CHECK(refused_state(ledger.claim(key_created_at(kAfterFloor, "0"), 1, kAfterFloor)) ==
        RunState::kRun);
}

// Guards against memory that grows with the total number of orders, and against index entries that
// are lost when other claims are removed.
TEST_CASE("memory per claim is bounded and expired claims are removed", "[orders]") {
  constexpr std::size_t kClaims = 20'000;
  OrderLedger ledger({.max_claims = kClaims, .retention = Duration{100'000}}, kStart);
  Instant now = kAfterFloor;
  for (int i = 0; i < 100'000; ++i) {
    now = now + 10_ms;
    REQUIRE(std::holds_alternative<ClaimAcquired>(ledger.claim(key_created_at(now, "x"), 1, now)));
    if (i > 9000) {
      REQUIRE(
          std::holds_alternative<JoinClaim>(ledger.claim(key_created_at(now - 90'000_ms), 1, now)));
    }
    REQUIRE(ledger.held_claims() <= 10'100);
  }
  CHECK(ledger.claim_memory_bytes() <= OrderLedger::kBytesPerClaim * kClaims);
}

TEST_CASE("a full ledger stays within its memory bound", "[orders]") {
  OrderLedger ledger({}, kStart);
  for (int i = 0; i < 400'000; ++i) {
    ledger.claim(key_created_at(kAfterFloor, std::to_string(i)), 1, kAfterFloor);
  }
  REQUIRE(ledger.held_claims() == 400'000);
  CHECK(ledger.claim_memory_bytes() <= OrderLedger::kBytesPerClaim * 400'000);
}

// Guards against reporting "not run" for an order of which an earlier attempt may still be
// accepted.
TEST_CASE("an unresolved attempt changes not run to may have run", "[orders]") {
  const Verdict refusal = Verdict::not_run(Reason::kOwnerFull, "full");
  OrderAttempts attempts;
  const auto first = attempts.start();
  const auto second = attempts.start();
  attempts.mark_not_run(second);
  CHECK(attempts.verdict_for_caller(refusal).run_state() == RunState::kMayHaveRun);
  attempts.mark_not_run(first);
  CHECK(attempts.verdict_for_caller(refusal).run_state() == RunState::kNotRun);
}

}  // namespace bluebellstep
