// Tests of block frames with every fault of a store that the format must detect.

#include "cache/block_frame.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "base/hash.h"
#include "base/random.h"

namespace bluebellstep {
namespace {

std::string random_bytes(Random& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random.below(256));
  }
  return bytes;
}

void flip_bit(std::string& bytes, std::size_t at, Random& random) {
  bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.below(8)));
}

// Returns a complete and consistent frame with another version of the format.
std::string encode_other_format(const ExpectedBlock& block, std::string_view payload) {
  constexpr std::size_t kChecksumOffset = kFrameHeaderBytes - 8;
  std::string frame = encode_block_frame(block.key, block.min_generation, payload);
  frame[3] = '0';
  const std::uint64_t checksum = hash64(payload, hash64(frame.substr(0, kChecksumOffset)));
  for (std::size_t i = 0; i < 8; ++i) {
    frame[kChecksumOffset + i] = static_cast<char>(checksum >> (8 * i) & 0xff);
  }
  return frame;
}

// A requested block, its correct payload, and the value that the store returns.
struct Reading {
  ExpectedBlock expected;
  std::string payload;
  std::string value;
  bool is_intact = true;
};

// Publishes a block and reads it from a store with a random fault, or none.
Reading random_reading(Random& random) {
  GenerationAllocator generations;
  const std::string account(1, static_cast<char>('a' + random.below(3)));
  const BlockKey key = next_block_key(cache_seed(account, "m", "1"), random_bytes(random, 8));
  const BlockKey other = next_block_key(cache_seed(account + "x", "m", "1"), "text");
  Reading reading;
  reading.payload = random_bytes(random, 1 + random.below(300));
  const std::string freed_payload = random_bytes(random, reading.payload.size());
  const std::string freed = encode_block_frame(key, generations.next({1000}), freed_payload);
  const BlockGeneration generation = generations.next({1000});
  const std::string intact = encode_block_frame(key, generation, reading.payload);
  reading.expected = {key, generation};
  reading.value = intact;
  const std::size_t position = random.below(intact.size());
  switch (random.below(10)) {
    case 0:
      return reading;
    case 1:  // Truncated value.
      reading.value.resize(position);
      break;
    case 2:  // Partly written over zeros.
      reading.value = intact.substr(0, position) + std::string(intact.size() - position, '\0');
      break;
    case 3:  // Partly written over the freed block.
      reading.value = intact.substr(0, position) + freed.substr(position);
      break;
    case 4:  // Written over a longer value, the end of which remains.
      reading.value += random_bytes(random, 1 + random.below(100));
      break;
    case 5:  // The freed block.
      reading.value = freed;
      break;
    case 6:  // Another account's block.
      reading.value =
          encode_block_frame(other, generation, random_bytes(random, reading.payload.size()));
      break;
    case 7:  // One bit flipped.
      flip_bit(reading.value, position, random);
      break;
    case 8:  // One bit flipped in the generation of the freed block.
      reading.value = freed;
      flip_bit(reading.value, 20 + random.below(8), random);
      break;
    default:  // Written in another version of the format.
      reading.value = encode_other_format(reading.expected, freed_payload);
      break;
  }
  reading.is_intact = reading.value == intact;
  return reading;
}

// Returns whether a reader that skips the checks in `ignored` accepts a wrong block.
bool accepts_wrong_block(const Reading& reading, FrameFaults ignored) {
  if ((check_frame(reading.value, reading.expected) & ~ignored) != 0) {
    return false;
  }
  return reading.value.size() < kFrameHeaderBytes ||
         reading.value.substr(kFrameHeaderBytes) != reading.payload;
}

constexpr int kReadings = 20'000;

}  // namespace

// Guards against use of a freed, partly written, truncated, swapped or corrupt block (promises 1
// and 2), and against rejection of an intact one.
TEST_CASE("only the complete block asked for is accepted", "[cache]") {
  Random random(11);
  for (int i = 0; i < kReadings; ++i) {
    const Reading reading = random_reading(random);
    const auto payload = decode_block_frame(reading.value, reading.expected);
    REQUIRE(payload.has_value() == reading.is_intact);
    REQUIRE((!payload || *payload == reading.payload));
  }
}

// Guards against redundant checks: if any one of the checks is skipped, at least one of the
// readings above leads to a wrong block.
TEST_CASE("each check of the frame is needed", "[cache]") {
  const FrameFaults check = GENERATE(kFrameTooShort, kFrameWrongMagic, kFrameWrongKey,
                                     kFrameStaleGeneration, kFrameWrongLength, kFrameWrongChecksum);
  Random random(11);
  int violations = 0;
  for (int i = 0; i < kReadings; ++i) {
    violations += accepts_wrong_block(random_reading(random), check) ? 1 : 0;
  }
  INFO("check " << int{check});
  CHECK(violations > 0);
}

// Guards against a generation that is allocated twice when the wall clock stops or steps back.
TEST_CASE("generations rise", "[cache]") {
  GenerationAllocator allocator;
  BlockGeneration last = allocator.next({1000});
  for (const std::int64_t wall : {1000, 1000, 400, 2000, 1999}) {
    const BlockGeneration next = allocator.next({wall});
    CHECK(next > last);
    last = next;
  }
  CHECK(GenerationAllocator().next({3000}) > last);
}

}  // namespace bluebellstep
