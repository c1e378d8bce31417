// Parses IP addresses.

#include "http/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace bluebellstep {

std::optional<SocketAddress> to_socket_address(const Endpoint& endpoint) {
  SocketAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    address.length = sizeof(sockaddr_in);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET6, endpoint.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    address.length = sizeof(sockaddr_in6);
    return address;
  }
  return std::nullopt;
}

std::string to_string(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + endpoint.ip + "]" : endpoint.ip;
  return host + ":" + std::to_string(endpoint.port);
}

}  // namespace bluebellstep
