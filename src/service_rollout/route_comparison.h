// Outcomes of the requests of one route, by the software version of the upstream that answered.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_ROUTE_COMPARISON_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_ROUTE_COMPARISON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/clock.h"

namespace bluebellstep {

/** Counts of requests by the time to their first byte. Bucket `i` counts times of at least
 * 2^(i/2) ms and below 2^((i+1)/2) ms; the first and the last bucket also count what is shorter or
 * longer. */
struct LatencyHistogram {
  static constexpr std::size_t kBuckets = 32;
  std::array<std::uint64_t, kBuckets> counts{};

  void record(Duration elapsed);
  std::uint64_t total() const;
  /** Returns the time, in ms, that a part of `share` of the requests did not exceed; 0 if there is
   * no request. Interpolates inside a bucket. */
  double quantile_ms(double share) const;
  LatencyHistogram& operator+=(const LatencyHistogram& other);
  /** Subtracts an earlier state of the same counts. */
  LatencyHistogram& operator-=(const LatencyHistogram& other);
  bool operator==(const LatencyHistogram&) const = default;
};

/** What became of the requests of one route at the upstreams of one version. */
struct VersionOutcomes {
  // Requests with an outcome, failures included. Rejections, and requests whose caller left, are
  // not counted anywhere.
  std::uint64_t answers = 0;
  // Error responses of the upstream, lost connections and unusable responses.
  std::uint64_t failures = 0;
  LatencyHistogram latency;  // Of the answers that had a first byte.

  VersionOutcomes& operator+=(const VersionOutcomes& other);
  VersionOutcomes& operator-=(const VersionOutcomes& other);
  bool operator==(const VersionOutcomes&) const = default;
};

/** The outcomes of both versions on one route over the same time. */
struct RouteComparison {
  std::string route;
  VersionOutcomes old_version;
  VersionOutcomes new_version;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_ROUTE_COMPARISON_H_
