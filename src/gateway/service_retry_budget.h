// Share of a gateway in the limit on repeated sends to a service.
//
// Load pattern: many requests fail at once and each gateway sends them again. The limit holds over
// all gateways together, so each uses only its share of it.

#ifndef BLUEBELLSTEP_GATEWAY_SERVICE_RETRY_BUDGET_H_
#define BLUEBELLSTEP_GATEWAY_SERVICE_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** The limit: in each window, `ratio` times the requests plus `extra` may be sent once more. */
struct RetryLimits {
  double ratio = 0.2;
  double fixed_retries = 50;
  Duration window{10'000};
};

/** Counts requests and repeats for one service in a sliding window. */
class ServiceRetryBudget {
 public:
  /** Part of the limit that is used; the rest covers clocks and windows that differ. */
  static constexpr double kSafetyFactor = 0.8;

  /** Counts a caller's request. */
  void request(const RetryLimits& limits, Instant now);

  /** Whether a request may be sent once more now. */
  bool available(const RetryLimits& limits, std::size_t gateways, Instant now);

  /** Returns whether a request may be sent once more, and counts it. `gateways` share `extra`. */
  [[nodiscard]] bool take(const RetryLimits& limits, std::size_t gateways, Instant now);

 private:
  struct Slice {
    std::int64_t number = -1;  // Of the span of time that the counts are for.
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  static constexpr std::size_t kSlices = 10;

  Slice& current(const RetryLimits& limits, Instant now);

  std::array<Slice, kSlices> slices_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_SERVICE_RETRY_BUDGET_H_
