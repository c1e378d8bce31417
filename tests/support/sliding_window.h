// Counts of events within a sliding time window.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_SLIDING_WINDOW_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_SLIDING_WINDOW_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** Returns the largest number of `times` within any span of length `window`, its end excluded. */
inline std::size_t most_within(std::vector<Instant> times, Duration window) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_SLIDING_WINDOW_H_
