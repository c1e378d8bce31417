// Tests of the times after which refused callers come back.

#include "gateway/retry_after.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace bluebellstep {

// Load pattern: many callers are refused at the same moment. Guards against their return as one
// burst.
TEST_CASE("refused callers come back spread over time", "[gateway][load]") {
  std::map<std::int64_t, int> callers_by_10_ms;
  constexpr int kCallers = 1000;
  for (int i = 0; i < kCallers; ++i) {
    const Duration time = retry_after(400_ms, std::nullopt, "request " + std::to_string(i));
    CHECK(time >= 400_ms);
    CHECK(time <= 600_ms);
    ++callers_by_10_ms[time.ms / 10];
  }
  for (const auto& [slot, callers] : callers_by_10_ms) {
    INFO(slot * 10 << " ms");
    CHECK(callers < kCallers / 10);
  }
}

TEST_CASE("a caller is not told to come back later than it would", "[gateway]") {
  CHECK(retry_after(400_ms, 900_ms, "r") == 300_ms);
  CHECK(retry_after(400_ms, Duration{-5}, "r") == 0_ms);
  CHECK(retry_after(400_ms, 60_s, "r") >= 400_ms);
}

}  // namespace bluebellstep
