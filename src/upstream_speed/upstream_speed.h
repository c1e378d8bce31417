// Learns by which factor the work of each upstream takes longer than is usual for its service.
//
// Load pattern: upstreams share their machines with others, so that one works several times slower
// than the next, and its speed changes many times a second. Each of many gateways gets few answers
// from an upstream. By the number of requests in flight alone, a slow upstream gets as many
// requests as a fast one, and they are late. Therefore the gateways pool what they observe: the
// times of answers, compared with the expected ones, and the work times that upstreams report
// themselves.
//
// A reported work time counts for a moment; afterwards the mean time of the answers does. The
// answers also correct what an upstream reports, so that wrong values are not believed. Differences
// that can be due to the spread of single answers are ignored, so that upstreams that are equally
// fast have exactly the factor 1.

#ifndef BLUEBELLSTEP_UPSTREAM_SPEED_UPSTREAM_SPEED_H_
#define BLUEBELLSTEP_UPSTREAM_SPEED_UPSTREAM_SPEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace bluebellstep {

/** What a gateway tells the others about the speed of an upstream: the means of its own
 * observations, and the latest reported work time. All in whole percent of the usual time. */
struct SpeedReport {
  std::uint32_t start_tag = 0;         // The start of the upstream that the observations are about.
  std::uint32_t answers_tenths = 0;    // Tenths of answers that the means are based on.
  std::uint32_t time_percent = 100;    // Mean time of the answers.
  std::uint32_t stated_percent = 100;  // Mean work time that the upstream reported with them.
  std::uint32_t latest_percent = 0;    // Latest reported work time; 0 for none.
  std::uint32_t latest_age_ms = 0;

  bool operator==(const SpeedReport&) const = default;
};

/** What is usual for the upstreams of a service, as observed by this gateway. All values are
 * natural logarithms of ratios. */
class ServiceSpeed {
 public:
  /** Returns by how much an answer took longer than answers usually do that are expected to take
   * as long. Expectations may be wrong by another factor for short than for long work, and
   * upstreams get different mixes of work. */
  double relative_time(double expected_ms, double actual_ms);
  /** Learns from a work time that was reported with an answer. Only then, so that it changes in
   * step with the usual times of answers. */
  void record_work_time(double log_work_time);
  /** The usual reported work time. */
  double usual_work_time() const { return usual_work_time_; }
  /** Learns how far a single answer is from the mean of its upstream. */
  void record_spread(double deviation);
  /** Standard deviation of single answers. */
  double spread() const { return spread_; }

 private:
  struct Mean {
    double value = 0;
    std::uint32_t count = 0;
  };
  // By expected time; each is for twice the time of the one before.
  static constexpr std::size_t kTimeClasses = 10;

  std::array<Mean, kTimeClasses> usual_time_;
  double usual_work_time_ = 0;
  double spread_ = 0.5;
};

/** The observed speed of one upstream since its last start.
 *
 * All times are read from one monotonic clock.
 */
class UpstreamSpeed {
 public:
  static constexpr double kMinFactor = 0.25;
  static constexpr double kMaxFactor = 8;
  /** Half-life of the weight of answers. */
  static constexpr Duration kHalfLife{3000};
  /** Weight of a reported work time at first; the rest is the mean of the answers. With full
   * weight, gateways that learn of each other's requests 100 ms late crowd at the same upstreams.
   */
  static constexpr double kReportWeight = 0.7;
  /** Half-life of that weight. After 200 ms, less than a fifth is left. */
  static constexpr double kReportHalfLifeMs = 80;
  /** Shortest time between two reports of an upstream. Each gateway decodes the reports of all
   * others, some with a tenth of a processor core, and the means change over seconds. */
  static constexpr Duration kReportInterval{1000};
  /** A reported work time that is older is not passed on. */
  static constexpr Duration kMaxReportAge{250};
  /** Smaller relative differences of the learnt times are ignored (as a logarithm; 35%). */
  static constexpr double kDeadBand = 0.3;
  /** Differences of fewer standard errors are ignored. Answers that waited in the same queue are
   * late together, so with 0.2 and 2, equal upstreams differed often enough to make more answers
   * late. */
  static constexpr double kMinStandardErrors = 3;

  /** Learns from an answer that was expected after `expected_ms` at an upstream of usual speed. */
  void record_answer(double expected_ms, double actual_ms, ServiceSpeed& service, Instant now);
  /** The upstream reported its work time in an answer to this gateway. */
  void record_work_time(double percent, Instant now);
  /** Another gateway reported its observations; they replace its previous ones.
   *
   * @param gateway  Identifies the gateway.
   */
  void apply(std::uint32_t gateway, const SpeedReport& report, Instant now);

  /** Returns what this gateway has observed, if it has observed anything since the last call. */
  std::optional<SpeedReport> take_report(std::uint32_t start_tag, Instant now);

  /** The factor by which work at the upstream is expected to take longer than usual. */
  double factor(const ServiceSpeed& service, Instant now) const {
    if (now >= computed_until_) {
      compute_factor(service, now);
    }
    return factor_;
  }
  /** Number of answers that the factor is based on, weighted by age, of all gateways. */
  double answers(Instant now) const { return total_.at_time(now).weight; }

 private:
  // The weighted sums of observations. All weights decay alike, so sums of sums decay as one.
  struct Sums {
    double weight = 0;
    double time = 0;    // Logarithms of relative times of answers.
    double stated = 0;  // Logarithms of the relative work times reported with them.
    Instant at;

    Sums at_time(Instant now) const;
    void add(const Sums& other, double sign);
  };
  struct PeerSums {
    std::uint32_t gateway = 0;
    Sums sums;
  };
  struct WorkTime {
    double log_value = 0;  // Logarithm of its ratio to 100 percent.
    Instant at;
  };

  void compute_factor(const ServiceSpeed& service, Instant now) const;
  // A weighted mean, or 0 if it can be due to the spread of single answers.
  static double significant_mean(double sum, double weight, const ServiceSpeed& service);

  Sums own_;
  std::vector<PeerSums> peers_;
  Sums total_;                             // Of `own_` and `peers_`.
  std::optional<WorkTime> own_work_time_;  // Latest one in an answer to this gateway.
  std::optional<WorkTime> work_time_;      // Latest one, whichever gateway it was reported to.
  bool has_news_ = false;                  // Observations since the last report.
  Instant reported_at_;
  mutable double factor_ = 1;  // Valid until `computed_until_`.
  mutable Instant computed_until_;
};

/** Returns the factor by which a request chooses. Upstreams that look fast look so to each request
 * to another extent, from not at all to fully: gateways that know of the same fast upstream would
 * otherwise all send their next requests there before they learn of each other's.
 *
 * @param position  In [0, 1), different for each pair of request and upstream.
 */
inline double factor_for_choice(double factor, double position) {
  return factor >= 1 ? factor : 1 - (1 - factor) * position;
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_UPSTREAM_SPEED_UPSTREAM_SPEED_H_
