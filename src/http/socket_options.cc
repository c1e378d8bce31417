// Options of TCP sockets.

#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/log_event.h"

namespace bluebellstep {
namespace {

void set_option(int fd, int level, int option, int value) {
  if (::setsockopt(fd, level, option, &value, sizeof(value)) != 0) {
    // The connection works without the option, but unresponsive peers are detected later.
    LogEvent("socket_option_refused", LogEvent::Severity::kWarning).field("option", option);
  }
}

}  // namespace

void configure_tcp_socket(int fd) {
  set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUnresponsivePeerTimeout.ms));
  set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

}  // namespace bluebellstep
