// Tests of claims that are stored as platform objects.

#include "orders/opaque_claim.h"

#include <catch2/catch.hpp>

#include <string>

namespace bluebellstep {
namespace {

const OrderKey kKey = OrderKey::parse("parts", "a", "opaque").value();
constexpr Instant kDeadline{1000};

OpaqueClaim make_claim(std::uint64_t nonce, std::uint64_t body_hash = 7) {
  return OpaqueClaim(kKey, {1, nonce}, body_hash, kDeadline);
}

PlatformWrite pending_write(const OpaqueClaim& claim) {
  return std::get<PlatformWrite>(claim.next());
}

PlatformObject written(const OpaqueClaim& claim, std::uint64_t version) {
  return {kKey.object_key(), {version}, pending_write(claim).value};
}

RunState refused_state(const OpaqueClaim& claim) {
  return std::get<RefuseOrder>(claim.next()).verdict.run_state();
}

}  // namespace

TEST_CASE("creating the claim object acquires the claim", "[orders]") {
  OpaqueClaim claim = make_claim(1);
  CHECK(pending_write(claim).expected == StoreRevision{0});
  claim.on_write(StoreRevision{5}, Instant{0});
  CHECK(std::holds_alternative<OpaqueClaimAcquired>(claim.next()));
}

// Guards against refusing an order, or running it twice, when the claim object was created but the
// response was lost.
TEST_CASE("the claim object is re-read after a lost response", "[orders]") {
  OpaqueClaim claim = make_claim(1);
  const PlatformObject own = written(claim, 5);
  claim.on_write(PlatformUnavailable{}, Instant{0});
  REQUIRE(std::holds_alternative<PlatformRead>(claim.next()));
  SECTION("the object is this claim's own") {
    claim.on_read(own, Instant{1});
    CHECK(std::holds_alternative<OpaqueClaimAcquired>(claim.next()));
  }
  SECTION("the object is missing and is created again, but the first create takes effect late") {
    claim.on_read(std::nullopt, Instant{1});
    claim.on_write(VersionConflict{own}, Instant{2});
    CHECK(std::holds_alternative<OpaqueClaimAcquired>(claim.next()));
  }
  SECTION("the object belongs to another request of the same incarnation") {
    claim.on_read(written(make_claim(2), 5), Instant{1});
    CHECK(refused_state(claim) == RunState::kMayHaveRun);
  }
  SECTION("the platform stays unavailable") {
    claim.on_read(PlatformUnavailable{}, Instant{1});
    REQUIRE(std::holds_alternative<PlatformRead>(claim.next()));
    claim.on_read(PlatformUnavailable{}, kDeadline);
    CHECK(refused_state(claim) == RunState::kNotRun);
  }
}

TEST_CASE("a write conflict is decided by the other claim's object", "[orders]") {
  OpaqueClaim first = make_claim(1);
  first.on_write(StoreRevision{5}, Instant{0});
  OpaqueClaim second = make_claim(2);
  SECTION("answered: the answer is replayed, including non-text bytes") {
    first.record({201, "a/b", std::string("\x00\xff", 2)}, kDeadline);
    second.on_write(VersionConflict{written(first, 6)}, Instant{0});
    const auto& replay = std::get<OpaqueClaimReplay>(second.next()).answer;
    CHECK(replay.status == 201);
    CHECK(replay.body == std::string("\x00\xff", 2));
    OpaqueClaim other_body = make_claim(3, 8);
    other_body.on_write(VersionConflict{written(first, 6)}, Instant{0});
    CHECK(refused_state(other_body) == RunState::kRun);
  }
  SECTION("answered with a body too large to record") {
    first.record({200, "", std::string(OpaqueClaim::kMaxRecordedBodyBytes + 1, 'x')}, kDeadline);
    second.on_write(VersionConflict{written(first, 6)}, Instant{0});
    CHECK(refused_state(second) == RunState::kRun);
  }
  SECTION("released: the key is claimed again from the released version") {
    first.release(kDeadline);
    second.on_write(VersionConflict{written(first, 6)}, Instant{0});
    CHECK(pending_write(second).expected == StoreRevision{6});
    second.on_write(StoreRevision{7}, Instant{0});
    CHECK(std::holds_alternative<OpaqueClaimAcquired>(second.next()));
  }
  SECTION("unknown format") {
    for (const char* value : {"", "[]", "{\"state\":3}", "{\"state\":\"claimed\"}"}) {
      OpaqueClaim claim = make_claim(3);
      claim.on_write(VersionConflict{{"", {5}, value}}, Instant{0});
      CHECK(refused_state(claim) == RunState::kMayHaveRun);
    }
  }
}

// Guards against a delayed release that frees a key which another request has claimed in the
// meantime.
TEST_CASE("ending a claim never overwrites another claim", "[orders]") {
  OpaqueClaim first = make_claim(1);
  first.on_write(StoreRevision{5}, Instant{0});
  first.release(kDeadline);
  first.on_write(PlatformUnavailable{}, Instant{0});
  SECTION("the object is unchanged") {
    const PlatformObject claimed = written(make_claim(1), 5);
    first.on_read(claimed, Instant{1});
    CHECK(pending_write(first).expected == StoreRevision{5});
  }
  SECTION("another request claimed the released key") {
    first.on_read(written(make_claim(2), 7), Instant{1});
    CHECK_FALSE(std::get<OpaqueClaimFinished>(first.next()).recorded);
  }
}

}  // namespace bluebellstep
