// Format in which the bytes of a block are kept in a cache store.
//
// Stores may lose, truncate, swap or corrupt values. The frame lets a reader verify that a value is
// the complete block that it requested. Any other value is a cache miss, and the block is
// recomputed.

#ifndef BLUEBELLSTEP_CACHE_BLOCK_FRAME_H_
#define BLUEBELLSTEP_CACHE_BLOCK_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "cache/block_key.h"

namespace bluebellstep {

/** Number of a publication of a block in a cache store. Later publications by the same sidecar slot
 * have higher numbers. */
struct BlockGeneration {
  std::uint64_t value = 0;

  auto operator<=>(const BlockGeneration&) const = default;
};

/** Allocates generations. */
class GenerationAllocator {
 public:
  /** Returns a generation above all that this object returned before. It includes the wall time, so
   * it is also above those of an earlier incarnation of the sidecar in the same slot. */
  BlockGeneration next(Instant wall_now);

 private:
  std::uint64_t last_value_ = 0;
};

/** Size of the header in front of the payload. */
inline constexpr std::size_t kFrameHeaderBytes = 44;

/** Checks that a frame can fail, as bits of `FrameFaults`. */
enum FrameFault : std::uint8_t {
  kFrameTooShort = 1 << 0,         // Shorter than a header.
  kFrameWrongMagic = 1 << 1,       // Not a frame of this format.
  kFrameWrongKey = 1 << 2,         // Contains another block.
  kFrameStaleGeneration = 1 << 3,  // Contains a publication that has been freed or replaced.
  kFrameWrongLength = 1 << 4,      // Truncated, or followed by the rest of an earlier value.
  kFrameWrongChecksum = 1 << 5,    // Corrupt header, or corrupt or partly written payload.
};
using FrameFaults = std::uint8_t;

/** The block that a reader requested. */
struct ExpectedBlock {
  BlockKey key;
  /** Lowest generation that has not been freed or replaced, as far as the reader knows. */
  BlockGeneration min_generation;
};

/** Returns the frame for a block with this payload. */
std::string encode_block_frame(BlockKey key, BlockGeneration generation, std::string_view payload);

/** Returns the checks that `frame` fails; 0 if it contains the expected block. */
FrameFaults check_frame(std::string_view frame, const ExpectedBlock& expected);

/** Returns the payload as a view into `frame`, or nothing if any check fails. */
std::optional<std::string_view> decode_block_frame(std::string_view frame,
                                                   const ExpectedBlock& expected);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_BLOCK_FRAME_H_
