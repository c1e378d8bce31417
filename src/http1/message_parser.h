// HTTP/1.1 message heads and bodies, parsed with the parser that h2o contains.
//
// The h2o client and server hand over messages without what a proxy has to know: whether a body
// ended with a reset, bytes after a complete message, contradictory framing headers, and the head
// as it was spelled. This module keeps these.

#ifndef BLUEBELLSTEP_HTTP1_MESSAGE_PARSER_H_
#define BLUEBELLSTEP_HTTP1_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebellstep {

/** A header field as it was received. */
struct HeaderField {
  std::string_view name;
  std::string_view value;
};

/** Whether two header names or tokens are the same but for case. */
bool equal_ignoring_case(std::string_view a, std::string_view b);

/** Whether a comma-separated list holds `token`, whatever its case. */
bool list_contains(std::string_view list, std::string_view token);

/** Reads a whole decimal number; nothing for any other text. */
std::optional<std::uint64_t> parse_decimal(std::string_view text);

/** Head of a request or response. Views point into `text`, so it is not copied. */
struct MessageHead {
  MessageHead() = default;
  MessageHead(const MessageHead&) = delete;
  MessageHead& operator=(const MessageHead&) = delete;

  std::string text;         // The whole head. Not changed after parsing.
  std::string_view method;  // Requests only.
  std::string_view target;  // Requests only: path and query.
  int status = 0;           // Responses only.
  int minor_version = 1;
  std::vector<HeaderField> fields;

  /** First value of the field `name`, whatever its case. */
  std::optional<std::string_view> find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
};

/** How the end of a body is found. */
struct NoBody {};
struct LengthBody {
  std::uint64_t length = 0;
};
struct ChunkedBody {};
struct UntilCloseBody {};  // Responses only.
using BodyFraming = std::variant<NoBody, LengthBody, ChunkedBody, UntilCloseBody>;

enum class HeadStatus {
  kComplete,
  kIncomplete,
  kMalformed,
};

/** Parses a request head at the start of `bytes`; `used` is set to its length when complete. */
HeadStatus parse_request_head(std::string_view bytes, MessageHead& head, std::size_t& consumed);

/** Parses a response head at the start of `bytes`. */
HeadStatus parse_response_head(std::string_view bytes, MessageHead& head, std::size_t& consumed);

/** Returns the framing of a request, or nothing where it is contradictory or not understood, so
 * that another reader might see the end of the request elsewhere. */
std::optional<BodyFraming> request_framing(const MessageHead& head);

/** Returns the framing of a response to a request with `method`. */
std::optional<BodyFraming> response_framing(const MessageHead& head, std::string_view method);

/** Decodes a body piece by piece. */
class BodyDecoder {
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

  explicit BodyDecoder(const BodyFraming& framing);

  /** Appends the content in `bytes` to `content`. Bytes after the end of the body are not used. */
  Result feed(std::string_view bytes, std::string& content);

  /** Whether the body is complete before any byte. */
  bool complete() const { return complete_; }

  /** Whether an orderly close of the connection ends the body. */
  bool ends_with_connection() const {
    return std::holds_alternative<UntilCloseBody>(framing_) && !complete_;
  }

 private:
  // State of the chunked decoder; see `phr_chunked_decoder` in h2o's parser.
  struct ChunkState {
    std::size_t bytes_left_in_chunk = 0;
    char consume_trailer = 1;
    char hex_count = 0;
    char state = 0;
  };

  BodyFraming framing_;
  std::uint64_t remaining_bytes_ = 0;
  ChunkState chunk_;
  bool complete_ = false;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP1_MESSAGE_PARSER_H_
