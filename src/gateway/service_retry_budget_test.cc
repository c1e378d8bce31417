// Tests of the limit on repeated sends.

#include "gateway/service_retry_budget.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr RetryLimits kLimits{.ratio = 0.2, .fixed_retries = 50, .window = Duration{10'000}};

int take_all(ServiceRetryBudget& allowance, std::size_t gateways, Instant now) {
  int taken = 0;
  while (allowance.take(kLimits, gateways, now)) {
    ++taken;
  }
  return taken;
}

}  // namespace

// Guards against gateways that each use the whole limit while many requests fail at once.
TEST_CASE("gateways share the fixed part of the repeat limit", "[gateway]") {
  ServiceRetryBudget alone;
  ServiceRetryBudget shared;
  CHECK(take_all(alone, 1, Instant{100'000}) == 40);
  CHECK(take_all(shared, 5, Instant{100'000}) == 8);
}

TEST_CASE("requests raise the repeat limit by their ratio", "[gateway]") {
  ServiceRetryBudget allowance;
  for (int i = 0; i < 100; ++i) {
    allowance.request(kLimits, Instant{100'000});
  }
  CHECK(take_all(allowance, 5, Instant{100'000}) == 24);
}

TEST_CASE("repeats count until their window has passed", "[gateway]") {
  ServiceRetryBudget allowance;
  CHECK(take_all(allowance, 5, Instant{100'000}) == 8);
  CHECK_FALSE(allowance.take(kLimits, 5, Instant{108'000}));
  CHECK(allowance.take(kLimits, 5, Instant{110'000}));
}

}  // namespace bluebellstep
