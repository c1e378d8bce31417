// Jitter and upper bound of the Retry-After time.

#include "gateway/retry_after.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bluebellstep {
namespace {

// Callers wait at most this fraction, 1 / kTimeLeftDivisor, of the time until their deadline.
constexpr std::int64_t kTimeLeftDivisor = 3;
// The longest delay exceeds the shortest by this fraction.
constexpr double kMaxJitter = 0.5;

}  // namespace

Duration jittered_retry_after(Duration min_delay,
                              std::optional<Duration> time_left,
                              std::string_view request_id) {
  const double factor = 1 + kMaxJitter * unit_interval(hash64(request_id));
  const Duration jittered{std::lround(static_cast<double>(min_delay.ms) * factor)};
  if (!time_left) {
    return jittered;
  }
  return std::min(jittered, std::max(Duration{0}, *time_left) / kTimeLeftDivisor);
}

}  // namespace bluebellstep
