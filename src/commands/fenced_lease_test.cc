// Tests of the lease with fencing numbers.

#include "commands/fenced_lease.h"

#include <catch2/catch.hpp>

#include <string>

namespace bluebellstep {
namespace {

constexpr Duration kTerm{1000};

FencedLease make_lease(std::string holder) {
  FencedLease lease({.object_key = "leases/u1",
                     .holder = std::move(holder),
                     .term = kTerm,
                     .grace = {300},
                     .send_margin = {100}});
  lease.acquire();
  return lease;
}

// Acquires a lease whose object does not exist yet; returns the object written.
PlatformObject acquire_absent(FencedLease& lease, Instant now) {
  REQUIRE(std::holds_alternative<PlatformRead>(lease.next(now)));
  lease.on_read(std::nullopt, now);
  const auto write = std::get<PlatformWrite>(lease.next(now));
  lease.on_write(StoreRevision{1}, now);
  return {write.key, {1}, write.value};
}

}  // namespace

// Guards against counting the duration of the write as lease time, and against acting shortly
// before the lease expires.
TEST_CASE("the term of a lease starts before its write is sent", "[commands]") {
  FencedLease lease = make_lease("a");
  REQUIRE(std::holds_alternative<PlatformRead>(lease.next(Instant{0})));
  CHECK(std::holds_alternative<LeaseCallPending>(lease.next(Instant{0})));
  lease.on_read(std::nullopt, Instant{10});
  REQUIRE(std::holds_alternative<PlatformWrite>(lease.next(Instant{10})));
  lease.on_write(StoreRevision{1}, Instant{200});
  CHECK(lease.fencing_number() == 1);
  CHECK(lease.may_act(Instant{909}));
  CHECK_FALSE(lease.may_act(Instant{910}));
  CHECK(std::get<LeaseHeld>(lease.next(Instant{200})).renew_at == Instant{510});
}

// Guards against two holders at the same time, and against a fencing number that is used twice.
TEST_CASE("another holder waits for term and grace and increments the fencing number",
          "[commands]") {
  FencedLease first = make_lease("a");
  const PlatformObject object = acquire_absent(first, Instant{0});
  FencedLease second = make_lease("b");
  Instant now{5000};
  (void)second.next(now);
  second.on_read(object, now);
  while (now < Instant{6300}) {
    const LeaseStep step = second.next(now);
    if (const auto* wait = std::get_if<LeaseWait>(&step)) {
      now = wait->at;
    } else {
      REQUIRE(std::holds_alternative<PlatformRead>(step));
      second.on_read(object, now);
    }
  }
  CHECK(std::holds_alternative<PlatformRead>(second.next(now)));
  second.on_read(object, now);
  CHECK(std::get<PlatformWrite>(second.next(now)).expected == StoreRevision{1});
  second.on_write(StoreRevision{2}, now);
  CHECK(second.fencing_number() == 2);
}

TEST_CASE("a released lease is acquired without waiting", "[commands]") {
  FencedLease first = make_lease("a");
  acquire_absent(first, Instant{0});
  first.release();
  CHECK_FALSE(first.may_act(Instant{1}));
  const auto write = std::get<PlatformWrite>(first.next(Instant{1}));
  first.on_write(StoreRevision{2}, Instant{2});
  CHECK(std::holds_alternative<LeaseIdle>(first.next(Instant{2})));
  FencedLease second = make_lease("b");
  (void)second.next(Instant{3});
  second.on_read(PlatformObject{write.key, {2}, write.value}, Instant{3});
  REQUIRE(std::holds_alternative<PlatformWrite>(second.next(Instant{3})));
  second.on_write(StoreRevision{3}, Instant{4});
  CHECK(second.fencing_number() == 2);
}

// Guards against a different second write while the first may still take effect.
TEST_CASE("after an unanswered write the object is re-read and the write is retried unchanged",
          "[commands]") {
  FencedLease lease = make_lease("a");
  (void)lease.next(Instant{0});
  lease.on_read(std::nullopt, Instant{0});
  const auto write = std::get<PlatformWrite>(lease.next(Instant{0}));
  lease.on_write(PlatformUnavailable{}, Instant{50});
  REQUIRE(std::get<LeaseWait>(lease.next(Instant{50})).at == Instant{250});
  REQUIRE(std::holds_alternative<PlatformRead>(lease.next(Instant{250})));
  SECTION("the write took effect") {
    lease.on_read(PlatformObject{write.key, {4}, write.value}, Instant{260});
    CHECK(lease.may_act(Instant{899}));
    CHECK_FALSE(lease.may_act(Instant{900}));
  }
  SECTION("the write did not take effect") {
    lease.on_read(std::nullopt, Instant{260});
    const auto retry = std::get<PlatformWrite>(lease.next(Instant{260}));
    CHECK(retry.value == write.value);
    CHECK(retry.expected == write.expected);
  }
}

TEST_CASE("a stale fencing number ends the lease and the next number is higher", "[commands]") {
  FencedLease lease = make_lease("a");
  const PlatformObject object = acquire_absent(lease, Instant{0});
  lease.report_stale(8);
  CHECK_FALSE(lease.may_act(Instant{1}));
  (void)lease.next(Instant{1});
  lease.on_read(object, Instant{1});
  REQUIRE(std::holds_alternative<PlatformWrite>(lease.next(Instant{1})));
  lease.on_write(StoreRevision{2}, Instant{1});
  CHECK(lease.fencing_number() == 9);
}

// Guards against taking over a lease that a newer version of the program wrote.
TEST_CASE("a lease object of unknown format is never taken over", "[commands]") {
  FencedLease lease = make_lease("a");
  for (Instant now{0}; now < Instant{100'000}; now = now + 600_ms) {
    REQUIRE(std::holds_alternative<PlatformRead>(lease.next(now)));
    lease.on_read(PlatformObject{"leases/u1", {3}, "v2"}, now);
    REQUIRE(std::holds_alternative<LeaseWait>(lease.next(now)));
  }
}

}  // namespace bluebellstep
