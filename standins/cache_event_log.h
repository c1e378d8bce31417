// Log of cache events in the model engine stand-in. Events become visible late, and some are lost,
// so that their sequence numbers have gaps.

#ifndef BLUEBELLSTEP_STANDINS_CACHE_EVENT_LOG_H_
#define BLUEBELLSTEP_STANDINS_CACHE_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "cache/block_key.h"

namespace bluebellstep::standins {

/** What happened to blocks in the cache. */
enum class CacheEventType : std::uint8_t { kStored, kEvicted, kCleared };

/** Returns "stored", "evicted" or "cleared". */
std::string_view to_string(CacheEventType type);

/** One change of the cache. */
struct CacheEvent {
  std::uint64_t sequence_number = 0;
  CacheEventType type = CacheEventType::kStored;
  std::vector<BlockKey> keys;
  Instant at;
};

/** Visible events after a sequence number. */
struct CacheEventPage {
  std::uint64_t next = 0;  // Value for the next `after`.
  std::vector<CacheEvent> events;
};

/** The log. Keeps the newest 10,000 events; older ones show as a gap. */
class CacheEventLog {
 public:
  /** Appends an event. With `drop_every` N above 0, each event whose number is a multiple of N is
   * lost. */
  void record(CacheEventType type,
              std::vector<BlockKey> keys,
              Instant now,
              std::uint32_t drop_every);

  /** Returns the events after `after` that are at least `lag` old. `next` is the number of the last
   * event returned, so that a lost event always shows as a gap. */
  CacheEventPage events_after(std::uint64_t after, Instant now, Duration lag) const;

  /** Forgets all events and starts again at number 1. */
  void restart();

  /** Number of the newest event, lost ones included. */
  std::uint64_t last_sequence_number() const { return last_sequence_number_; }

 private:
  std::uint64_t last_sequence_number_ = 0;
  std::deque<CacheEvent> events_;  // By ascending seq and time.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_CACHE_EVENT_LOG_H_
