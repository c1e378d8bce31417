// Spread of the times after which refused callers come back.

#include "gateway/retry_after.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bluebellstep {
namespace {

// Callers honour a longer time only up to this part of what they have left.
constexpr std::int64_t kShareOfTimeLeft = 3;
// The longest time exceeds the least by this share.
constexpr double kSpread = 0.5;

}  // namespace

Duration retry_after(Duration least,
                     std::optional<Duration> time_left,
                     std::string_view request_id) {
  const double factor = 1 + kSpread * unit_interval(hash64(request_id));
  const Duration spread{std::lround(static_cast<double>(least.ms) * factor)};
  if (!time_left) {
    return spread;
  }
  return std::min(spread, std::max(Duration{0}, *time_left) / kShareOfTimeLeft);
}

}  // namespace bluebellstep
