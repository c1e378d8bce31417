// Calculation of the slow start limit.

#include "admission/slow_start.h"

#include <algorithm>

namespace bluebellstep {

void SlowStart::restart(Instant now) {
  start_ = now;
  completed_ = 0;
}

std::uint32_t SlowStart::limit(std::uint32_t maximum, Instant now) const {
  // A shift of at most 31 keeps a 32-bit `initial` within 64 bits.
  const std::int64_t doublings =
      std::clamp<std::int64_t>((now - start_).ms / limits_.doubling_time.ms, 0, 31);
  const std::uint64_t by_time = std::uint64_t{limits_.initial} << doublings;
  const std::uint64_t by_completions = limits_.initial + completed_;
  return static_cast<std::uint32_t>(std::min({std::uint64_t{maximum}, by_time, by_completions}));
}

}  // namespace bluebellstep
