// Prefix cache of the model engine stand-in: a limited number of blocks by key. Evicts the least
// recently used block that no run holds.

#ifndef BLUEBELLSTEP_STANDINS_PREFIX_CACHE_H_
#define BLUEBELLSTEP_STANDINS_PREFIX_CACHE_H_

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cache/block_key.h"

namespace bluebellstep::standins {

/** One block in accelerator memory. */
struct CachedBlock {
  BlockKey key;
  std::string model;                            // Empty for an imported block until a run reads it.
  std::string weight_version;                   // Also empty until then.
  std::optional<std::string> mismatched_bytes;  // Imported bytes that do not belong to the key.
  bool retired = false;  // Computed with replaced weights; evicted when its last run ends.
};

/** Reference with which a run holds a block. A held block is not evicted. */
using BlockRef = std::shared_ptr<CachedBlock>;

/** The cache. Blocks removed by `clear` or `replace` stay valid for the runs that hold them. */
class PrefixCache {
 public:
  /** Creates a cache for at most `block_limit` blocks. */
  explicit PrefixCache(std::size_t block_limit) : block_limit_(block_limit) {}

  /** Returns the blocks of the longest cached prefix of `keys` and marks them as used. */
  std::vector<BlockRef> find_prefix(std::span<const BlockKey> keys);

  /** Returns the block with `key` and marks it as used; null if there is none. */
  BlockRef find(BlockKey key);

  /** Adds a block, and evicts another one if the cache is full. Returns the added block, or the
   * block with the same key if there is one already; null if the cache is full and runs hold all of
   * its blocks. */
  BlockRef insert(CachedBlock block);

  /** Adds a block, or replaces the block with the same key. Returns false if the cache is full and
   * runs hold all of its blocks. */
  bool replace(CachedBlock block);

  /** Evicts the blocks of `model`, and the blocks of unknown model, which were imported and not
   * read yet. Held blocks are evicted when the last run releases them. */
  void retire_model(std::string_view model);

  /** Releases the references of a run to `blocks`, and clears `blocks`. */
  void release(std::vector<BlockRef>& blocks);

  /** Removes all blocks. `take_evicted` does not list them. */
  void clear();

  /** Returns the keys evicted since the last call. */
  std::vector<BlockKey> take_evicted();

  /** Returns the keys of all blocks, most recently used first. */
  std::vector<BlockKey> keys() const;

  std::size_t size() const { return blocks_.size(); }

 private:
  using LruList = std::list<BlockRef>;

  // Evicts a block if the cache is full. Returns false if runs hold all blocks.
  bool make_room();
  BlockRef add(CachedBlock block);
  void evict(LruList::iterator block);

  std::size_t block_limit_;
  // Most recently used first. `blocks_` has exactly one entry for each element.
  LruList lru_list_;
  std::unordered_map<BlockKey, LruList::iterator> blocks_;
  std::vector<BlockKey> evicted_;  // Since the last `take_evicted`.
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_PREFIX_CACHE_H_
