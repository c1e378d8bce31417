// Opens listening sockets.

#ifndef BLUEBELLSTEP_HTTP_LISTENING_SOCKET_H_
#define BLUEBELLSTEP_HTTP_LISTENING_SOCKET_H_

#include <cstdint>

#include "http/http_types.h"

namespace bluebellstep {

/** A non-blocking socket that listens. The holder of the descriptor closes it. */
struct ListeningSocket {
  int fd = -1;
  std::uint16_t port = 0;
};

/** Binds and listens. Throws `std::system_error` with the address in its text if that fails. */
ListeningSocket open_listening_socket(const Endpoint& endpoint);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_LISTENING_SOCKET_H_
