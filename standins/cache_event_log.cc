// Recording and listing of cache events.

#include "standins/cache_event_log.h"

#include <algorithm>
#include <utility>

namespace bluebellstep::standins {
namespace {

constexpr std::size_t kMaxEvents = 10'000;

}  // namespace

std::string_view to_string(CacheEventType type) {
  switch (type) {
    case CacheEventType::kStored:
      return "stored";
    case CacheEventType::kEvicted:
      return "evicted";
    case CacheEventType::kCleared:
      return "cleared";
  }
  return "";
}

void CacheEventLog::record(CacheEventType type,
                           std::vector<BlockKey> keys,
                           Instant now,
                           std::uint32_t drop_every) {
  ++last_sequence_number_;
  if (drop_every > 0 && last_sequence_number_ % drop_every == 0) {
    return;
  }
  events_.push_back({last_sequence_number_, type, std::move(keys), now});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

CacheEventPage CacheEventLog::events_after(std::uint64_t after, Instant now, Duration lag) const {
  CacheEventPage page{after, {}};
  auto event = std::upper_bound(events_.begin(), events_.end(), after,
                                [](std::uint64_t sequence_number, const CacheEvent& candidate) {
                                  return sequence_number < candidate.sequence_number;
                                });
  for (; event != events_.end() && event->at + lag <= now; ++event) {
    page.events.push_back(*event);
    page.next = event->sequence_number;
  }
  return page;
}

void CacheEventLog::restart() {
  last_sequence_number_ = 0;
  events_.clear();
}

}  // namespace bluebellstep::standins
