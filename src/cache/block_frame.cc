// The header consists of magic (4 bytes), key (16), generation (8), payload length (8) and checksum
// (8), all little-endian. The checksum covers the payload and the header fields in front of it:
// otherwise one flipped bit in the generation could make a freed block look like a current one.

#include "cache/block_frame.h"

#include <algorithm>

#include "base/hash.h"

namespace bluebellstep {
namespace {

// "BBF" and the version of the format. A change of the layout or of the encoding of payloads
// requires a new version, so that readers reject frames in the old format.
constexpr std::uint64_t kMagic = 0x31464242;

constexpr std::size_t kKeyOffset = 4;
constexpr std::size_t kGenerationOffset = 20;
constexpr std::size_t kLengthOffset = 28;
constexpr std::size_t kChecksumOffset = 36;
static_assert(kChecksumOffset + sizeof(std::uint64_t) == kFrameHeaderBytes);

// Low bits of a generation, for a sequence number; the high bits are the wall time in ms.
constexpr int kSequenceBits = 20;

void append_integer(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out += static_cast<char>(value >> (8 * i) & 0xff);
  }
}

std::uint64_t read_integer(std::string_view in, std::size_t offset, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = bytes; i > 0; --i) {
    value = value << 8 | static_cast<unsigned char>(in[offset + i - 1]);
  }
  return value;
}

// `header` consists of the header fields in front of the checksum.
std::uint64_t checksum(std::string_view header, std::string_view payload) {
  return hash64(payload, hash64(header));
}

}  // namespace

BlockGeneration GenerationAllocator::next(Instant wall_now) {
  last_value_ = std::max(last_value_ + 1, static_cast<std::uint64_t>(wall_now.ms) << kSequenceBits);
  return {last_value_};
}

std::string encode_block_frame(BlockKey key, BlockGeneration generation, std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  append_integer(frame, kMagic, 4);
  append_integer(frame, key.high, 8);
  append_integer(frame, key.low, 8);
  append_integer(frame, generation.value, 8);
  append_integer(frame, payload.size(), 8);
  append_integer(frame, checksum(frame, payload), 8);
  frame += payload;
  return frame;
}

FrameFaults check_frame(std::string_view frame, const ExpectedBlock& expected) {
  if (frame.size() < kFrameHeaderBytes) {
    return kFrameTooShort;
  }
  const std::string_view payload = frame.substr(kFrameHeaderBytes);
  const std::uint64_t length = read_integer(frame, kLengthOffset, 8);
  const BlockKey key{read_integer(frame, kKeyOffset, 8), read_integer(frame, kKeyOffset + 8, 8)};
  FrameFaults faults = 0;
  faults |= read_integer(frame, 0, 4) == kMagic ? 0 : kFrameWrongMagic;
  faults |= key == expected.key ? 0 : kFrameWrongKey;
  faults |= read_integer(frame, kGenerationOffset, 8) >= expected.min_generation.value
                ? 0
                : kFrameStaleGeneration;
  faults |= length == payload.size() ? 0 : kFrameWrongLength;
  faults |= read_integer(frame, kChecksumOffset, 8) ==
                    checksum(frame.substr(0, kChecksumOffset), payload.substr(0, length))
                ? 0
                : kFrameWrongChecksum;
  return faults;
}

std::optional<std::string_view> decode_block_frame(std::string_view frame,
                                                   const ExpectedBlock& expected) {
  if (check_frame(frame, expected) != 0) {
    return std::nullopt;
  }
  return frame.substr(kFrameHeaderBytes);
}

}  // namespace bluebellstep
