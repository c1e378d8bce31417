// Follows the cache events of the engine, which come late and with gaps.

#ifndef BLUEBELLSTEP_CACHE_EVENT_FOLLOWER_H_
#define BLUEBELLSTEP_CACHE_EVENT_FOLLOWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cache/block_index.h"
#include "cache/block_key.h"

namespace bluebellstep {

/** One cache event. Sequence numbers rise by one with each event of an incarnation. */
struct CacheEvent {
  enum class Type : std::uint8_t { kStored, kEvicted, kCleared };

  std::uint64_t seq = 0;
  Type type = Type::kStored;
  std::vector<BlockKey> keys;
};

/** Answer to a poll: the events after the sequence number asked for. */
struct CacheEventBatch {
  std::string start_id;
  /** Sequence number up to which this answer goes, and to ask for events after next. */
  std::uint64_t next = 0;
  std::vector<CacheEvent> events;
};

/** Answer to a list of all blocks. */
struct CacheBlockList {
  std::string start_id;
  /** Sequence number of the last event that the list includes. */
  std::uint64_t next = 0;
  std::vector<BlockKey> keys;
};

/** Keeps the engine's part of a `BlockIndex`, which must outlive the follower, up to date. */
class EventFollower {
 public:
  explicit EventFollower(BlockIndex& index) : index_(index) {}

  /** Takes in the answer to a poll for events after `position()`. Events seen before are ignored. A
   * gap or another incarnation makes the index suspect; events are then of no use until the next
   * list. */
  void apply(const CacheEventBatch& batch);

  /** Takes in a full list and ends suspicion. A list older than what was followed is ignored. */
  void apply(const CacheBlockList& list);

  /** Marks the index as suspect, for example after a cold sign, and forgets the engine's blocks. */
  void engine_restarted();

  /** True if a list is needed. Until then what the index says about the engine may be wrong, and a
   * block not reused is no sign of a cold engine. */
  bool needs_full_list() const { return needs_full_list_; }

  /** Returns the sequence number to poll after. */
  std::uint64_t position() const { return position_; }

 private:
  void apply_event(const CacheEvent& event);

  BlockIndex& index_;
  // While not suspect, the index holds what the engine held after event position_ of start_id_.
  std::string start_id_;
  std::uint64_t position_ = 0;
  bool needs_full_list_ = true;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_EVENT_FOLLOWER_H_
