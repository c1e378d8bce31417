// Sequence checks of cache events.

#include "cache/cache_event_follower.h"

namespace bluebellstep {

void CacheEventFollower::engine_restarted() {
  needs_full_list_ = true;
  index_.clear_engine();
}

void CacheEventFollower::apply(const CacheEventBatch& batch) {
  if (needs_full_list_) {
    return;
  }
  if (batch.start_id != start_id_) {
    engine_restarted();
    return;
  }
  for (const CacheEvent& event : batch.events) {
    if (event.seq <= position_) {
      continue;
    }
    if (event.seq != position_ + 1) {
      needs_full_list_ = true;
      return;
    }
    apply_event(event);
    position_ = event.seq;
  }
  // If the last events are missing, only `next` shows it.
  needs_full_list_ = batch.next > position_;
}

void CacheEventFollower::apply_event(const CacheEvent& event) {
  if (event.type == CacheEvent::Type::kCleared) {
    index_.clear_engine();
    return;
  }
  for (const BlockKey key : event.keys) {
    if (event.type == CacheEvent::Type::kStored) {
      index_.add_to_engine(key);
    } else {
      index_.remove_from_engine(key);
    }
  }
}

void CacheEventFollower::apply(const CacheBlockList& list) {
  if (list.start_id == start_id_ && list.next < position_) {
    return;
  }
  index_.clear_engine();
  for (const BlockKey key : list.keys) {
    index_.add_to_engine(key);
  }
  start_id_ = list.start_id;
  position_ = list.next;
  needs_full_list_ = false;
}

}  // namespace bluebellstep
