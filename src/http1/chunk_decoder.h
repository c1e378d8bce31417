// Decodes the chunked transfer coding: RFC 9112, section 7.1.
//
// The decoder of h2o accepts anything behind the digits of a chunk's size, bare line feeds, and
// trailers of any content and length. A changed byte in these places would pass for a complete
// body.

#ifndef BLUEBELLSTEP_HTTP1_CHUNK_DECODER_H_
#define BLUEBELLSTEP_HTTP1_CHUNK_DECODER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellstep {

/** Incremental decoder of one chunked body. */
class ChunkDecoder {
 public:
  enum class Status {
    kNeedMoreBytes,
    kComplete,
    kMalformed,
  };

  struct Result {
    Status status = Status::kNeedMoreBytes;
    std::size_t consumed = 0;  // Bytes of the input that belong to the body.
  };

  /** A line with a chunk's size, and all trailer lines together, have at most this many bytes. */
  static constexpr std::size_t kMaxLineBytes = 16u << 10;

  /** Decodes `bytes` and appends the content to `content`. Bytes after the end of the body are not
   * consumed. Not to be called after `kComplete` or `kMalformed`. */
  Result feed(std::string_view bytes, std::string& content);

 private:
  enum class State {
    kSizeStart,        // Before the first digit of a chunk's size.
    kSize,             // After a digit.
    kSizeBlank,        // After blanks behind the size; an extension follows.
    kExtension,        // After the semicolon.
    kSizeLineFeed,     // After the carriage return of the line.
    kData,             // `data_left_` bytes follow.
    kDataReturn,       // The carriage return behind the data follows.
    kDataLineFeed,     // The line feed behind the data follows.
    kTrailerStart,     // At the start of a trailer line or of the empty line that ends the body.
    kTrailerName,      // Within a name.
    kTrailerValue,     // After the colon.
    kTrailerLineFeed,  // After the carriage return of a trailer line.
    kLastLineFeed,     // After the carriage return of the empty line.
    kComplete,
    kMalformed,
  };

  // Takes a byte that is not data.
  void take(char c);
  void take_size_digit(std::uint64_t digit);

  State state_ = State::kSizeStart;
  std::uint64_t data_left_ = 0;  // Of the current chunk; while its size is read, the size so far.
  std::size_t line_bytes_ = 0;   // Of the current line, or of all trailer lines.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP1_CHUNK_DECODER_H_
