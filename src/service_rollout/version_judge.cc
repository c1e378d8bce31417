#include "service_rollout/version_judge.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace bluebellstep {
namespace {

// An answer of the new version counts as slower than a limit if it takes longer than the limit; one
// of the old version already if it takes longer than the limit divided by the tolerance. New
// servers are cold at first and up to twice as slow, and their first answers are only a part of
// what is compared. The tolerances are 1.75 and 1.5 buckets.
constexpr double kColdTolerance = 1.83;
constexpr double kWarmTolerance = 1.68;
// Lowest limit, 8 ms. The first connections to new servers alone can take a few milliseconds.
constexpr std::size_t kLowestLimit = 6;

// Answers of the old version in earlier parts of the time that count, at most, as answers in a
// later part. While nearly all requests go to the new version, few answers of the old one remain to
// compare with. More would let a burst of failures of the whole service in that time look like a
// fault of the new version.
constexpr double kEarlierAnswers = 12;

// Share of failures assumed of an old version without any answers on a route; services fail up to
// 15% on their own account. A version that fails nearly always is not accepted then.
constexpr double kUnknownFailures = 0.15;

/** How many of the answers of each version were bad, by one criterion. */
struct BadAnswers {
  double old_total = 0;
  double old_bad = 0;
  double new_total = 0;
  double new_bad = 0;

  BadAnswers& operator+=(const BadAnswers& other) {
    old_total += other.old_total;
    old_bad += other.old_bad;
    new_total += other.new_total;
    new_bad += other.new_bad;
    return *this;
  }
  BadAnswers& operator-=(const BadAnswers& other) {
    old_total -= other.old_total;
    old_bad -= other.old_bad;
    new_total -= other.new_total;
    new_bad -= other.new_bad;
    return *this;
  }
  bool comparable() const { return old_total > 0 && new_total > 0; }
  /** Returns by how much the share of bad answers is higher in the new version. */
  double excess() const { return new_bad / new_total - old_bad / old_total; }
};

// Logarithm of the likelihood of `bad` out of `total` if each is bad with the probability `share`.
double log_likelihood(double bad, double total, double share) {
  const double good = total - bad;
  return (bad > 0 ? bad * std::log(share) : 0) + (good > 0 ? good * std::log1p(-share) : 0);
}

// Logarithm of the likelihood ratio of two shares of bad answers against one common share. Negative
// if the new version is the better one.
double evidence(const BadAnswers& count) {
  if (!count.comparable()) {
    return 0;
  }
  const double old_share = count.old_bad / count.old_total;
  const double new_share = count.new_bad / count.new_total;
  const double common = (count.old_bad + count.new_bad) / (count.old_total + count.new_total);
  const double ratio = log_likelihood(count.old_bad, count.old_total, old_share) +
                       log_likelihood(count.new_bad, count.new_total, new_share) -
                       log_likelihood(count.old_bad, count.old_total, common) -
                       log_likelihood(count.new_bad, count.new_total, common);
  return new_share > old_share ? ratio : -ratio;
}

bool is_worse(const BadAnswers& count) {
  return count.comparable() && count.new_bad >= static_cast<double>(VersionJudge::kMinBadAnswers) &&
         count.excess() >= VersionJudge::kMinExcess;
}

/** The strongest evidence in any number of the latest parts of the time. Parts are compared
 * separately and then added: where the share of the new version differs between them, as at the
 * start of the trial, sums over both would show a difference if the service as a whole changed. */
class EvidenceSum {
 public:
  /** Adds the part before those added so far. */
  void add_earlier(const BadAnswers& count) {
    sum_ += count;
    evidence_ += evidence(count);
    if (is_worse(sum_)) {
      strongest_ = std::max(strongest_, evidence_);
    }
  }
  double strongest() const { return strongest_; }

