// Tests of the Retry-After time of refused requests.

#include "gateway/retry_after.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace bluebellstep {

// Guards against callers that are refused at the same moment and then retry in one burst.
TEST_CASE("retries of refused callers are spread over time", "[gateway][load]") {
  std::map<std::int64_t, int> callers_by_10_ms;
  constexpr int kCallers = 1000;
  for (int i = 0; i < kCallers; ++i) {
    const Duration delay =
        jittered_retry_after(400_ms, std::nullopt, "request " + std::to_string(i));
    CHECK(delay >= 400_ms);
    CHECK(delay <= 600_ms);
    ++callers_by_10_ms[delay.ms / 10];
  }
  for (const auto& [slot, callers] : callers_by_10_ms) {
    INFO(slot * 10 << " ms");
    CHECK(callers < kCallers / 10);
  }
}

TEST_CASE("the retry delay is at most a third of the caller's time left", "[gateway]") {
  CHECK(jittered_retry_after(400_ms, 900_ms, "r") == 300_ms);
  CHECK(jittered_retry_after(400_ms, Duration{-5}, "r") == 0_ms);
  CHECK(jittered_retry_after(400_ms, 60_s, "r") >= 400_ms);
}

}  // namespace bluebellstep
