// Copies data between two sockets and applies the current fault.

#include "tests/soak/fault_proxy.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <span>
#include <string_view>
#include <utility>

#include "http/socket_address.h"

namespace bluebellstep::testing {
namespace {

constexpr int kPollMs = 50;
constexpr std::chrono::milliseconds kDelay{30};

// Makes the next `close` of the socket send a reset.
void reset(int fd) {
  const linger linger_option{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger_option, sizeof(linger_option));
}

// If `bytes` start with the head of a response, makes the name of its first field or its status
// invalid.
void invalidate_head(std::span<char> bytes) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  const std::string_view text(bytes.data(), bytes.size());
  const std::size_t line_end = text.find("\r\n");
  if (!text.starts_with(kVersion) || line_end == std::string_view::npos ||
      line_end + 4 > text.size()) {
    return;
  }
  // The lengths of responses vary, so that both happen.
  if (text.size() % 2 == 0) {
    bytes[line_end + 3] = ' ';
  } else {
    std::fill_n(bytes.begin() + kVersion.size(), 3, '0');
  }
}

// Copies the data that is available, with `fault` applied to it. Returns false if the sender closed
// the connection or the receiver does not accept all of the data.
bool copy(int from, int to, ProxyFault fault) {
  std::array<char, 16384> buffer;
  const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return false;
  }
  if (fault == ProxyFault::kInvalidHeads) {
    invalidate_head({buffer.data(), static_cast<std::size_t>(count)});
  }
  return fault == ProxyFault::kDropResponses ||
         ::send(to, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

}  // namespace

FaultProxy::FaultProxy(std::uint16_t target)
    : target_(target), listener_(open_listening_socket({"127.0.0.1", 0})) {
  acceptor_ = std::thread([this] { accept_all(); });
}

FaultProxy::~FaultProxy() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& connection : connections_) {
    connection.join();
  }
  ::close(listener_.fd);
}

void FaultProxy::accept_all() {
  while (!stopping_) {
    pollfd poll_fds{.fd = listener_.fd, .events = POLLIN, .revents = 0};
    if (::poll(&poll_fds, 1, kPollMs) <= 0 || fault_ == ProxyFault::kUnresponsive) {
      continue;
    }
    const int caller = ::accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller >= 0) {
      const std::lock_guard lock(mutex_);
      connections_.emplace_back([this, caller] { serve(caller); });
    }
  }
}

void FaultProxy::serve(int caller) {
  auto address = to_socket_address({"127.0.0.1", target_}).value();
  const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool open = ::connect(target, address.get(), address.length) == 0;
  while (open && !stopping_) {
    std::array<pollfd, 2> poll_fds = {{{.fd = caller, .events = POLLIN, .revents = 0},
                                       {.fd = target, .events = POLLIN, .revents = 0}}};
    const ProxyFault fault = fault_;
    if (fault == ProxyFault::kReset) {
      reset(caller);
      break;
    }
    if (fault == ProxyFault::kUnresponsive) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      continue;
    }
    if (::poll(poll_fds.data(), poll_fds.size(), kPollMs) <= 0) {
      continue;
    }
    if (fault == ProxyFault::kDelay) {
      std::this_thread::sleep_for(kDelay);
    }
    if (poll_fds[0].revents != 0) {
      open = copy(caller, target, ProxyFault::kNone);
    }
    if (open && poll_fds[1].revents != 0) {
      open = copy(target, caller, fault);
    }
  }
  ::close(caller);
  ::close(target);
}

}  // namespace bluebellstep::testing
