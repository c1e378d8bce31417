// Checks of header fields that are about to be sent.

#ifndef BLUEBELLSTEP_HTTP_HEADER_CHECK_H_
#define BLUEBELLSTEP_HTTP_HEADER_CHECK_H_

#include <algorithm>
#include <string_view>

#include "http/http_types.h"

namespace bluebellstep {

/** Whether `text` is a token in the sense of RFC 9110, as methods and header names must be. */
inline bool is_token(std::string_view text) {
  constexpr std::string_view kSpecial = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kSpecial.find(c) != std::string_view::npos;
  });
}

/** Whether `text` has no control character but tabs, which would let a value add further headers.
 */
inline bool is_header_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != 0x7f);
  });
}

/** Whether the header can be sent as it is. */
inline bool is_valid_header(const HttpHeader& header) {
  return is_token(header.name) && is_header_value(header.value);
}

/** Whether the header belongs to the connection, so that the HTTP module sets it itself. */
inline bool is_reserved_header(std::string_view name) {
  return name == "content-length" || name == "transfer-encoding" || name == "connection" ||
         name == "keep-alive" || name == "upgrade" || name == "host";
}

/** Whether `path` can stand in a request line. */
inline bool is_valid_path(std::string_view path) {
  return path.starts_with('/') && std::all_of(path.begin(), path.end(), [](char c) {
           return static_cast<unsigned char>(c) > ' ' && c != 0x7f;
         });
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HEADER_CHECK_H_
