// Tests of which failing upstreams get further requests.

#include "gateway/upstream_health.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr Instant kAfterEjection = kStart + UpstreamHealth::kFirstEjection;

UpstreamHealth make_ejected() {
  UpstreamHealth health;
  for (std::uint32_t i = 0; i < UpstreamHealth::kFailuresToEject; ++i) {
    health.record_sent();
    health.record_failure(kStart);
  }
  return health;
}

}  // namespace

// Guards against requests that may not be repeated and are lost at a server that fails them all.
TEST_CASE("a failing upstream is tried with a request that may be repeated", "[gateway][load]") {
  UpstreamHealth health = make_ejected();
  CHECK_FALSE(health.may_receive(true, 0, kStart));
  CHECK_FALSE(health.may_receive(false, 0, kAfterEjection));
  REQUIRE(health.may_receive(true, 0, kAfterEjection));
  health.record_sent();
  CHECK_FALSE(health.may_receive(true, 0, kAfterEjection));  // One trial at a time.
  SECTION("a success ends the trial") {
    health.record_success(kAfterEjection);
    CHECK(health.may_receive(false, 0, kAfterEjection));
  }
  SECTION("a failure makes the pause longer") {
    health.record_failure(kAfterEjection);
    CHECK_FALSE(health.may_receive(true, 0, kAfterEjection + UpstreamHealth::kFirstEjection));
    CHECK(health.may_receive(true, 0, kAfterEjection + UpstreamHealth::kFirstEjection * 2));
  }
  SECTION("a trial without a result is followed by another") {
    health.cancel_trial();
    CHECK(health.may_receive(true, 0, kAfterEjection));
  }
}

// Guards against an upstream that is never used again where no request may be repeated.
TEST_CASE("without repeatable requests any request tries the upstream later", "[gateway]") {
  UpstreamHealth health = make_ejected();
  CHECK(health.may_receive(false, 0, kAfterEjection + UpstreamHealth::kNonRetryableTrialDelay));
}

// Guards against each of many gateways losing requests to learn what the others know.
TEST_CASE("what other gateways saw counts until an own success", "[gateway][load]") {
  UpstreamHealth health;
  CHECK(health.may_receive(false, 2, kStart));
  CHECK_FALSE(health.may_receive(false, 3, kStart));
  REQUIRE(health.may_receive(true, 3, kAfterEjection));
  health.record_sent();
  health.record_success(kAfterEjection);
  CHECK(health.may_receive(false, 3, kAfterEjection));
  CHECK_FALSE(health.may_receive(false, 3, kAfterEjection + UpstreamHealth::kOwnSuccessValidity));
}

TEST_CASE("error responses count only in a long row", "[gateway]") {
  UpstreamHealth health;
  for (std::uint32_t i = 0; i + 1 < UpstreamHealth::kErrorsToEject; ++i) {
    health.record_error_response(kStart);
  }
  CHECK(health.may_receive(false, 0, kStart));
  health.record_error_response(kStart);
  CHECK_FALSE(health.may_receive(false, 0, kStart));
}

}  // namespace bluebellstep
