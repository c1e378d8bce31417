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
      candidacy.set_pending(20 - second, now);
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
  candidacy.set_pending(20, kStart);
  CHECK_FALSE(candidacy.may_compete(kStart + LeaseCandidacy::kStandInDelay));
  CHECK(candidacy.may_compete(candidacy.competes_from()));
  CHECK(candidacy.competes_from() <= kStart + Duration{4000});
  candidacy.set_pending(0, kStart + Duration{5000});
  CHECK_FALSE(candidacy.may_compete(kStart + Duration{60'000}));
}

}  // namespace bluebellstep
