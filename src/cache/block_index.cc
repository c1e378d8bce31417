// Hash table and use order of known blocks.

#include "cache/block_index.h"

#include <algorithm>
#include <cassert>

namespace bluebellstep {
namespace {

constexpr std::size_t kFirstBuckets = 16;

std::uint32_t tier_bit(Tier tier) {
  return 1U << static_cast<unsigned>(tier);
}

}  // namespace

BlockIndex::BlockIndex(std::size_t capacity) : capacity_(capacity), buckets_(kFirstBuckets, kNone) {
  assert(capacity > 0 && capacity < kNone);
}

std::uint32_t BlockIndex::find_index(BlockKey key) const {
  for (std::size_t at = bucket_of(key);; at = (at + 1) & (buckets_.size() - 1)) {
    const std::uint32_t index = buckets_[at];
    if (index == kNone || entries_[index].key == key) {
      return index;
    }
  }
}

void BlockIndex::insert_into_buckets(std::uint32_t index) {
  std::size_t at = bucket_of(entries_[index].key);
  while (buckets_[at] != kNone) {
    at = (at + 1) & (buckets_.size() - 1);
  }
  buckets_[at] = index;
}

void BlockIndex::grow_buckets() {
  buckets_.assign(buckets_.size() * 2, kNone);
  for (std::uint32_t index = newest_; index != kNone; index = entries_[index].older) {
    insert_into_buckets(index);
  }
}

void BlockIndex::unlink(std::uint32_t index) {
  const Entry& entry = entries_[index];
  (entry.newer == kNone ? newest_ : entries_[entry.newer].older) = entry.older;
  (entry.older == kNone ? oldest_ : entries_[entry.older].newer) = entry.newer;
}

void BlockIndex::link_newest(std::uint32_t index) {
  entries_[index].newer = kNone;
  entries_[index].older = newest_;
  (newest_ == kNone ? oldest_ : entries_[newest_].newer) = index;
  newest_ = index;
}

BlockIndex::Entry& BlockIndex::find_or_insert(BlockKey key) {
  if (const std::uint32_t index = find_index(key); index != kNone) {
    unlink(index);
    link_newest(index);
    return entries_[index];
  }
  if (size_ == capacity_) {
    erase(oldest_);
  }
  if (2 * (size_ + 1) > buckets_.size()) {
    grow_buckets();
  }
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(entries_.size()));
    entries_.emplace_back();
  }
  const std::uint32_t index = free_.back();
  free_.pop_back();
  entries_[index] = Entry{.key = key, .generation = {}};
  link_newest(index);
  insert_into_buckets(index);
  ++size_;
  return entries_[index];
}

void BlockIndex::erase(std::uint32_t index) {
  const std::size_t mask = buckets_.size() - 1;
  std::size_t hole = bucket_of(entries_[index].key);
  while (buckets_[hole] != index) {
    hole = (hole + 1) & mask;
  }
  // Moves later entries of the run back, so that no probe meets a hole before its entry.
  for (std::size_t at = (hole + 1) & mask; buckets_[at] != kNone; at = (at + 1) & mask) {
    const std::size_t home = bucket_of(entries_[buckets_[at]].key);
    if (((at - home) & mask) >= ((at - hole) & mask)) {
      buckets_[hole] = buckets_[at];
      hole = at;
    }
  }
  buckets_[hole] = kNone;
  unlink(index);
  free_.push_back(index);
  --size_;
}

void BlockIndex::erase_if_unreferenced(std::uint32_t index) {
  if (entries_[index].engine_epoch != epoch_ && entries_[index].tiers == 0) {
    erase(index);
  }
}

void BlockIndex::add_to_engine(BlockKey key) {
  find_or_insert(key).engine_epoch = epoch_;
}

void BlockIndex::add_to_store(BlockKey key,
                              Tier tier,
                              BlockGeneration generation,
                              std::uint32_t bytes) {
  Entry& entry = find_or_insert(key);
  entry.tiers |= tier_bit(tier);
  entry.generation = std::max(entry.generation, generation);
  entry.bytes = bytes;
}

void BlockIndex::remove_from_engine(BlockKey key) {
  if (const std::uint32_t index = find_index(key); index != kNone) {
    entries_[index].engine_epoch = 0;
    erase_if_unreferenced(index);
  }
}

void BlockIndex::remove_from_store(BlockKey key, Tier tier) {
  if (const std::uint32_t index = find_index(key); index != kNone) {
    entries_[index].tiers &= ~tier_bit(tier);
    erase_if_unreferenced(index);
  }
}

void BlockIndex::clear_engine() {
  if (++epoch_ >> kEpochBits == 0) {
    return;
  }
  epoch_ = 1;
  for (Entry& entry : entries_) {
    entry.engine_epoch = 0;
  }
}

std::optional<BlockLocations> BlockIndex::find(BlockKey key) const {
  const std::uint32_t index = find_index(key);
  if (index == kNone) {
    return std::nullopt;
  }
  const Entry& entry = entries_[index];
  const BlockLocations places{.in_engine = entry.engine_epoch == epoch_,
                              .in_memory = (entry.tiers & tier_bit(Tier::kMemory)) != 0,
                              .in_disk = (entry.tiers & tier_bit(Tier::kDisk)) != 0,
                              .bytes = entry.bytes,
                              .generation = entry.generation};
  // An entry known only from before the engine was cleared tells nothing.
  return places.in_engine || entry.tiers != 0 ? std::optional(places) : std::nullopt;
}

void BlockIndex::touch(BlockKey key) {
  if (const std::uint32_t index = find_index(key); index != kNone) {
    unlink(index);
    link_newest(index);
  }
}

std::size_t BlockIndex::engine_prefix_length(std::span<const BlockKey> keys) const {
  std::size_t count = 0;
  for (const BlockKey key : keys) {
    const std::uint32_t index = find_index(key);
    if (index == kNone || entries_[index].engine_epoch != epoch_) {
      break;
    }
    ++count;
  }
  return count;
}

std::size_t BlockIndex::memory_bytes() const {
  return sizeof(*this) + entries_.capacity() * sizeof(Entry) +
         (buckets_.capacity() + free_.capacity()) * sizeof(std::uint32_t);
}

}  // namespace bluebellstep
