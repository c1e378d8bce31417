// Times from which gateways compete for a lease.

#include "gateway/lease_candidacy.h"

namespace bluebellstep {

void LeaseCandidacy::set_pending(std::size_t pending, Instant now) {
  if (pending != pending_) {
    pending_ = pending;
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
