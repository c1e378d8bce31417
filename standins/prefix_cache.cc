// Lookup and eviction in the prefix cache. A run holds a block if and only if a reference to the
// block exists outside `lru_list_`, so that its use count is above 1.

#include "standins/prefix_cache.h"

#include <iterator>
#include <utility>

namespace bluebellstep::standins {

std::vector<BlockRef> PrefixCache::find_prefix(std::span<const BlockKey> keys) {
  std::vector<BlockRef> prefix;
  for (const BlockKey key : keys) {
    const auto found = blocks_.find(key);
    if (found == blocks_.end()) {
      break;
    }
    prefix.push_back(*found->second);
  }
  // Marks the blocks as used from last to first, so that the last ones are evicted first: a block
  // is usable only if all blocks before it are cached.
  for (std::size_t i = prefix.size(); i > 0; --i) {
    find(prefix[i - 1]->key);
  }
  return prefix;
}

BlockRef PrefixCache::find(BlockKey key) {
  const auto found = blocks_.find(key);
  if (found == blocks_.end()) {
    return nullptr;
  }
  lru_list_.splice(lru_list_.begin(), lru_list_, found->second);
  return *found->second;
}

BlockRef PrefixCache::insert(CachedBlock block) {
  if (BlockRef existing_block = find(block.key)) {
    return existing_block;
  }
  return make_room() ? add(std::move(block)) : nullptr;
}

bool PrefixCache::replace(CachedBlock block) {
  if (const auto found = blocks_.find(block.key); found != blocks_.end()) {
    lru_list_.erase(found->second);
    blocks_.erase(found);
  } else if (!make_room()) {
    return false;
  }
  add(std::move(block));
  return true;
}

void PrefixCache::retire_model(std::string_view model) {
  for (auto block = lru_list_.begin(); block != lru_list_.end();) {
    const auto current = block++;
    if ((*current)->model != model && !(*current)->model.empty()) {
      continue;
    }
    if (current->use_count() == 1) {
      evict(current);
    } else {
      (*current)->retired = true;
    }
  }
}

void PrefixCache::release(std::vector<BlockRef>& blocks) {
  for (BlockRef& block : blocks) {
    const BlockKey key = block->key;
    block.reset();
    const auto found = blocks_.find(key);
    if (found != blocks_.end() && (*found->second)->retired && found->second->use_count() == 1) {
      evict(found->second);
    }
  }
  blocks.clear();
}

void PrefixCache::clear() {
  blocks_.clear();
  lru_list_.clear();
  evicted_.clear();
}

std::vector<BlockKey> PrefixCache::take_evicted() {
  return std::exchange(evicted_, {});
}

std::vector<BlockKey> PrefixCache::keys() const {
  std::vector<BlockKey> keys;
  keys.reserve(lru_list_.size());
  for (const BlockRef& block : lru_list_) {
    keys.push_back(block->key);
  }
  return keys;
}

bool PrefixCache::make_room() {
  if (blocks_.size() < block_limit_) {
    return true;
  }
  for (auto block = lru_list_.end(); block != lru_list_.begin();) {
    --block;
    if (block->use_count() == 1) {
      evict(block);
      return true;
    }
  }
  return false;
}

BlockRef PrefixCache::add(CachedBlock block) {
  const BlockKey key = block.key;
  lru_list_.push_front(std::make_shared<CachedBlock>(std::move(block)));
  blocks_[key] = lru_list_.begin();
  return lru_list_.front();
}

void PrefixCache::evict(LruList::iterator block) {
  const BlockKey key = (*block)->key;
  evicted_.push_back(key);
  blocks_.erase(key);
  lru_list_.erase(block);
}

}  // namespace bluebellstep::standins
