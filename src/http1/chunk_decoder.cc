// State machine of the chunked transfer coding.

#include "http1/chunk_decoder.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "http/header_check.h"

namespace bluebellstep {
namespace {

std::optional<std::uint64_t> hex_digit(char c) {
  if (c >= '0' && c <= '9') {
    return static_cast<std::uint64_t>(c - '0');
  }
  const char lower = static_cast<char>(c | 0x20);
  if (lower >= 'a' && lower <= 'f') {
    return static_cast<std::uint64_t>(lower - 'a' + 10);
  }
  return std::nullopt;
}

bool is_blank(char c) {
  return c == ' ' || c == '\t';
}

}  // namespace

ChunkDecoder::Result ChunkDecoder::feed(std::string_view bytes, std::string& content) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_ != State::kComplete && state_ != State::kMalformed) {
    if (state_ == State::kData) {
      const std::size_t count =
          static_cast<std::size_t>(std::min<std::uint64_t>(data_left_, bytes.size() - consumed));
      content += bytes.substr(consumed, count);
      consumed += count;
      data_left_ -= count;
      if (data_left_ == 0) {
        state_ = State::kDataReturn;
      }
    } else {
      take(bytes[consumed++]);
    }
  }
  const Status status = state_ == State::kComplete    ? Status::kComplete
                        : state_ == State::kMalformed ? Status::kMalformed
                                                      : Status::kNeedMoreBytes;
  return {.status = status, .consumed = consumed};
}

void ChunkDecoder::take_size_digit(std::uint64_t digit) {
  if (data_left_ > std::numeric_limits<std::uint64_t>::max() >> 4) {
    state_ = State::kMalformed;
    return;
  }
  data_left_ = data_left_ << 4 | digit;
  state_ = State::kSize;
}

void ChunkDecoder::take(char c) {
  if (++line_bytes_ > kMaxLineBytes) {
    state_ = State::kMalformed;
    return;
  }
  const auto expect = [&](char expected, State next) {
    state_ = c == expected ? next : State::kMalformed;
  };
  switch (state_) {
    case State::kSizeStart:
    case State::kSize:
      if (const auto digit = hex_digit(c)) {
        take_size_digit(*digit);
      } else if (state_ == State::kSizeStart) {
        state_ = State::kMalformed;
      } else if (c == '\r') {
        state_ = State::kSizeLineFeed;
      } else {
        state_ = c == ';' ? State::kExtension : is_blank(c) ? State::kSizeBlank : State::kMalformed;
      }
      return;
    case State::kSizeBlank:
      if (!is_blank(c)) {
        expect(';', State::kExtension);
      }
      return;
    case State::kExtension:
      if (c == '\r') {
        state_ = State::kSizeLineFeed;
      } else if (!is_header_value({&c, 1})) {
        state_ = State::kMalformed;
      }
      return;
    case State::kSizeLineFeed:
      expect('\n', data_left_ > 0 ? State::kData : State::kTrailerStart);
      line_bytes_ = 0;
      return;
    case State::kDataReturn:
      expect('\r', State::kDataLineFeed);
      return;
    case State::kDataLineFeed:
      expect('\n', State::kSizeStart);
      line_bytes_ = 0;
      return;
    case State::kTrailerStart:
      state_ = c == '\r'           ? State::kLastLineFeed
               : is_token({&c, 1}) ? State::kTrailerName
                                   : State::kMalformed;
      return;
    case State::kTrailerName:
      if (!is_token({&c, 1})) {
        expect(':', State::kTrailerValue);
      }
      return;
    case State::kTrailerValue:
      if (c == '\r') {
        state_ = State::kTrailerLineFeed;
      } else if (!is_header_value({&c, 1})) {
        state_ = State::kMalformed;
      }
      return;
    case State::kTrailerLineFeed:
      expect('\n', State::kTrailerStart);
      return;
    case State::kLastLineFeed:
      expect('\n', State::kComplete);
      return;
    case State::kData:
    case State::kComplete:
    case State::kMalformed:
      return;
  }
}

}  // namespace bluebellstep
