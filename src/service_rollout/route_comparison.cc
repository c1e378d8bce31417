#include "service_rollout/route_comparison.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace bluebellstep {
namespace {

// A gateway that restarts can make a later state lower than an earlier one.
std::uint64_t subtract(std::uint64_t later, std::uint64_t earlier) {
  return later > earlier ? later - earlier : 0;
}

double lower_bound_ms(std::size_t bucket) {
  return bucket == 0 ? 0 : std::exp2(static_cast<double>(bucket) / 2);
}

}  // namespace

void LatencyHistogram::record(Duration elapsed) {
  const double ms = static_cast<double>(std::max<std::int64_t>(elapsed.ms, 1));
  const auto bucket = static_cast<std::size_t>(2 * std::log2(ms));
  ++counts[std::min(bucket, kBuckets - 1)];
}

std::uint64_t LatencyHistogram::total() const {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

double LatencyHistogram::quantile_ms(double share) const {
  assert(share >= 0 && share <= 1);
  const double wanted = share * static_cast<double>(total());
  double below = 0;
  double result = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    if (counts[i] == 0) {
      continue;
    }
    const auto count = static_cast<double>(counts[i]);
    const double part = std::clamp((wanted - below) / count, 0.0, 1.0);
    result = std::lerp(lower_bound_ms(i), lower_bound_ms(i + 1), part);
    below += count;
    if (below >= wanted) {
      break;
    }
  }
  return result;
}

LatencyHistogram& LatencyHistogram::operator+=(const LatencyHistogram& other) {
  std::ranges::transform(counts, other.counts, counts.begin(), std::plus{});
  return *this;
}

LatencyHistogram& LatencyHistogram::operator-=(const LatencyHistogram& other) {
  std::ranges::transform(counts, other.counts, counts.begin(), subtract);
  return *this;
}

VersionOutcomes& VersionOutcomes::operator+=(const VersionOutcomes& other) {
  answers += other.answers;
  failures += other.failures;
  latency += other.latency;
  return *this;
}

VersionOutcomes& VersionOutcomes::operator-=(const VersionOutcomes& other) {
  answers = subtract(answers, other.answers);
  failures = subtract(failures, other.failures);
  latency -= other.latency;
  return *this;
}

}  // namespace bluebellstep
