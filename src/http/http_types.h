// Types that the HTTP server and the HTTP client share.

#ifndef BLUEBELLSTEP_HTTP_HTTP_TYPES_H_
#define BLUEBELLSTEP_HTTP_HTTP_TYPES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellstep {

/** One HTTP header field. Names are lower case. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/** Returns the value of the first header with the name `name` (lower case), or nothing. */
inline std::optional<std::string_view> find_header(std::span<const HttpHeader> headers,
                                                   std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [name](const HttpHeader& header) { return header.name == name; });
  return found == headers.end() ? std::nullopt : std::optional<std::string_view>(found->value);
}

/** A request as the server received it, with the complete body. */
struct HttpRequest {
  std::string method;
  std::string path;  // With the query string.
  std::vector<HttpHeader> headers;
  std::string body;
};

/** Address of a TCP endpoint: an IPv4 or IPv6 address and a port. Host names are not
 * resolved. */
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_TYPES_H_
