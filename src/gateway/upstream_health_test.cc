// Tests of the ejection of failing upstreams.

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

// Guards against losing requests that may not be retried at a server that fails every request.
TEST_CASE("the trial request to an ejected upstream is one that may be retried",
          "[gateway][load]") {
  UpstreamHealth health = make_ejected();
  CHECK_FALSE(health.may_receive(true, 0, kStart));
  CHECK_FALSE(health.may_receive(false, 0, kAfterEjection));
  REQUIRE(health.may_receive(true, 0, kAfterEjection));
  health.record_sent();
  CHECK_FALSE(health.may_receive(true, 0, kAfterEjection));  // One trial at a time.
  SECTION("a success ends the ejection") {
    health.record_success(kAfterEjection);
    CHECK(health.may_receive(false, 0, kAfterEjection));
  }
  SECTION("a failure doubles the ejection time") {
    health.record_failure(kAfterEjection);
    CHECK_FALSE(health.may_receive(true, 0, kAfterEjection + UpstreamHealth::kFirstEjection));
    CHECK(health.may_receive(true, 0, kAfterEjection + UpstreamHealth::kFirstEjection * 2));
  }
  SECTION("a trial without a result allows another trial") {
    health.cancel_trial();
    CHECK(health.may_receive(true, 0, kAfterEjection));
  }
}

// Guards against a permanent ejection where no request may be retried.
TEST_CASE("without retryable requests any request may be the trial later", "[gateway]") {
  UpstreamHealth health = make_ejected();
  CHECK(health.may_receive(false, 0, kAfterEjection + UpstreamHealth::kNonRetryableTrialDelay));
}

// Guards against every gateway losing requests before it ejects an upstream that others know to
// fail.
TEST_CASE("failures reported by other gateways count until an own success", "[gateway][load]") {
  UpstreamHealth health;
  CHECK(health.may_receive(false, 2, kStart));
  CHECK_FALSE(health.may_receive(false, 3, kStart));
  REQUIRE(health.may_receive(true, 3, kAfterEjection));
  health.record_sent();
  health.record_success(kAfterEjection);
  CHECK(health.may_receive(false, 3, kAfterEjection));
  CHECK_FALSE(health.may_receive(false, 3, kAfterEjection + UpstreamHealth::kOwnSuccessValidity));
}

TEST_CASE("only a long sequence of error responses ejects an upstream", "[gateway]") {
  UpstreamHealth health;
  for (std::uint32_t i = 0; i + 1 < UpstreamHealth::kErrorsToEject; ++i) {
    health.record_error_response(kStart);
  }
  CHECK(health.may_receive(false, 0, kStart));
  health.record_error_response(kStart);
  CHECK_FALSE(health.may_receive(false, 0, kStart));
}

}  // namespace bluebellstep
