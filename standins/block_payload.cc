// Generates block contents from a pseudo-random sequence that is seeded with the block key.

#include "standins/block_payload.h"

#include <algorithm>
#include <cstdint>
#include <cstring>

#include "base/hash.h"
#include "base/random.h"

namespace bluebellstep::standins {

std::string block_payload(BlockKey key, std::size_t size) {
  Random random(combine_hashes(key.high, key.low));
  std::string bytes(size, '\0');
  for (std::size_t offset = 0; offset < size; offset += sizeof(std::uint64_t)) {
    const std::uint64_t word = random.next();
    std::memcpy(bytes.data() + offset, &word, std::min(sizeof(word), size - offset));
  }
  return bytes;
}

}  // namespace bluebellstep::standins
