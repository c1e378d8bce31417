// Slow start: ramp of the concurrency limit of an upstream that has just started.

#ifndef BLUEBELLSTEP_ADMISSION_SLOW_START_H_
#define BLUEBELLSTEP_ADMISSION_SLOW_START_H_

#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** Parameters of the ramp. */
struct SlowStartLimits {
  /** Number of concurrent requests allowed directly after the start. */
  std::uint32_t initial = 2;
  /** Time after which the time-based limit doubles. */
  Duration doubling_time = 2_s;
};

/**
 * Limit of concurrent requests since the last start of the upstream: the least of the maximum,
 * `initial` plus the requests completed since the start, and `initial` doubled every
 * `doubling_time`. The number of completed requests is included because an upstream that stays idle
 * does not warm up.
 */
class SlowStart {
 public:
  SlowStart(SlowStartLimits limits, Instant start) : limits_(limits), start_(start) {}

  /** Restarts the ramp at `now`. */
  void restart(Instant now);

  /** Counts a request that was admitted and completed since the last start. */
  void request_completed() { ++completed_; }

  /** Returns the limit at `now`, at most `maximum`. */
  std::uint32_t limit(std::uint32_t maximum, Instant now) const;

 private:
  SlowStartLimits limits_;
  Instant start_;
  std::uint64_t completed_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ADMISSION_SLOW_START_H_
