// Converts endpoints to socket addresses.

#ifndef BLUEBELLSTEP_HTTP_SOCKET_ADDRESS_H_
#define BLUEBELLSTEP_HTTP_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <optional>
#include <string>

#include "http/http_types.h"

namespace bluebellstep {

/** A socket address and its length, as arguments of socket calls. */
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/** Returns the address of `endpoint`, or nothing if `ip` is not an IPv4 or IPv6 address. */
std::optional<SocketAddress> to_socket_address(const Endpoint& endpoint);

/** Returns "ip:port", with brackets around an IPv6 address, as used in the `host` header. */
std::string to_string(const Endpoint& endpoint);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_SOCKET_ADDRESS_H_