 private:
  BadAnswers sum_;
  double evidence_ = 0;
  double strongest_ = 0;
};

BadAnswers failures(const RouteComparison& route) {
  const auto failed = [](const VersionOutcomes& outcomes) {
    return static_cast<double>(std::min(outcomes.failures, outcomes.answers));
  };
  return {.old_total = static_cast<double>(route.old_version.answers),
          .old_bad = failed(route.old_version),
          .new_total = static_cast<double>(route.new_version.answers),
          .new_bad = failed(route.new_version)};
}

// Adds answers of the old version in earlier parts of the time. Only for failures: the times of all
// answers change with the load.
BadAnswers with_earlier(BadAnswers count, const BadAnswers& earlier) {
  if (earlier.old_total > 0) {
    const double added = std::min(earlier.old_total, kEarlierAnswers);
    count.old_total += added;
    count.old_bad += added * earlier.old_bad / earlier.old_total;
  } else if (count.old_total == 0) {
    count.old_total = kEarlierAnswers;
    count.old_bad = kEarlierAnswers * kUnknownFailures;
  }
  return count;
}

// Element `i` has the answers that are slower than the lower bound of bucket `i`.
std::array<BadAnswers, LatencyHistogram::kBuckets> slow_answers(const RouteComparison& route,
                                                                double tolerance) {
  constexpr std::size_t kBuckets = LatencyHistogram::kBuckets;
  const LatencyHistogram& old_times = route.old_version.latency;
  const LatencyHistogram& new_times = route.new_version.latency;
  // By how many buckets the limit of the old version is lower: whole ones, and a part of one, whose
  // answers count in proportion.
  const double shift = 2 * std::log2(tolerance);
  const auto whole = static_cast<std::size_t>(shift);
  const double part = shift - static_cast<double>(whole);
  std::array<BadAnswers, kBuckets> result;
  double old_slow = 0;
  for (std::size_t i = kBuckets; i-- > kBuckets - whole;) {
    old_slow += static_cast<double>(old_times.counts[i]);
  }
  double new_slow = 0;
  for (std::size_t i = kBuckets; i-- > whole + 1;) {
    old_slow += static_cast<double>(old_times.counts[i - whole]);
    new_slow += static_cast<double>(new_times.counts[i]);
    const auto below = static_cast<double>(old_times.counts[i - whole - 1]);
    result[i] = {.old_total = static_cast<double>(old_times.total()),
                 .old_bad = old_slow + part * below,
                 .new_total = static_cast<double>(new_times.total()),
                 .new_bad = new_slow};
  }
  return result;
}

}  // namespace

VersionVerdict VersionJudge::judge(std::span<const RouteComparison> routes,
                                   std::span<const RouteComparison> recent,
                                   bool decision_due) {
  assert(routes.size() == recent.size());
  std::vector<RouteComparison> parts[] = {{routes.begin(), routes.end()},
                                          {recent.begin(), recent.end()}};
  for (std::size_t i = 0; i < recent.size(); ++i) {
    parts[0][i].old_version -= recent[i].old_version;
    parts[0][i].new_version -= recent[i].new_version;
  }
  return judge(parts, decision_due);
}

VersionVerdict VersionJudge::judge(std::span<const std::vector<RouteComparison>> parts,
                                   bool decision_due,
                                   std::size_t first_warm_part) {
  assert(!parts.empty());
  VersionVerdict verdict;
  RouteComparison worst;
  VersionOutcomes all_new;
  for (std::size_t route = 0; route < parts[0].size(); ++route) {
    RouteComparison total{.route = parts[0][route].route};
    for (const auto& part : parts) {
      assert(part.at(route).route == total.route);
      total.old_version += part[route].old_version;
      total.new_version += part[route].new_version;
    }
    BadAnswers failures_before = failures(total);
    EvidenceSum by_failures;
    std::array<EvidenceSum, LatencyHistogram::kBuckets> by_time;
    for (std::size_t i = parts.size(); i-- > 0;) {
      const RouteComparison& part = parts[i][route];
      const BadAnswers failed = failures(part);
      failures_before -= failed;
      by_failures.add_earlier(with_earlier(failed, failures_before));
      const auto slow = slow_answers(part, i >= first_warm_part ? kWarmTolerance : kColdTolerance);
      for (std::size_t limit = kLowestLimit; limit < slow.size(); ++limit) {
        by_time[limit].add_earlier(slow[limit]);
      }
    }
    all_new += total.new_version;
    const auto consider = [&](const EvidenceSum& sum, std::string_view reason) {
      if (sum.strongest() > verdict.evidence) {
        verdict.evidence = sum.strongest();
        verdict.reason = reason;
        worst = total;
      }
    };
    consider(by_failures, "failures");
    for (const EvidenceSum& sum : by_time) {
      consider(sum, "slowness");
    }
  }
  if (verdict.evidence >= (decision_due ? kDecisionEvidence : kRollBackEvidence)) {
    verdict.judgement = Judgement::kRollBack;
    verdict.route = worst.route;
    verdict.answers = worst.new_version.answers;
    verdict.failures = worst.new_version.failures;
    verdict.old_failure_share =
        static_cast<double>(worst.old_version.failures) /
        static_cast<double>(std::max<std::uint64_t>(worst.old_version.answers, 1));
    verdict.old_ms = worst.old_version.latency.quantile_ms(0.5);
    verdict.new_ms = worst.new_version.latency.quantile_ms(0.5);
    return verdict;
  }
  verdict.answers = all_new.answers;
  verdict.failures = all_new.failures;
  const bool few = all_new.answers < kMinAnswers;
  verdict.reason = few ? "few_answers" : "as_good";
  verdict.judgement = decision_due && !few ? Judgement::kAccept : Judgement::kContinue;
  return verdict;
}

}  // namespace bluebellstep
