// Hash functions implemented with xxHash.

#include "base/hash.h"

#include <xxhash.h>

#include <array>

namespace bluebellstep {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b) {
  const std::array<std::uint64_t, 2> both = {a, b};
  return XXH3_64bits(both.data(), sizeof(both));
}

}  // namespace bluebellstep
