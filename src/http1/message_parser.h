// HTTP/1.1 message heads and bodies, parsed with the parser that is part of h2o.
//
// The client and the server of h2o do not report what a proxy has to know: whether a body ended
// with a reset, bytes after a complete message, contradictory framing fields, and the head as it
// was received. This module does.

#ifndef BLUEBELLSTEP_HTTP1_MESSAGE_PARSER_H_
#define BLUEBELLSTEP_HTTP1_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "http1/chunk_decoder.h"

namespace bluebellstep {

/** A header field as it was received, without white space around the value. */
struct HeaderField {
  std::string_view name;  // A token (RFC 9110, section 5.6.2): no blanks or control characters.
  std::string_view value;
};

/** Whether two header names or tokens are equal, ignoring case. */
bool equal_ignoring_case(std::string_view a, std::string_view b);

/** Whether a comma-separated list contains `token`, ignoring case. */
bool list_contains(std::string_view list, std::string_view token);

/** Parses a decimal number; nothing if `text` contains anything else or the number is too large. */
std::optional<std::uint64_t> parse_decimal(std::string_view text);

/** Whether a response to this system may have the status code: RFC 9110, section 15, defines 100 to
 * 599. 101 is excluded, since it accepts a change of protocol and no request asks for one. */
constexpr bool is_valid_status(int status) {
  return status >= 100 && status <= 599 && status != 101;
}

/** Head of a request or response. Not copyable, since the views point into `text`. */
struct MessageHead {
  MessageHead() = default;
  MessageHead(const MessageHead&) = delete;
  MessageHead& operator=(const MessageHead&) = delete;

  std::string text;         // The complete head. Not changed after parsing.
  std::string_view method;  // Requests only.
  std::string_view target;  // Requests only: path and query.
  int status = 0;           // Responses only; see `is_valid_status`.
  int minor_version = 1;
  std::vector<HeaderField> fields;

  /** Returns the value of the first field `name`, ignoring case, or nothing. */
  std::optional<std::string_view> find(std::string_view name) const;

  /** Returns the number of fields `name`, ignoring case. */
  std::size_t count(std::string_view name) const;
};

/** How the end of a body is determined. */
struct NoBody {};
struct LengthBody {
  std::uint64_t length = 0;  // In bytes, above 0.
};
struct ChunkedBody {};
struct UntilCloseBody {};  // Responses only.
using BodyFraming = std::variant<NoBody, LengthBody, ChunkedBody, UntilCloseBody>;

enum class HeadStatus {
  kComplete,
  kIncomplete,
  kMalformed,
};

/** Parses a request head at the start of `bytes`.
 *
 * @param consumed  Set to the length of the head in bytes if it is complete.
 */
HeadStatus parse_request_head(std::string_view bytes, MessageHead& head, std::size_t& consumed);

/** Parses a response head at the start of `bytes`, like `parse_request_head`. Bytes that cannot be
 * the start of an HTTP/1 response are malformed from the first one on. A complete head has a valid
 * status. */
HeadStatus parse_response_head(std::string_view bytes, MessageHead& head, std::size_t& consumed);

/** Returns the framing of a request. Returns nothing if the framing is contradictory or unknown,
 * since another HTTP implementation might then find the end of the request elsewhere (request
 * smuggling).
 */
std::optional<BodyFraming> request_framing(const MessageHead& head);

/** Returns the framing of the response to a request with `method`, or nothing like
 * `request_framing`. */
std::optional<BodyFraming> response_framing(const MessageHead& head, std::string_view method);

/** Incremental decoder of a message body. */
class BodyDecoder {
 public:
  using Status = ChunkDecoder::Status;
  using Result = ChunkDecoder::Result;

  explicit BodyDecoder(const BodyFraming& framing);

  /** Decodes `bytes` and appends the result to `content`. Bytes after the end of the body are not
   * consumed. */
  Result feed(std::string_view bytes, std::string& content);

  /** Whether the body is complete. True from the start if there is no body. */
  bool complete() const { return complete_; }

  /** Whether the body has the chunked transfer encoding. */
  bool chunked() const { return std::holds_alternative<ChunkedBody>(framing_); }

  /** Whether the body ends when the peer closes the connection without an error. */
  bool ends_with_connection() const {
    return std::holds_alternative<UntilCloseBody>(framing_) && !complete_;
  }

 private:
  BodyFraming framing_;
  std::uint64_t remaining_bytes_ = 0;
  ChunkDecoder chunks_;
  bool complete_ = false;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP1_MESSAGE_PARSER_H_
