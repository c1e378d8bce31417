// What a sidecar knows about where blocks are: in its engine, and in the tiers of the stores.

#ifndef BLUEBELLSTEP_CACHE_BLOCK_INDEX_H_
#define BLUEBELLSTEP_CACHE_BLOCK_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "cache/block_frame.h"
#include "cache/block_key.h"

namespace bluebellstep {

/** Tier of the cache stores. */
enum class Tier : std::uint8_t { kMemory = 0, kDisk = 1 };
inline constexpr std::size_t kTierCount = 2;

/** Where a block is, as far as known. */
struct BlockLocations {
  bool in_engine = false;
  bool in_memory = false;
  bool in_disk = false;
  /** Size in the stores; 0 if never stored. */
  std::uint32_t bytes = 0;
  /** Latest generation put into the stores. */
  BlockGeneration generation;
};

/**
 * Index of bounded size; the entries used least recently are dropped. Its contents are hints: a
 * block that it names may be gone, which the reader finds out from the engine or from the frame.
 * Keys cover the client account, so a lookup never leads to another account's block.
 */
class BlockIndex {
 public:
  /** `capacity` is the greatest number of blocks known at once, at least 1. */
  explicit BlockIndex(std::size_t capacity);

  /** Notes that the engine holds a block. */
  void add_to_engine(BlockKey key);

  /** Notes that a block was published in a tier. */
  void add_to_store(BlockKey key, Tier tier, BlockGeneration generation, std::uint32_t bytes);

  /** Notes that the engine evicted a block. */
  void remove_from_engine(BlockKey key);

  /** Notes that a block is not, or no longer, in a tier. */
  void remove_from_store(BlockKey key, Tier tier);

  /** Forgets what the engine holds, in constant time. */
  void clear_engine();

  /** Returns what is known about a block, without counting as a use. */
  std::optional<BlockLocations> find(BlockKey key) const;

  /** Counts a use of a block, so that it is dropped later. */
  void touch(BlockKey key);

  /** Returns how many of the first `keys` the engine holds without a break. */
  std::size_t engine_prefix_length(std::span<const BlockKey> keys) const;

  std::size_t size() const { return size_; }

  /** Returns the bytes of memory that the index occupies. */
  std::size_t memory_bytes() const;

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  static constexpr std::uint32_t kEpochBits = 24;

  // 40 bytes: the index may hold a million of them.
  struct Entry {
    BlockKey key;
    BlockGeneration generation;
    std::uint32_t bytes = 0;
    std::uint32_t newer = kNone;
    std::uint32_t older = kNone;
    // The engine holds the block if this equals epoch_. 0 is never an epoch.
    std::uint32_t engine_epoch : kEpochBits = 0;
    std::uint32_t tiers : 2 = 0;
  };

  std::uint32_t find_index(BlockKey key) const;
  std::size_t bucket_of(BlockKey key) const { return key.low & (buckets_.size() - 1); }
  Entry& find_or_insert(BlockKey key);
  void grow_buckets();
  void insert_into_buckets(std::uint32_t index);
  void erase(std::uint32_t index);
  void erase_if_unreferenced(std::uint32_t index);
  void unlink(std::uint32_t index);
  void link_newest(std::uint32_t index);

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::uint32_t epoch_ = 1;
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_;
  // Open addressing with linear probing, a power of two in size, at most half full. Holds the
  // index of every used entry.
  std::vector<std::uint32_t> buckets_;
  std::uint32_t newest_ = kNone;
  std::uint32_t oldest_ = kNone;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_BLOCK_INDEX_H_
