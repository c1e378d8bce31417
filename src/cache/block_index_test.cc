// Tests of the block index against a simple model, and of the follower of cache events.

#include "cache/block_index.h"

#include <catch2/catch.hpp>

#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "cache/cache_event_follower.h"

namespace bluebellstep {
namespace {

BlockKey key_of(std::uint64_t number) {
  return next_block_key(cache_seed("a", "m", "1"), std::to_string(number));
}

}  // namespace

// Guards against missing or extra entries due to faults of the hash table, the least-recently-used
// list or the engine epochs.
TEST_CASE("the index agrees with a plain map", "[cache]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    BlockIndex index(1000);
    std::map<BlockKey, std::pair<bool, bool>> model;  // {in engine, in memory}.
    std::vector<BlockKey> keys;
    for (std::uint64_t i = 0; i < 300; ++i) {
      // Few different buckets, so that entries collide.
      keys.push_back({random.next(), random.below(40)});
    }
    for (int step = 0; step < 5000; ++step) {
      const BlockKey key = keys[random.below(keys.size())];
      switch (random.below(5)) {
        case 0:
          index.add_to_engine(key);
          model[key].first = true;
          break;
        case 1:
          index.add_to_store(key, Tier::kMemory, {1}, 10);
          model[key].second = true;
          break;
        case 2:
          index.remove_from_engine(key);
          model[key].first = false;
          break;
        case 3:
          index.remove_from_store(key, Tier::kMemory);
          model[key].second = false;
          break;
        default:
          if (random.chance(0.01)) {
            index.clear_engine();
            for (auto& [any_key, in_locations] : model) {
              in_locations.first = false;
            }
          }
      }
      const BlockKey queried = keys[random.below(keys.size())];
      const auto found = index.find(queried);
      const auto expected = model[queried];
      REQUIRE(found.has_value() == (expected.first || expected.second));
      REQUIRE((!found || std::pair(found->in_engine, found->in_memory) == expected));
    }
  }
}

// Guards against unbounded growth, and against loss of recently used entries.
TEST_CASE("the index drops the least recently used entry", "[cache]") {
  BlockIndex index(100);
  for (std::uint64_t i = 0; i < 100; ++i) {
    index.add_to_engine(key_of(i));
  }
  const std::size_t memory = index.memory_bytes();
  index.touch(key_of(0));
  for (std::uint64_t i = 100; i < 199; ++i) {
    index.add_to_engine(key_of(i));
  }
  CHECK(index.size() == 100);
  CHECK(index.memory_bytes() == memory);
  CHECK(index.find(key_of(0)).has_value());
  CHECK_FALSE(index.find(key_of(1)).has_value());
  CHECK(index.find(key_of(198)).has_value());
}

// Guards against reuse of blocks across accounts (promise 2) or weight versions (promise 3), and of
// blocks after one that was evicted.
TEST_CASE("lookups find only the same account, version and prefix", "[cache]") {
  BlockIndex index(100);
  const std::string prompt(3 * kBlockTextBytes, 'x');
  const auto keys = block_keys(cache_seed("a", "m", "1"), prompt);
  for (const BlockKey key : keys) {
    index.add_to_engine(key);
  }
  CHECK(index.engine_prefix_length(keys) == 3);
  CHECK(index.engine_prefix_length(block_keys(cache_seed("b", "m", "1"), prompt)) == 0);
  CHECK(index.engine_prefix_length(block_keys(cache_seed("a", "m", "2"), prompt)) == 0);
  index.remove_from_engine(keys[1]);
  CHECK(index.engine_prefix_length(keys) == 1);
}

namespace {

// An engine that loses events at random. The test delays and reorders its answers.
class SimulatedEngine {
 public:
  explicit SimulatedEngine(std::uint64_t seed) : random_(seed) {}

  void apply_random_change() {
    if (random_.chance(0.002)) {
      ++incarnation_;
      keys_.clear();
      events_.clear();
      return;
    }
    CacheEvent event{.seq = events_.size() + 1};
    const BlockKey key = key_of(random_.below(50));
    if (random_.chance(0.01)) {
      event.type = CacheEvent::Type::kCleared;
      keys_.clear();
    } else if (random_.chance(0.5)) {
      event.keys = {key};
      keys_.insert(key);
    } else {
      event.type = CacheEvent::Type::kEvicted;
      event.keys = {key};
      keys_.erase(key);
    }
    events_.push_back(event);
  }

  CacheEventBatch poll(std::uint64_t after, bool with_gaps) {
    CacheEventBatch batch{.start_id = std::to_string(incarnation_),
                          .next = std::max<std::uint64_t>(after, events_.size()),
                          .events = {}};
    for (std::size_t i = after; i < events_.size(); ++i) {
      if (!with_gaps || !random_.chance(0.05)) {
        batch.events.push_back(events_[i]);
      }
    }
    return batch;
  }

  CacheBlockList list() const {
    return {std::to_string(incarnation_), events_.size(), {keys_.begin(), keys_.end()}};
  }

  const std::set<BlockKey>& keys() const { return keys_; }
  Random& random() { return random_; }

 private:
  Random random_;
  int incarnation_ = 1;
  std::vector<CacheEvent> events_;
  std::set<BlockKey> keys_;
};

}  // namespace

// Guards against an index that silently diverges from the engine after lost, late or repeated
// events or a restart.
TEST_CASE("the index matches the engine unless a full list is needed", "[cache]") {
  int lists = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    SimulatedEngine engine(seed);
    BlockIndex index(1000);
    CacheEventFollower follower(index);
    CHECK(follower.needs_full_list());
    std::deque<CacheEventBatch> delayed;
    for (int step = 0; step < 3000; ++step) {
      engine.apply_random_change();
      const auto action = engine.random().below(4);
      if (action == 0) {
        delayed.push_back(engine.poll(follower.position(), true));
      } else if (action == 1 && !delayed.empty()) {
        const std::size_t at = engine.random().below(delayed.size());
        follower.apply(delayed[at]);
        delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(at));
      } else if (follower.needs_full_list()) {
        follower.apply(engine.list());
        ++lists;
      } else if (action == 2) {
        follower.apply(engine.poll(follower.position(), false));
        // The index must be up to date, unless a late answer of an earlier incarnation made a full
        // list necessary.
        for (std::uint64_t i = 0; !follower.needs_full_list() && i < 50; ++i) {
          const auto found = index.find(key_of(i));
          REQUIRE(found.has_value() == engine.keys().contains(key_of(i)));
        }
      }
    }
  }
  CHECK(lists > 100);
}

}  // namespace bluebellstep
