// Times from which gateways compete for a lease.

#include "gateway/lease_candidacy.h"

namespace bluebellstep {

void LeaseCandidacy::set_pending(std::size_t pending, std::uint64_t target_version, Instant now) {
  const bool is_new_rollout = pending_ == 0 || target_version > target_version_;
  pending_ = pending;
  if (is_new_rollout || pending < fewest_pending_) {
    fewest_pending_ = pending;
    target_version_ = target_version;
    progressed_at_ = now;
  }
}

Instant LeaseCandidacy::competes_from() const {
  if (rank_ < kCandidates) {
    return progressed_at_;
  }
  return progressed_at_ + kStandInDelay +
         kDelayPerRank * static_cast<std::int64_t>(rank_ - kCandidates);
}

}  // namespace bluebellstep
