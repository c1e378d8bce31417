// Tests of which failing upstreams get further requests.

#include "gateway/upstream_health.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr Instant kAfterPause = kStart + UpstreamHealth::kFirstPause;

UpstreamHealth shunned() {
  UpstreamHealth health;
  for (std::uint32_t i = 0; i < UpstreamHealth::kFailuresToShun; ++i) {
    health.record_sent();
    health.failed(kStart);
  }
  return health;
}

}  // namespace

// Guards against requests that may not be repeated and are lost at a server that fails them all.
TEST_CASE("a failing upstream is tried with a request that may be repeated", "[gateway][load]") {
  UpstreamHealth health = shunned();
  CHECK_FALSE(health.may_get(true, 0, kStart));
  CHECK_FALSE(health.may_get(false, 0, kAfterPause));
  REQUIRE(health.may_get(true, 0, kAfterPause));
  health.record_sent();
  CHECK_FALSE(health.may_get(true, 0, kAfterPause));  // One trial at a time.
  SECTION("a success ends the trial") {
    health.succeeded(kAfterPause);
    CHECK(health.may_get(false, 0, kAfterPause));
  }
  SECTION("a failure makes the pause longer") {
    health.failed(kAfterPause);
    CHECK_FALSE(health.may_get(true, 0, kAfterPause + UpstreamHealth::kFirstPause));
    CHECK(health.may_get(true, 0, kAfterPause + UpstreamHealth::kFirstPause * 2));
  }
  SECTION("a trial without a result is followed by another") {
    health.trial_ended();
    CHECK(health.may_get(true, 0, kAfterPause));
  }
}

// Guards against an upstream that is never used again where no request may be repeated.
TEST_CASE("without repeatable requests any request tries the upstream later", "[gateway]") {
  UpstreamHealth health = shunned();
  CHECK(health.may_get(false, 0, kAfterPause + UpstreamHealth::kTrialByAnyAfter));
}

// Guards against each of many gateways losing requests to learn what the others know.
TEST_CASE("what other gateways saw counts until an own success", "[gateway][load]") {
  UpstreamHealth health;
  CHECK(health.may_get(false, 2, kStart));
  CHECK_FALSE(health.may_get(false, 3, kStart));
  REQUIRE(health.may_get(true, 3, kAfterPause));
  health.record_sent();
  health.succeeded(kAfterPause);
  CHECK(health.may_get(false, 3, kAfterPause));
  CHECK_FALSE(health.may_get(false, 3, kAfterPause + UpstreamHealth::kTrustSuccess));
}

TEST_CASE("error responses count only in a long row", "[gateway]") {
  UpstreamHealth health;
  for (std::uint32_t i = 0; i + 1 < UpstreamHealth::kErrorsToShun; ++i) {
    health.answered_error(kStart);
  }
  CHECK(health.may_get(false, 0, kStart));
  health.answered_error(kStart);
  CHECK_FALSE(health.may_get(false, 0, kStart));
}

}  // namespace bluebellstep
