// Applies the cache events of an engine, which may be late or incomplete, to the sidecar's block
// index.

#ifndef BLUEBELLSTEP_CACHE_CACHE_EVENT_FOLLOWER_H_
#define BLUEBELLSTEP_CACHE_CACHE_EVENT_FOLLOWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cache/block_index.h"
#include "cache/block_key.h"

namespace bluebellstep {

/** One cache event of an engine. Sequence numbers increase by one with each event of an
 * incarnation. */
struct CacheEvent {
  enum class Type : std::uint8_t { kStored, kEvicted, kCleared };

  std::uint64_t seq = 0;
  Type type = Type::kStored;
  std::vector<BlockKey> keys;
};

/** Answer to a poll: the events after the requested sequence number. */
struct CacheEventBatch {
  std::string start_id;
  /** Sequence number of the last event covered by this answer; the next poll requests the events
   * after it. */
  std::uint64_t next = 0;
  std::vector<CacheEvent> events;
};

/** Full list of the blocks in the engine's cache. */
struct CacheBlockList {
  std::string start_id;
  /** Sequence number of the last event that the list includes. */
  std::uint64_t next = 0;
  std::vector<BlockKey> keys;
};

/** Keeps the engine locations in a `BlockIndex` up to date. The index must outlive the follower. */
class CacheEventFollower {
 public:
  explicit CacheEventFollower(BlockIndex& index) : index_(index) {}

  /** Applies the answer to a poll for events after `position()`. Events that were applied before
   * are ignored. After a gap or a change of the incarnation, a full list is needed and all events
   * are ignored until it is applied. */
  void apply(const CacheEventBatch& batch);

  /** Replaces the engine locations in the index by a full list. A list older than the events
   * already applied is ignored. */
  void apply(const CacheBlockList& list);

  /** Removes all engine locations from the index and requires a full list. Call it when the engine
   * may have lost its cache, for example after a cold signal. */
  void engine_restarted();

  /** Whether a full list is needed. Until it is applied, the engine locations in the index may be
   * wrong, and a block that the engine does not reuse is no signal of a cold engine. */
  bool needs_full_list() const { return needs_full_list_; }

  /** Returns the sequence number after which to poll for events. */
  std::uint64_t position() const { return position_; }

 private:
  void apply_event(const CacheEvent& event);

  BlockIndex& index_;
  // While no full list is needed, the engine locations in the index equal the cache of incarnation
  // start_id_ after event position_.
  std::string start_id_;
  std::uint64_t position_ = 0;
  bool needs_full_list_ = true;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_CACHE_EVENT_FOLLOWER_H_
