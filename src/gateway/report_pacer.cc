// Times of the load reports between gateways.

#include "gateway/report_pacer.h"

#include <algorithm>

namespace bluebellstep {

void ReportPacer::record_sent(std::uint32_t uncached_tokens, Instant now) {
  if (uncached_tokens >= kLargePromptTokens) {
    record_urgent_change(now);
  }
}

void ReportPacer::record_urgent_change(Instant now) {
  due_ = std::min(due_, std::max(now, reported_at_ + kMinInterval));
}

void ReportPacer::record_reported(Instant now) {
  reported_at_ = now;
  due_ = now + (peer_count_ <= kSmallFleetPeers ? kSmallFleetInterval : kLargeFleetInterval);
}

}  // namespace bluebellstep
