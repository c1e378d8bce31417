// Judges whether the new version of a service is worse than the old one.
//
// Load pattern: an operator starts servers of a new version beside the old ones and sends a small
// share of the requests there. A bad version fails part of its requests or takes several times as
// long, at once or later, under load only, or on one route only. Services also fail on their own
// account, and everything slows down together under load. Therefore the versions are compared on
// the same route and over the same time.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_JUDGE_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_JUDGE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "service_rollout/route_comparison.h"

namespace bluebellstep {

enum class Judgement {
  kContinue,  // Too little evidence, or no decision is due yet.
  kAccept,    // Nothing speaks against the new version, and the decision is due.
  kRollBack,
};

/** A judgement and what it is based on. */
struct VersionVerdict {
  Judgement judgement = Judgement::kContinue;
  std::string route;          // That decided a roll-back; empty otherwise.
  std::string_view reason;    // For the log: "failures", "slowness", "few_answers", "as_good".
  double evidence = 0;        // The strongest against the new version, in nats; see `judge`.
  std::uint64_t answers = 0;  // Of the new version, on `route` or on all routes.
  std::uint64_t failures = 0;
  double old_failure_share = 0;
  double old_ms = 0;  // Median time to the first byte, on `route`.
  double new_ms = 0;
};

/**
 * Compares the versions. Has no state.
 *
 * Invariants:
 * - Only chance makes equally good versions differ: requests are assigned to a version regardless
 * of their outcome, so a burst of failures or slowness on a route reaches both versions in
 * proportion as long as the share of the new version is constant within a part of the time. Parts
 * are compared separately for this reason.
 * - Slowness is not judged on a route in a part of the time without answers of the old version, and
 *   failures only by a few answers before it. The trial should leave 30% of the requests to the old
 *   version.
 *
 * The method and the error counts measured are in docs/design/version-judge.md.
 */
class VersionJudge {
 public:
  // In nats. Chance alone exceeds it about once in 300,000 comparisons, enough for comparisons of
  // several routes and times four times a second.
  static constexpr double kRollBackEvidence = 11;
  // Suffices at the decision: it is one comparison, and a bad version accepted costs callers while
  // a roll-back costs an operator a repetition.
  static constexpr double kDecisionEvidence = 6;
  // A smaller difference in the share of failures or of slow answers is no reason for a roll-back.
  static constexpr double kMinExcess = 0.06;
  static constexpr std::uint64_t kMinBadAnswers = 4;
  // Without so many answers of the new version there is no acceptance. Fifty requests of a service
  // may always go to the new version, so all but idle services reach it.
  static constexpr std::uint64_t kMinAnswers = 20;

  /**
   * Judges by the outcomes of consecutive parts of the time. Call it about four times a second,
   * with outcomes summed over all gateways.
   *
   * @param parts        Outcomes in each part, the oldest part first, each with the same routes in
   * the same order. The share of the new version should be constant within a part, so the trial is
   * one part, and so are the times before and after it. The last 3 s before the trial are a part of
   * their own, so that a fault that begins late is not hidden by the answers before it.
   * @param decision_due Whether `kAccept` may be returned. Weaker evidence then suffices for
   *                     `kRollBack`. Pass false again after the acceptance.
   * @param first_warm_part Index of the first part that begins after the cold time of the new
   *                     servers. Less slowness is tolerated from it on. Without it, all parts are
   *                     treated as cold.
   */
  static VersionVerdict judge(
      std::span<const std::vector<RouteComparison>> parts,
      bool decision_due,
      std::size_t first_warm_part = std::numeric_limits<std::size_t>::max());

  /**
   * Judges by two parts, for a time in which the share of the new version did not change.
   *
   * @param routes       Outcomes since the roll-out began.
   * @param recent       Outcomes of the last 3 s only. Same routes in the same order as `routes`.
   * @param decision_due As above.
   */
  static VersionVerdict judge(std::span<const RouteComparison> routes,
                              std::span<const RouteComparison> recent,
                              bool decision_due);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_JUDGE_H_
