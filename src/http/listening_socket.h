// Opens listening sockets.

#ifndef BLUEBELLSTEP_HTTP_LISTENING_SOCKET_H_
#define BLUEBELLSTEP_HTTP_LISTENING_SOCKET_H_

#include <cstdint>

#include "http/http_types.h"

namespace bluebellstep {

/** A non-blocking listening socket. The owner of the descriptor must close it. */
struct ListeningSocket {
  int fd = -1;
  std::uint16_t port = 0;
};

/** Binds a socket to `endpoint` and listens. Throws `std::system_error`, whose text contains the
 * address, if that fails. */
ListeningSocket open_listening_socket(const Endpoint& endpoint);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_LISTENING_SOCKET_H_
