// Frame around the bytes of a block in a cache store.
//
// Stores may lose, cut, mix up or damage values. The frame lets a reader tell that what it got is
// the complete block that it asked for; anything else is a miss, and the run computes the block.

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

/** Number of one publication of a block. Later publications by one sidecar slot have higher
 * numbers. */
struct BlockGeneration {
  std::uint64_t value = 0;

  auto operator<=>(const BlockGeneration&) const = default;
};

/** Gives out generations. */
class GenerationAllocator {
 public:
  /** Returns a generation above all earlier ones. Wall time makes it also higher than those of an
   * earlier incarnation in the same slot. */
  BlockGeneration next(Instant wall_now);

 private:
  std::uint64_t last_ = 0;
};

/** Size of the header before the payload. */
inline constexpr std::size_t kFrameHeaderBytes = 44;

/** Checks of a frame that failed, as bits of `FrameFaults`. */
enum FrameFault : std::uint8_t {
  kFrameTooShort = 1 << 0,         // No complete header.
  kFrameWrongMagic = 1 << 1,       // Not a frame of this format.
  kFrameWrongKey = 1 << 2,         // Another block.
  kFrameStaleGeneration = 1 << 3,  // A publication that has been freed or replaced.
  kFrameWrongLength = 1 << 4,      // Cut off, or followed by remains of an earlier value.
  kFrameWrongChecksum = 1 << 5,    // Damaged header, or damaged or partly written payload.
};
using FrameFaults = std::uint8_t;

/** The block that a reader asked for. */
struct ExpectedBlock {
  BlockKey key;
  /** Lowest generation that has not been freed, as far as the reader knows. */
  BlockGeneration min_generation;
};

/** Returns the frame of a complete block. */
std::string encode_block_frame(BlockKey key, BlockGeneration generation, std::string_view payload);

/** Returns the checks that `frame` fails; 0 if it is the expected block. */
FrameFaults check_frame(std::string_view frame, const ExpectedBlock& expected);

/** Returns the payload of `frame`, which it views, or nothing if any check fails. */
std::optional<std::string_view> decode_block_frame(std::string_view frame,
                                                   const ExpectedBlock& expected);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_CACHE_BLOCK_FRAME_H_
