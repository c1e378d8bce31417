// Encoded responses of upstreams for tests with raw sockets.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_UPSTREAM_RESPONSE_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_UPSTREAM_RESPONSE_H_

#include <string>
#include <string_view>

namespace bluebellstep {

/** Returns the head of a successful response to the request `id`. `framing` is a further field. */
inline std::string response_head(std::string_view id, std::string_view framing) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) +
         "\r\nServer-Seal: s\r\nKeep-Alive: timeout=5\r\n" + std::string(framing) + "\r\n\r\n";
}

/** Returns a successful response to the request `id`. */
inline std::string complete_response(std::string_view id, std::string_view body) {
  return response_head(id, "Content-Length: " + std::to_string(body.size())) + std::string(body);
}

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_UPSTREAM_RESPONSE_H_
