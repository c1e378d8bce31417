// Tests of the candidacy for the lease of a rollout.

#include "gateway/lease_candidacy.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};

}  // namespace

// Load pattern: 103 gateways learn of new weights at the same time. Guards against each of them
// reading the lease until the rollout ends.
TEST_CASE("few gateways compete for a lease while there is progress", "[gateway][load]") {
  constexpr std::size_t kGateways = 103;
  std::size_t competing = 0;
  for (std::size_t rank = 0; rank < kGateways; ++rank) {
    LeaseCandidacy candidacy;
    candidacy.set_rank(rank);
    bool competes = false;
    for (std::size_t second = 0; second < 10; ++second) {
      const Instant now = kStart + Duration{1000} * static_cast<std::int64_t>(second);
      candidacy.set_pending(20 - second, 2, now);
      competes = competes || candidacy.may_compete(now + Duration{999});
    }
    competing += competes ? 1 : 0;
  }
  CHECK(competing == LeaseCandidacy::kCandidates);
}

// Guards against a rollout that stands still since the first gateways are down or cut off.
TEST_CASE("the other gateways compete if there is no progress", "[gateway]") {
  LeaseCandidacy candidacy;
  candidacy.set_rank(50);
  CHECK_FALSE(candidacy.may_compete(kStart));
  candidacy.set_pending(20, 2, kStart);
  CHECK_FALSE(candidacy.may_compete(kStart + LeaseCandidacy::kStandInDelay));
  CHECK(candidacy.may_compete(candidacy.competes_from()));
  CHECK(candidacy.competes_from() <= kStart + Duration{4000});
  candidacy.set_pending(0, 0, kStart + Duration{5000});
  CHECK_FALSE(candidacy.may_compete(kStart + Duration{60'000}));
}

// Guards against a rollout that stands still, since the first gateways are down or cut off, for as
// long as engines flap, are replaced or expire: each change of their number counted as progress.
TEST_CASE("engines that come and go are no progress", "[gateway]") {
  LeaseCandidacy candidacy;
  candidacy.set_rank(3);
  candidacy.set_pending(20, 2, kStart);
  const Instant competes_from = candidacy.competes_from();
  candidacy.set_pending(18, 2, kStart + 100_ms);
  for (int i = 1; i <= 10; ++i) {
    candidacy.set_pending(i % 2 == 0 ? 18 : 20, 2, kStart + 1_s * i);
  }
  CHECK(candidacy.competes_from() <= competes_from + 100_ms);
  CHECK(candidacy.may_compete(kStart + 10_s));
  SECTION("an engine was updated") {
    candidacy.set_pending(17, 2, kStart + 10_s);
  }
  SECTION("a newer version was named") {
    candidacy.set_pending(25, 3, kStart + 10_s);
  }
  SECTION("engines are outdated after a while in which none was") {
    candidacy.set_pending(0, 0, kStart + 10_s);
    candidacy.set_pending(25, 2, kStart + 10_s);
  }
  CHECK_FALSE(candidacy.may_compete(kStart + 11_s));
}

}  // namespace bluebellstep
