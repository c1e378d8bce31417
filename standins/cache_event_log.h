// Log of cache events in the model engine stand-in. It can delay events until they reach a given
// age, and drop some of them, which leaves gaps in the sequence numbers.

#ifndef BLUEBELLSTEP_STANDINS_CACHE_EVENT_LOG_H_
#define BLUEBELLSTEP_STANDINS_CACHE_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "cache/block_key.h"

namespace bluebellstep::standins {

/** Kind of a change to the cache. */
enum class CacheEventType : std::uint8_t { kStored, kEvicted, kCleared };

/** Returns "stored", "evicted" or "cleared". */
std::string_view to_string(CacheEventType type);

/** One change to the cache. */
struct CacheEvent {
  std::uint64_t sequence_number = 0;
  CacheEventType type = CacheEventType::kStored;
  std::vector<BlockKey> keys;  // Blocks that were stored or evicted; empty for `kCleared`.
  Instant at;
};

/** Result of `CacheEventLog::events_after`. */
struct CacheEventPage {
  std::uint64_t next = 0;  // Pass this as `after` in the next call.
  std::vector<CacheEvent> events;
};

/** Log of the newest 10,000 cache events. A reader sees removed older events as a gap in the
 * sequence numbers. */
class CacheEventLog {
 public:
  /** Appends an event at time `now`. If `drop_every` is above 0, each event whose sequence number
   * is a multiple of it is dropped. */
  void record(CacheEventType type,
              std::vector<BlockKey> keys,
              Instant now,
              std::uint32_t drop_every);

  /** Returns the events with sequence numbers above `after` that are at least `lag` old. `next` is
   * the sequence number of the last event returned, or `after` if there is none, so that a dropped
   * event always shows as a gap. */
  CacheEventPage events_after(std::uint64_t after, Instant now, Duration lag) const;

  /** Removes all events. The next event gets sequence number 1. */
  void restart();

  /** Sequence number of the newest event, dropped events included. */
  std::uint64_t last_sequence_number() const { return last_sequence_number_; }

 private:
  std::uint64_t last_sequence_number_ = 0;
  std::deque<CacheEvent> events_;  // In ascending order of sequence number and time.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_CACHE_EVENT_LOG_H_
