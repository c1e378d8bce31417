// Index of the known locations of blocks: the cache of the sidecar's engine and the tiers of the
// cache stores.

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

/** Storage tier of the cache stores. */
enum class Tier : std::uint8_t { kMemory = 0, kDisk = 1 };
inline constexpr std::size_t kTierCount = 2;

/** Known locations of a block. */
struct BlockLocations {
  bool in_engine = false;
  bool in_memory = false;
  bool in_disk = false;
  /** Size in the stores in bytes; 0 if the block was never stored. */
  std::uint32_t bytes = 0;
  /** Latest generation published in the stores. */
  BlockGeneration generation;
};

/**
 * Index of bounded size with least-recently-used replacement. Its contents are hints: a block may
 * have been removed from a location meanwhile, which a reader detects from the engine's answer or
 * from the block frame. Keys include the client account, so that a lookup never returns a block of
 * another account.
 */
class BlockIndex {
 public:
  /** `capacity` is the maximum number of blocks in the index, at least 1. */
  explicit BlockIndex(std::size_t capacity);

  /** Records that a block is in the cache of the engine. */
  void add_to_engine(BlockKey key);

  /** Records that a block of `bytes` bytes was published in a tier. */
  void add_to_store(BlockKey key, Tier tier, BlockGeneration generation, std::uint32_t bytes);

  /** Records that the engine evicted a block. */
  void remove_from_engine(BlockKey key);

  /** Records that a block is not in a tier. */
  void remove_from_store(BlockKey key, Tier tier);

  /** Removes the engine from the locations of all blocks, in amortized constant time. */
  void clear_engine();

  /** Returns the known locations of a block, if any. Does not count as a use of the block. */
  std::optional<BlockLocations> find(BlockKey key) const;

  /** Marks a block as the most recently used one. */
  void touch(BlockKey key);

  /** Returns the length of the longest prefix of `keys` that is in the cache of the engine. */
  std::size_t engine_prefix_length(std::span<const BlockKey> keys) const;

  std::size_t size() const { return size_; }

  /** Returns the memory used by the index in bytes. */
  std::size_t memory_bytes() const;

 private:
  static constexpr std::uint32_t kNone = 0xffffffff;
  static constexpr std::uint32_t kEpochBits = 24;

  // Kept to 40 bytes, because the index may contain a million entries.
  struct Entry {
    BlockKey key;
    BlockGeneration generation;
    std::uint32_t bytes = 0;
    std::uint32_t more_recent = kNone;
    std::uint32_t less_recent = kNone;
    // The block is in the engine if this equals epoch_, which is never 0.
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
  void link_most_recent(std::uint32_t index);

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::uint32_t epoch_ = 1;
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_entries_;
  // Hash table with open addressing and linear probing; its size is a power of two, and it is at
  // most half full. Contains the index of every used entry.
  std::vector<std::uint32_t> buckets_;
  std::uint32_t most_recent_ = kNone;
  std::uint32_t least_recent_ = kNone;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_BLOCK_INDEX_H_
