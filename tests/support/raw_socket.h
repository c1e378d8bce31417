// Blocking TCP sockets for tests that need a peer that violates HTTP.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_RAW_SOCKET_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_RAW_SOCKET_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "http/socket_address.h"

namespace bluebellstep {

/** A blocking TCP connection. By default, a read times out after `kReadTimeoutMs`. */
class RawSocket {
 public:
  static constexpr int kReadTimeoutMs = 10000;

  /** Takes ownership of the descriptor. Sets TCP_NODELAY, so that each `send` reaches the peer at
   * once. */
  explicit RawSocket(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  RawSocket(RawSocket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  RawSocket& operator=(RawSocket&&) = delete;
  ~RawSocket() { close(); }

  /** Connects to a port of the loopback address. Throws if that fails. */
  static RawSocket connect(std::uint16_t port) {
    auto address = to_socket_address({"127.0.0.1", port}).value();
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, address.get(), address.length) != 0) {
      throw std::runtime_error("connect failed");
    }
    return RawSocket(fd);
  }

  /** Sends all of `bytes`; returns false if the peer has closed the connection. */
  bool send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  /** Returns the next bytes, or an empty string if the connection ends or none arrive within
   * `timeout_ms`. */
  std::string receive_some(int timeout_ms = kReadTimeoutMs) {
    pollfd poll_fd{.fd = fd_, .events = POLLIN, .revents = 0};
    if (::poll(&poll_fd, 1, timeout_ms) <= 0) {
      return {};
    }
    std::array<char, 65536> buffer;
    const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
    return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string();
  }

  /** Reads until the received bytes contain `text`, the connection ends or a read times out.
   * Returns all received bytes. */
  std::string receive_until(std::string_view text) {
    std::string received;
    while (received.find(text) == std::string::npos) {
      const std::string more = receive_some();
      if (more.empty()) {
        break;
      }
      received += more;
    }
    return received;
  }

  /** Reads until the connection ends or a read times out. Returns all received bytes. */
  std::string receive_all() { return receive_until(std::string_view("\0unsent\0", 8)); }

  /** Waits until the peer's kernel has received all sent bytes, whether the peer has read them or
   * not. Returns false if it has not within `kReadTimeoutMs`. */
  bool wait_until_acknowledged() const {
    int unacknowledged = 1;
    for (int ms = 0; ms < kReadTimeoutMs && unacknowledged > 0; ++ms) {
      ::ioctl(fd_, TIOCOUTQ, &unacknowledged);
      ::usleep(1000);
    }
    return unacknowledged == 0;
  }

  void close() {
    if (fd_ >= 0) {
      ::close(std::exchange(fd_, -1));
    }
  }

  /** Closes the connection so that the peer sees a reset instead of an orderly end. */
  void reset() {
    const linger discard{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    close();
  }

  int fd() const { return fd_; }

 private:
  int fd_;
};

/** A listening TCP socket on a free port of the loopback address. */
class RawListener {
 public:
  explicit RawListener(int backlog = 16) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto address = to_socket_address({"127.0.0.1", 0}).value();
    if (::bind(fd_, address.get(), address.length) != 0 || ::listen(fd_, backlog) != 0 ||
        ::getsockname(fd_, address.get(), &address.length) != 0) {
      throw std::runtime_error("listen failed");
    }
    port_ = ntohs(reinterpret_cast<const sockaddr_in*>(address.get())->sin_port);
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { ::close(fd_); }

  std::uint16_t port() const { return port_; }

  /** Accepts the next connection. Throws if none arrives within `RawSocket::kReadTimeoutMs`. */
  RawSocket accept() {
    pollfd poll_fd{.fd = fd_, .events = POLLIN, .revents = 0};
    if (::poll(&poll_fd, 1, RawSocket::kReadTimeoutMs) <= 0) {
      throw std::runtime_error("no connection arrived before the timeout");
    }
    return RawSocket(::accept(fd_, nullptr, nullptr));
  }

  /** Accepts the next connection and reads from it up to the end of a request's head. */
  RawSocket accept_request() {
    RawSocket connection = accept();
    connection.receive_until("\r\n\r\n");
    return connection;
  }

  /** Whether a connection is ready to be accepted within `timeout_ms`. */
  bool has_connection(int timeout_ms) {
    pollfd poll_fd{.fd = fd_, .events = POLLIN, .revents = 0};
    return ::poll(&poll_fd, 1, timeout_ms) > 0;
  }

 private:
  int fd_;
  std::uint16_t port_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_RAW_SOCKET_H_
