// Options of TCP sockets.

#ifndef BLUEBELLSTEP_HTTP_SOCKET_OPTIONS_H_
#define BLUEBELLSTEP_HTTP_SOCKET_OPTIONS_H_

#include "base/clock.h"

namespace bluebellstep {

/** A connection is closed if sent data is not acknowledged within this time. Idle connections are
 * probed about as often. A peer may become unresponsive without a reset, which only such timeouts
 * detect. */
inline constexpr Duration kUnresponsivePeerTimeout{1500};

/** Disables Nagle's algorithm, so that small writes are sent immediately, and makes the kernel
 * close a connection whose peer is unresponsive. */
void configure_tcp_socket(int fd);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_SOCKET_OPTIONS_H_
