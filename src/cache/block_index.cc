// Hash table and least-recently-used list of known blocks.

#include "cache/block_index.h"

#include <algorithm>
#include <cassert>

namespace bluebellstep {
namespace {

constexpr std::size_t kInitialBuckets = 16;

std::uint32_t tier_bit(Tier tier) {
  return 1U << static_cast<unsigned>(tier);
}

}  // namespace

BlockIndex::BlockIndex(std::size_t capacity)
    : capacity_(capacity), buckets_(kInitialBuckets, kNone) {
  assert(capacity > 0 && capacity < kNone);
}

std::uint32_t BlockIndex::find_index(BlockKey key) const {
  for (std::size_t bucket = bucket_of(key);; bucket = (bucket + 1) & (buckets_.size() - 1)) {
    const std::uint32_t index = buckets_[bucket];
    if (index == kNone || entries_[index].key == key) {
      return index;
    }
  }
}

void BlockIndex::insert_into_buckets(std::uint32_t index) {
  std::size_t bucket = bucket_of(entries_[index].key);
  while (buckets_[bucket] != kNone) {
    bucket = (bucket + 1) & (buckets_.size() - 1);
  }
  buckets_[bucket] = index;
}

void BlockIndex::grow_buckets() {
  buckets_.assign(buckets_.size() * 2, kNone);
  for (std::uint32_t index = most_recent_; index != kNone; index = entries_[index].less_recent) {
    insert_into_buckets(index);
  }
}

void BlockIndex::unlink(std::uint32_t index) {
  const Entry& entry = entries_[index];
  (entry.more_recent == kNone ? most_recent_ : entries_[entry.more_recent].less_recent) =
      entry.less_recent;
  (entry.less_recent == kNone ? least_recent_ : entries_[entry.less_recent].more_recent) =
      entry.more_recent;
}

void BlockIndex::link_most_recent(std::uint32_t index) {
  entries_[index].more_recent = kNone;
  entries_[index].less_recent = most_recent_;
  (most_recent_ == kNone ? least_recent_ : entries_[most_recent_].more_recent) = index;
  most_recent_ = index;
}

BlockIndex::Entry& BlockIndex::find_or_insert(BlockKey key) {
  if (const std::uint32_t index = find_index(key); index != kNone) {
    unlink(index);
    link_most_recent(index);
    return entries_[index];
  }
  if (size_ == capacity_) {
    erase(least_recent_);
  }
  if (2 * (size_ + 1) > buckets_.size()) {
    grow_buckets();
  }
  if (free_entries_.empty()) {
    free_entries_.push_back(static_cast<std::uint32_t>(entries_.size()));
    entries_.emplace_back();
  }
  const std::uint32_t index = free_entries_.back();
  free_entries_.pop_back();
  entries_[index] = Entry{.key = key, .generation = {}};
  link_most_recent(index);
  insert_into_buckets(index);
  ++size_;
  return entries_[index];
}

void BlockIndex::erase(std::uint32_t index) {
  const std::size_t mask = buckets_.size() - 1;
  std::size_t empty_bucket = bucket_of(entries_[index].key);
  while (buckets_[empty_bucket] != index) {
    empty_bucket = (empty_bucket + 1) & mask;
  }
  // Moves later entries of the probe sequence back, so that no lookup ends at the empty bucket
  // before it reaches its entry.
  for (std::size_t bucket = (empty_bucket + 1) & mask; buckets_[bucket] != kNone;
       bucket = (bucket + 1) & mask) {
    const std::size_t preferred_bucket = bucket_of(entries_[buckets_[bucket]].key);
    if (((bucket - preferred_bucket) & mask) >= ((bucket - empty_bucket) & mask)) {
      buckets_[empty_bucket] = buckets_[bucket];
      empty_bucket = bucket;
    }
  }
  buckets_[empty_bucket] = kNone;
  unlink(index);
  free_entries_.push_back(index);
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
  const BlockLocations locations{.in_engine = entry.engine_epoch == epoch_,
                                 .in_memory = (entry.tiers & tier_bit(Tier::kMemory)) != 0,
                                 .in_disk = (entry.tiers & tier_bit(Tier::kDisk)) != 0,
                                 .bytes = entry.bytes,
                                 .generation = entry.generation};
  // An entry without a location remains if the block was only in the engine before `clear_engine`.
  return locations.in_engine || entry.tiers != 0 ? std::optional(locations) : std::nullopt;
}

void BlockIndex::touch(BlockKey key) {
  if (const std::uint32_t index = find_index(key); index != kNone) {
    unlink(index);
    link_most_recent(index);
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
         (buckets_.capacity() + free_entries_.capacity()) * sizeof(std::uint32_t);
}

}  // namespace bluebellstep
