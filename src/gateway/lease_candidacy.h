// Decides whether a gateway competes for the lease of a rollout.
//
// Load pattern: new weights are set as the target, and hundreds of gateways notice it at the same
// time. Only one of them can hold the lease, but each reads the lease object again and again until
// the rollout ends: 100 gateways made 250 calls a second. Therefore a few gateways compete at once,
// and the others only if the rollout makes no progress.

#ifndef BLUEBELLSTEP_GATEWAY_LEASE_CANDIDACY_H_
#define BLUEBELLSTEP_GATEWAY_LEASE_CANDIDACY_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace bluebellstep {

/** Candidacy of one gateway. All times are read from one monotonic clock. */
class LeaseCandidacy {
 public:
  /** Gateways that compete at once, so that another one takes over if the holder fails. */
  static constexpr std::size_t kCandidates = 3;
  /** The others compete after this time without progress, one rank after the other. */
  static constexpr Duration kStandInDelay{2500};
  static constexpr Duration kDelayPerRank{20};

  /** Sets the rank of this gateway among all gateways, from 0. */
  void set_rank(std::size_t rank) { rank_ = rank; }

  /** Sets the number of engines that are not up to date, and the newest version that one of them
   * should have. The first engines, a new version, and fewer engines than ever since then count as
   * progress. Other changes do not: engines that come, go or restart change the number without any
   * being updated. */
  void set_pending(std::size_t pending, std::uint64_t target_version, Instant now);

  /** Whether this gateway competes for the lease. */
  bool may_compete(Instant now) const { return pending_ > 0 && now >= competes_from(); }

  /** The time from which this gateway competes if there is no progress before. */
  Instant competes_from() const;

 private:
  std::size_t rank_ = 0;
  std::size_t pending_ = 0;
  std::size_t fewest_pending_ = 0;  // Since the target version was set.
  std::uint64_t target_version_ = 0;
  Instant progressed_at_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_LEASE_CANDIDACY_H_
