// Validates the parts of HTTP messages before they are sent.

#ifndef BLUEBELLSTEP_HTTP_HEADER_CHECK_H_
#define BLUEBELLSTEP_HTTP_HEADER_CHECK_H_

#include <algorithm>
#include <string_view>

#include "http/http_types.h"

namespace bluebellstep {

/** Whether `text` is a token as defined in RFC 9110. Methods and header names must be tokens. */
inline bool is_token(std::string_view text) {
  constexpr std::string_view kSpecial = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kSpecial.find(c) != std::string_view::npos;
  });
}

/** Whether `text` has no control characters except tabs. Line ends in a value would allow header
 * injection. */
inline bool is_header_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != 0x7f);
  });
}

/** Whether the name and the value of the header can be sent unchanged. */
inline bool is_valid_header(const HttpHeader& header) {
  return is_token(header.name) && is_header_value(header.value);
}

/** Whether the HTTP client and server set the header themselves. Values from their users are
 * ignored. */
inline bool is_reserved_header(std::string_view name) {
  return name == "content-length" || name == "transfer-encoding" || name == "connection" ||
         name == "keep-alive" || name == "upgrade" || name == "host";
}

/** Whether `path` can be sent in a request line. */
inline bool is_valid_path(std::string_view path) {
  return path.starts_with('/') && std::all_of(path.begin(), path.end(), [](char c) {
           return static_cast<unsigned char>(c) > ' ' && c != 0x7f;
         });
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HEADER_CHECK_H_
