// Tests of block keys.

#include "cache/block_key.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

namespace bluebellstep {

// Guards against reuse of blocks across accounts, models or weight versions.
TEST_CASE("seeds differ by account, model and weight version", "[cache]") {
  const std::set<BlockKey> seeds = {cache_seed("a", "m", "1"), cache_seed("b", "m", "1"),
                                    cache_seed("a", "n", "1"), cache_seed("a", "m", "2"),
                                    cache_seed("am", "", "1"), cache_seed("", "am", "1")};
  CHECK(seeds.size() == 6);
}

// Guards against reuse of a block that has the same text but another prefix.
TEST_CASE("a block key depends on the whole prefix", "[cache]") {
  const BlockKey seed = cache_seed("a", "m", "1");
  const std::string same(kBlockTextBytes, 'x');
  const auto first = block_keys(seed, std::string(kBlockTextBytes, 'y') + same);
  const auto second = block_keys(seed, std::string(kBlockTextBytes, 'z') + same);
  REQUIRE(first.size() == 2);
  CHECK(first[1] != second[1]);
}

TEST_CASE("text after the last complete block has no key", "[cache]") {
  const BlockKey seed = cache_seed("a", "m", "1");
  CHECK(block_keys(seed, std::string(kBlockTextBytes - 1, 'x')).empty());
  CHECK(block_keys(seed, std::string(2 * kBlockTextBytes + 5, 'x')).size() == 2);
}

TEST_CASE("the hexadecimal format can be parsed", "[cache]") {
  const BlockKey key = cache_seed("a", "m", "1");
  CHECK(BlockKey::from_hex(key.to_hex()) == key);
  CHECK_FALSE(BlockKey::from_hex("12").has_value());
  CHECK_FALSE(BlockKey::from_hex(std::string(32, 'g')).has_value());
}

}  // namespace bluebellstep
