// Tests of the retry budget of a service.

#include "gateway/service_retry_budget.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr RetryLimits kLimits{.ratio = 0.2, .fixed_retries = 50, .window = Duration{10'000}};

// Retries until the budget is used up and returns the number of retries.
int retry_until_exhausted(ServiceRetryBudget& budget, std::size_t gateway_count, Instant now) {
  int retries = 0;
  while (budget.try_acquire_retry(kLimits, gateway_count, now)) {
    ++retries;
  }
  return retries;
}

}  // namespace

// Guards against gateways that each use the complete limit while many requests fail at once.
TEST_CASE("gateways share the fixed part of the retry limit", "[gateway]") {
  ServiceRetryBudget alone;
  ServiceRetryBudget shared;
  CHECK(retry_until_exhausted(alone, 1, Instant{100'000}) == 40);
  CHECK(retry_until_exhausted(shared, 5, Instant{100'000}) == 8);
}

TEST_CASE("each request adds its ratio to the retry budget", "[gateway]") {
  ServiceRetryBudget budget;
  for (int i = 0; i < 100; ++i) {
    budget.count_request(kLimits, Instant{100'000});
  }
  CHECK(retry_until_exhausted(budget, 5, Instant{100'000}) == 24);
}

TEST_CASE("retries count against the budget until the window has passed", "[gateway]") {
  ServiceRetryBudget budget;
  CHECK(retry_until_exhausted(budget, 5, Instant{100'000}) == 8);
  CHECK_FALSE(budget.try_acquire_retry(kLimits, 5, Instant{108'000}));
  CHECK(budget.try_acquire_retry(kLimits, 5, Instant{110'000}));
}

}  // namespace bluebellstep
