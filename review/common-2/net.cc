// Sockets, messages and the record of a script.

#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <random>
#include <thread>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void add_fields(std::string& out, const Fields& fields) {
  for (const auto& [name, value] : fields) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
      .count();
}

void sleep_ms(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Message::field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

Connection::~Connection() {
  ::close(fd_);
}

bool Connection::write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

ReadEnd Connection::fill(std::int64_t timeout_ms) {
  pollfd poll_fd{.fd = fd_, .events = POLLIN, .revents = 0};
  const int ready = ::poll(&poll_fd, 1, static_cast<int>(std::max<std::int64_t>(0, timeout_ms)));
  if (ready <= 0) {
    return ReadEnd::kTimeout;
  }
  std::array<char, 65536> bytes;
  const ssize_t count = ::recv(fd_, bytes.data(), bytes.size(), 0);
  if (count < 0) {
    return ReadEnd::kReset;
  }
  if (count == 0) {
    return ReadEnd::kClosed;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return ReadEnd::kNone;
}

bool Connection::read_line(std::string& line, std::int64_t deadline, ReadEnd& end) {
  while (true) {
    const std::size_t at = buffer_.find("\r\n");
    if (at != std::string::npos) {
      line = buffer_.substr(0, at);
      buffer_.erase(0, at + 2);
      return true;
    }
    end = fill(deadline - now_ms());
    if (end != ReadEnd::kNone) {
      return false;
    }
  }
}

bool Connection::read_bytes(std::size_t count,
                            std::string& out,
                            std::int64_t deadline,
                            ReadEnd& end) {
  while (buffer_.size() < count) {
    end = fill(deadline - now_ms());
    if (end != ReadEnd::kNone) {
      return false;
    }
  }
  out.append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

std::optional<Message> Connection::read_head(bool is_request,
                                             std::int64_t timeout_ms,
                                             ReadEnd& end) {
  const std::int64_t deadline = now_ms() + timeout_ms;
  std::string line;
  if (!read_line(line, deadline, end)) {
    return std::nullopt;
  }
  Message message;
  const std::size_t first = line.find(' ');
  if (first == std::string::npos) {
    end = ReadEnd::kMalformed;
    return std::nullopt;
  }
  if (is_request) {
    message.method = line.substr(0, first);
    message.target = line.substr(first + 1, line.rfind(' ') - first - 1);
  } else {
    message.status = std::atoi(line.c_str() + first);
  }
  while (read_line(line, deadline, end)) {
    if (line.empty()) {
      return message;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
  }
  return std::nullopt;
}

std::optional<std::string> Connection::read_chunk(std::int64_t timeout_ms, ReadEnd& end) {
  const std::int64_t deadline = now_ms() + timeout_ms;
  std::string line;
  std::string chunk;
  std::string line_end;
  if (!read_line(line, deadline, end)) {
    return std::nullopt;
  }
  const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
  if (!read_bytes(size, chunk, deadline, end) || !read_bytes(2, line_end, deadline, end)) {
    return std::nullopt;
  }
  return chunk;
}

std::optional<Message> Connection::read_request(std::int64_t timeout_ms) {
  ReadEnd end = ReadEnd::kNone;
  auto message = read_head(true, timeout_ms, end);
  if (!message) {
    return std::nullopt;
  }
  const std::size_t length = std::strtoul(message->field("content-length").c_str(), nullptr, 10);
  if (!read_bytes(length, message->body, now_ms() + timeout_ms, end)) {
    return std::nullopt;
  }
  return message;
}

std::optional<Message> Connection::read_response(std::int64_t timeout_ms, ReadEnd& end) {
  const std::int64_t deadline = now_ms() + timeout_ms;
  auto message = read_head(false, timeout_ms, end);
  if (!message) {
    return std::nullopt;
  }
  if (message->field("transfer-encoding") == "chunked") {
    while (true) {
      const auto chunk = read_chunk(deadline - now_ms(), end);
      if (!chunk) {
        return std::nullopt;
      }
      if (chunk->empty()) {
        return message;
      }
      message->body += *chunk;
    }
  }
  const std::size_t length = std::strtoul(message->field("content-length").c_str(), nullptr, 10);
  if (!read_bytes(length, message->body, deadline, end)) {
    return std::nullopt;
  }
  return message;
}

void Connection::reset() {
  const linger option{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void Connection::shut_down() {
  ::shutdown(fd_, SHUT_RDWR);
}

std::string encode_response(int status, const Fields& fields, std::string_view body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  add_fields(out, fields);
  out.append("content-length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

std::string encode_request(const std::string& method,
                           const std::string& target,
                           const Fields& fields,
                           std::string_view body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  add_fields(out, fields);
  out.append("content-length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

int connect_to(int port, int receive_buffer) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

int listen_on(int& port, int receive_buffer) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  sockaddr_in address = loopback(port);
  socklen_t length = sizeof(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), length) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return fd;
}

std::vector<int> free_ports(std::size_t count) {
  // Below the ports that the kernel gives to connections, which could take one of these meanwhile.
  constexpr int kFirst = 15'000;
  constexpr int kCount = 15'000;
  static std::mt19937 random{std::random_device{}()};
  std::vector<int> ports;
  while (ports.size() < count) {
    int port = kFirst + static_cast<int>(random() % kCount);
    const int tcp = listen_on(port);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool is_free =
        tcp >= 0 &&
        ::bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
        std::find(ports.begin(), ports.end(), port) == ports.end();
    ::close(udp);
    if (tcp >= 0) {
      ::close(tcp);
    }
    if (is_free) {
      ports.push_back(port);
    }
  }
  return ports;
}

void accept_on_thread(int listening_fd, std::function<void(int fd)> serve) {
  std::thread([listening_fd, serve = std::move(serve)] {
    while (true) {
      const int fd = ::accept4(listening_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, serve] { serve(fd); }).detach();
    }
  }).detach();
}

Record::Record(const std::string& path) : path_(path) {
  std::ofstream(path_, std::ios::trunc);
}

void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::ofstream(path_, std::ios::app) << now_ms() << " ms  " << text << "\n";
}

}  // namespace review
