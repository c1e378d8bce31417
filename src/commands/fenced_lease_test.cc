// Tests of the lease with fencing numbers.

#include "commands/fenced_lease.h"

#include <catch2/catch.hpp>

#include <string>

#include "commands/fencing_number.h"

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

// Number of the acquisition within its era.
std::uint64_t count_of(const FencedLease& lease) {
  return FencingNumber::decode(lease.fencing_number()).count;
}

// Makes the calls of a lease against a store with the object `stored`, in steps of 10 ms, until the
// lease is held or `end`. Returns when it was held; nothing if it was not.
std::optional<Instant> run_until_held(FencedLease& lease,
                                      std::optional<PlatformObject>& stored,
                                      std::uint64_t era,
                                      Instant now,
                                      Instant end) {
  for (; now < end; now = now + 10_ms) {
    const LeaseStep step = lease.next(now);
    if (std::holds_alternative<PlatformRead>(step)) {
      lease.on_read(stored, now);
    } else if (const auto* write = std::get_if<PlatformWrite>(&step)) {
      const StoreRevision written{.number = write->expected.number + 1, .era = era};
      stored = PlatformObject{.key = write->key, .version = written, .value = write->value};
      lease.on_write(written, now);
    }
    if (lease.may_act(now)) {
      return now;
    }
  }
  return std::nullopt;
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
  CHECK(count_of(lease) == 1);
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
  CHECK(count_of(second) == 2);
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
  CHECK(count_of(second) == 2);
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
  lease.report_stale(FencingNumber{.count = 8}.encode());
  CHECK_FALSE(lease.may_act(Instant{1}));
  (void)lease.next(Instant{1});
  lease.on_read(object, Instant{1});
  REQUIRE(std::holds_alternative<PlatformWrite>(lease.next(Instant{1})));
  lease.on_write(StoreRevision{2}, Instant{1});
  CHECK(count_of(lease) == 9);
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

// Guards against two holders, with one fencing number, after the store came back from a copy in
// which the lease does not exist. The first one has not heard of the restore.
TEST_CASE("after a restore another process waits until the holder has stopped", "[commands]") {
  FencedLease first = make_lease("a");
  first.record_era(1, Instant{-5000}, Instant{-5000});
  std::optional<PlatformObject> stored;
  REQUIRE(run_until_held(first, stored, 1, Instant{0}, Instant{100}));
  FencedLease second = make_lease("b");
  second.record_era(1, Instant{-5000}, Instant{-5000});
  stored.reset();
  second.record_era(2, Instant{20}, Instant{20});
  const auto held_at = run_until_held(second, stored, 2, Instant{20}, Instant{5000});
  REQUIRE(held_at);
  CHECK_FALSE(first.may_act(*held_at));
  CHECK(*held_at <= Instant{20} + kTerm + 400_ms);
  CHECK(second.fencing_number() > first.fencing_number());
}

// Guards against a process that starts after a restore and takes the missing lease for a free one.
TEST_CASE("a process that starts in a later era waits for the holder of an earlier one",
          "[commands]") {
  FencedLease lease = make_lease("b");
  lease.record_era(2, Instant{0}, Instant{0});
  std::optional<PlatformObject> stored;
  SECTION("the lease does not exist") {}
  SECTION("the copy holds its release") {
    FencedLease earlier = make_lease("a");
    earlier.record_era(1, Instant{-5000}, Instant{-5000});
    REQUIRE(run_until_held(earlier, stored, 1, Instant{-1000}, Instant{-900}));
    earlier.release();
    const auto write = std::get<PlatformWrite>(earlier.next(Instant{-500}));
    stored = PlatformObject{.key = write.key, .version = {2, 2}, .value = write.value};
  }
  const auto held_at = run_until_held(lease, stored, 2, Instant{0}, Instant{5000});
  REQUIRE(held_at);
  CHECK(*held_at >= Instant{0} + kTerm + 300_ms);
}

// Guards against updates that wait for a term after each restore although their holder lives.
TEST_CASE("the holder of the era before takes the lease at once, with a higher number",
          "[commands]") {
  FencedLease lease = make_lease("a");
  lease.record_era(1, Instant{-5000}, Instant{-5000});
  std::optional<PlatformObject> stored;
  REQUIRE(run_until_held(lease, stored, 1, Instant{0}, Instant{100}));
  const std::uint64_t number = lease.fencing_number();
  stored.reset();
  lease.record_era(2, Instant{200}, Instant{200});
  CHECK_FALSE(lease.may_act(Instant{200}));
  REQUIRE(run_until_held(lease, stored, 2, Instant{200}, Instant{250}));
  CHECK(lease.fencing_number() > number);
}

// Guards against a holder by a write that the restored store has answered, but not in the history
// in which the lease was free.
TEST_CASE("a write that is answered in a later era makes no holder", "[commands]") {
  FencedLease lease = make_lease("a");
  lease.record_era(1, Instant{-5000}, Instant{-5000});
  (void)lease.next(Instant{0});
  lease.on_read(std::nullopt, Instant{0});
  REQUIRE(std::holds_alternative<PlatformWrite>(lease.next(Instant{0})));
  lease.on_write(StoreRevision{.number = 1, .era = 2}, Instant{10});
  CHECK_FALSE(lease.may_act(Instant{10}));
  CHECK(std::holds_alternative<PlatformRead>(lease.next(Instant{10})));
}

// Guards against a second holder while the first one acts: a write of an earlier era is carried out
// late, over the object of the first one, and says that the lease is free.
TEST_CASE("a late write of an earlier era does not free the lease", "[commands]") {
  FencedLease late = make_lease("c");
  late.record_era(1, Instant{-5000}, Instant{-5000});
  std::optional<PlatformObject> stored;
  REQUIRE(run_until_held(late, stored, 1, Instant{0}, Instant{100}));
  late.release();
  const auto release = std::get<PlatformWrite>(late.next(Instant{500}));

  FencedLease first = make_lease("a");
  FencedLease second = make_lease("b");
  first.record_era(2, Instant{1000}, Instant{1000});
  second.record_era(2, Instant{1000}, Instant{1000});
  stored.reset();
  const auto first_at = run_until_held(first, stored, 2, Instant{4000}, Instant{5000});
  REQUIRE(first_at);
  stored = PlatformObject{.key = release.key, .version = {7, 2}, .value = release.value};
  const auto second_at = run_until_held(second, stored, 2, *first_at + 10_ms, *first_at + 5000_ms);
  REQUIRE(second_at);
  CHECK_FALSE(first.may_act(*second_at));
}

// Guards against a number that goes down, or is given out again, after a late write of an earlier
// era has replaced the object that tells of the last acquisition.
TEST_CASE("a late write of an earlier era does not lower the next number", "[commands]") {
  FencedLease late = make_lease("c");
  late.record_era(1, Instant{-5000}, Instant{-5000});
  std::optional<PlatformObject> stored;
  REQUIRE(run_until_held(late, stored, 1, Instant{0}, Instant{100}));
  const PlatformObject late_object = *stored;
  stored.reset();

  FencedLease first = make_lease("a");
  first.record_era(2, Instant{1000}, Instant{1000});
  REQUIRE(run_until_held(first, stored, 2, Instant{3000}, Instant{4000}));
  const std::string holder = GENERATE("a", "b");
  stored = PlatformObject{.key = late_object.key,
                          .version = {stored->version.number + 1, 2},
                          .value = late_object.value};
  FencedLease second = make_lease(holder);
  second.record_era(2, Instant{5000}, Instant{5000});
  REQUIRE(run_until_held(second, stored, 2, Instant{5000}, Instant{9000}));
  CHECK(second.fencing_number() > first.fencing_number());
}

// Guards against two holders: the release took effect, and another process acquired the lease
// before the restore.
TEST_CASE("a holder that has sent its release waits after a restore", "[commands]") {
  FencedLease lease = make_lease("a");
  lease.record_era(1, Instant{-5000}, Instant{-5000});
  std::optional<PlatformObject> stored;
  REQUIRE(run_until_held(lease, stored, 1, Instant{0}, Instant{100}));
  lease.release();
  REQUIRE(std::holds_alternative<PlatformWrite>(lease.next(Instant{100})));
  lease.on_write(PlatformUnavailable{}, Instant{200});
  lease.acquire();
  stored.reset();
  lease.record_era(2, Instant{300}, Instant{300});
  const auto held_at = run_until_held(lease, stored, 2, Instant{300}, Instant{5000});
  REQUIRE(held_at);
  CHECK(*held_at >= Instant{300} + kTerm + 300_ms);
}

// Guards against two holders: another process has acquired the lease in the new era, and a late
// write has replaced its object, while the earlier holder was paused.
TEST_CASE("the holder of the era before waits when its term has ended", "[commands]") {
  FencedLease late = make_lease("c");
  late.record_era(1, Instant{-5000}, Instant{-5000});
  std::optional<PlatformObject> stored;
  REQUIRE(run_until_held(late, stored, 1, Instant{-2000}, Instant{-1900}));
  const PlatformObject late_object = *stored;

  FencedLease lease = make_lease("a");
  lease.record_era(1, Instant{-5000}, Instant{-5000});
  stored.reset();
  REQUIRE(run_until_held(lease, stored, 1, Instant{0}, Instant{100}));
  lease.record_era(2, Instant{200}, Instant{200});

  FencedLease other = make_lease("b");
  other.record_era(2, Instant{200}, Instant{200});
  stored.reset();
  const auto other_at = run_until_held(other, stored, 2, Instant{200}, Instant{5000});
  REQUIRE(other_at);
  stored = PlatformObject{.key = late_object.key, .version = {7, 2}, .value = late_object.value};
  const auto held_at = run_until_held(lease, stored, 2, *other_at + 10_ms, *other_at + 5000_ms);
  REQUIRE(held_at);
  CHECK_FALSE(other.may_act(*held_at));
}

// Guards against two holders with one number where the store does not tell of its restore.
TEST_CASE("two holders never have the same number", "[commands]") {
  FencedLease first = make_lease("a");
  FencedLease second = make_lease("b");
  acquire_absent(first, Instant{0});
  acquire_absent(second, Instant{0});
  CHECK(first.fencing_number() != second.fencing_number());
}

// Guards against a lease that is given up because of a late answer to an earlier command.
TEST_CASE("a rejection counts only for the number that was rejected", "[commands]") {
  FencedLease lease = make_lease("a");
  acquire_absent(lease, Instant{0});
  const std::uint64_t number = lease.fencing_number();
  lease.report_rejected(number - 1);
  CHECK(lease.may_act(Instant{10}));
  lease.report_rejected(number);
  CHECK_FALSE(lease.may_act(Instant{10}));
}

// Guards against a process that writes without end, and takes the lease from its holder, since it
// does not know of the era in which the lease was acquired.
TEST_CASE("a process that knows of no era waits for a holder of a later one", "[commands]") {
  FencedLease holder = make_lease("a");
  holder.record_era(2, Instant{-5000}, Instant{-5000});
  std::optional<PlatformObject> stored;
  REQUIRE(run_until_held(holder, stored, 2, Instant{0}, Instant{100}));
  stored->version.era = 0;
  FencedLease unaware = make_lease("b");
  const auto held_at = run_until_held(unaware, stored, 0, Instant{100}, Instant{5000});
  REQUIRE(held_at);
  CHECK_FALSE(holder.may_act(*held_at));
  CHECK(unaware.fencing_number() > holder.fencing_number());
}

}  // namespace bluebellstep
