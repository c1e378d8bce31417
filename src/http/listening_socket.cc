// Opens listening sockets.

#include "http/listening_socket.h"

#include <h2o.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <system_error>

#include "http/socket_address.h"

namespace bluebellstep {
namespace {

[[noreturn]] void throw_listen_error(int error, const Endpoint& endpoint) {
  throw std::system_error(error, std::generic_category(),
                          "cannot listen on " + to_string(endpoint));
}

}  // namespace

ListeningSocket open_listening_socket(const Endpoint& endpoint) {
  std::optional<SocketAddress> address = to_socket_address(endpoint);
  if (!address) {
    throw_listen_error(EINVAL, endpoint);
  }
  const int fd = ::socket(address->get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      ::bind(fd, address->get(), address->length) != 0 || ::listen(fd, SOMAXCONN) != 0 ||
      ::getsockname(fd, address->get(), &address->length) != 0) {
    const int error = errno;
    if (fd >= 0) {
      ::close(fd);
    }
    throw_listen_error(error, endpoint);
  }
  return {.fd = fd, .port = static_cast<std::uint16_t>(h2o_socket_getport(address->get()))};
}

}  // namespace bluebellstep
