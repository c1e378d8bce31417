// Options of TCP sockets.

#ifndef BLUEBELLSTEP_HTTP_SOCKET_OPTIONS_H_
#define BLUEBELLSTEP_HTTP_SOCKET_OPTIONS_H_

#include "base/clock.h"

namespace bluebellstep {

/** Unacknowledged data breaks a connection after this time, and an idle connection is probed about
 * as often. Connections may go silent without a reset; only such limits show it. */
inline constexpr Duration kUnresponsivePeerTimeout{1500};

/** Sends small writes at once, and lets the kernel break a connection whose peer has gone silent.
 */
void configure_tcp_socket(int fd);

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_SOCKET_OPTIONS_H_
