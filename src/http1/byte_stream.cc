// TCP connections on the h2o event loop.

#include "http1/byte_stream.h"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "base/log_event.h"
#include "http/socket_address.h"
#include "http/socket_options.h"

namespace bluebellstep {
namespace {

// Larger outputs are written in parts, so that their progress is known.
constexpr std::size_t kMaxWriteBytes = 128u << 10;
// A larger buffer is released when its bytes are sent, so that idle connections keep little.
constexpr std::size_t kMaxKeptCapacity = 4u << 10;

// Returns the part of `bytes` from `offset` on, with at most `max_bytes`.
h2o_iovec_t part_of(const std::string& bytes, std::size_t offset, std::size_t max_bytes) {
  const std::size_t start = std::min(offset, bytes.size());
  return h2o_iovec_init(bytes.data() + start, std::min(max_bytes, bytes.size() - start));
}

}  // namespace

void ByteStream::Output::clear() {
  head.clear();
  if (head.capacity() > kMaxKeptCapacity) {
    head.shrink_to_fit();
  }
  body.reset();
}

ByteStream::ByteStream(h2o_socket_t* socket, Listener listener)
    : socket_(socket), listener_(std::move(listener)), connected_(true) {
  socket_->data = this;
  configure_tcp_socket(h2o_socket_get_fd(socket_));
  start_reading();
}

ByteStream::ByteStream(h2o_loop_t* loop, const Endpoint& endpoint, Listener listener)
    : listener_(std::move(listener)) {
  std::optional<SocketAddress> address = to_socket_address(endpoint);
  if (address) {
    socket_ = h2o_socket_connect(loop, address->get(), address->length, on_connect);
  }
  if (socket_ != nullptr) {
    socket_->data = this;
    configure_tcp_socket(h2o_socket_get_fd(socket_));
  }
}

ByteStream::~ByteStream() {
  if (destroyed_ != nullptr) {
    *destroyed_ = true;
  }
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
  }
}

void ByteStream::write(std::string_view bytes) {
  if (socket_ == nullptr || bytes.empty()) {
    return;
  }
  if (pending_.body != nullptr) {
    pending_.head += *std::exchange(pending_.body, nullptr);
  }
  pending_.head += bytes;
  flush();
}

void ByteStream::write(std::string head, std::shared_ptr<const std::string> body) {
  if (pending_.size() > 0) {
    write(head);
    write(body == nullptr ? std::string_view() : *body);
  } else if (socket_ != nullptr) {
    pending_ = {.head = std::move(head), .body = std::move(body)};
    flush();
  }
}

void ByteStream::pause_reading() {
  if (socket_ != nullptr) {
    h2o_socket_read_stop(socket_);
  }
}

void ByteStream::resume_reading() {
  if (socket_ != nullptr && !h2o_socket_is_reading(socket_)) {
    start_reading();
  }
}

void ByteStream::close_after_writes() {
  closing_ = true;
  if (socket_ == nullptr) {
    return;
  }
  if (unsent() == 0) {
    h2o_socket_close(std::exchange(socket_, nullptr));
  }
}

void ByteStream::close() {
  closing_ = true;
  if (socket_ != nullptr) {
    h2o_socket_close(std::exchange(socket_, nullptr));
  }
  pending_.clear();
  sending_.clear();
  sent_of_sending_ = 0;
}

void ByteStream::reset() {
  if (socket_ != nullptr) {
    const linger discard{.l_onoff = 1, .l_linger = 0};
    if (::setsockopt(h2o_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &discard,
                     sizeof(discard)) != 0) {
      LogEvent("connection_not_reset", LogEvent::Severity::kWarning).field("errno", errno);
    }
  }
  close();
}

bool ByteStream::has_unread_bytes() const {
  int unread = 0;
  return socket_ != nullptr && ::ioctl(h2o_socket_get_fd(socket_), FIONREAD, &unread) == 0 &&
         unread > 0;
}

bool ByteStream::has_unread_input() const {
  char byte = 0;
  return socket_ == nullptr ||
         ::recv(h2o_socket_get_fd(socket_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
         (errno != EAGAIN && errno != EINTR);
}

bool ByteStream::peer_closed() const {
  if (socket_ == nullptr) {
    return true;
  }
  pollfd poll_fd{.fd = h2o_socket_get_fd(socket_), .events = POLLRDHUP, .revents = 0};
  return ::poll(&poll_fd, 1, 0) > 0;
}

void ByteStream::flush() {
  if (!connected_ || sending_.size() > 0 || pending_.size() == 0) {
    return;
  }
  std::swap(sending_, pending_);
  sent_of_sending_ = 0;
  write_part();
}

void ByteStream::write_part() {
  const std::size_t head_size = sending_.head.size();
  std::array<h2o_iovec_t, 2> buffers{};
  std::size_t count = 0;
  std::size_t bytes = 0;
  if (sent_of_sending_ < head_size) {
    buffers[count] = part_of(sending_.head, sent_of_sending_, kMaxWriteBytes);
    bytes += buffers[count++].len;
  }
  if (sending_.body != nullptr && bytes < kMaxWriteBytes) {
    const std::size_t offset = std::max(sent_of_sending_, head_size) - head_size;
    buffers[count] = part_of(*sending_.body, offset, kMaxWriteBytes - bytes);
    bytes += buffers[count].len;
    count += buffers[count].len > 0 ? 1 : 0;
  }
  write_in_progress_ = bytes;
  h2o_socket_write(socket_, buffers.data(), count, on_write);
}

void ByteStream::start_reading() {
  // h2o would read all that has arrived, into a buffer that doubles as it grows: several MB for
  // each connection. `on_read` reads at most `max_read_bytes_`.
  h2o_socket_dont_read(socket_, 1);
  h2o_socket_read_start(socket_, on_read);
}

bool ByteStream::has_error() const {
  // The kernel reports an error of the connection only once, to the first call that fails. After an
  // orderly end the connection is still open for writing; after an error it is closed in both
  // directions, which poll() reports even if no events are requested. An orderly end before the
  // error cannot be told apart; RFC 9112, section 8, counts the message as incomplete then, too.
  pollfd poll_fd{.fd = h2o_socket_get_fd(socket_), .events = 0, .revents = 0};
  return ::poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & (POLLERR | POLLHUP)) != 0;
}

void ByteStream::end(StreamEnd stream_end) {
  h2o_socket_close(std::exchange(socket_, nullptr));
  if (!closing_ && listener_.on_end) {
    // Moved out, since the callback may destroy this object.
    const auto on_end = std::move(listener_.on_end);
    on_end(stream_end);
  }
}

void ByteStream::on_connect(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<ByteStream*>(socket->data);
  if (error != nullptr) {
    self->end(StreamEnd::kNotReached);
    return;
  }
  self->connected_ = true;
  self->start_reading();
  bool destroyed = false;
  self->destroyed_ = &destroyed;
  if (self->listener_.on_connected) {
    self->listener_.on_connected();
  }
  if (destroyed) {
    return;
  }
  self->destroyed_ = nullptr;
  if (self->socket_ != nullptr) {
    self->flush();
  }
}

void ByteStream::on_read(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<ByteStream*>(socket->data);
  if (error != nullptr) {
    self->end(error == h2o_socket_error_closed ? StreamEnd::kClosed : StreamEnd::kBroken);
    return;
  }
  // Shared by all connections of the thread; its contents are valid until the callback returns.
  thread_local std::array<char, kMaxReadBytes> buffer;
  const ssize_t count = ::recv(h2o_socket_get_fd(socket), buffer.data(),
                               std::min(self->max_read_bytes_, buffer.size()), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    const bool is_orderly = count == 0 && (self->write_in_progress_ == 0 || !self->has_error());
    self->end(is_orderly ? StreamEnd::kClosed : StreamEnd::kBroken);
    return;
  }
  if (!self->closing_) {
    // May destroy this object.
    self->listener_.on_bytes(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
  }
}

void ByteStream::on_write(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<ByteStream*>(socket->data);
  if (error != nullptr && self->reads_after_write_error_ && self->has_error()) {
    return;  // `on_read` ends the connection.
  }
  const std::size_t written = std::exchange(self->write_in_progress_, 0);
  if (error != nullptr) {
    self->sending_.clear();
    self->sent_of_sending_ = 0;
    self->end(StreamEnd::kBroken);
    return;
  }
  self->sent_of_sending_ += written;
  if (self->sent_of_sending_ < self->sending_.size()) {
    self->write_part();
  } else {
    self->sending_.clear();
    self->sent_of_sending_ = 0;
    self->flush();
  }
  if (self->closing_ && self->unsent() == 0) {
    h2o_socket_close(std::exchange(self->socket_, nullptr));
    return;
  }
  if (self->listener_.on_sent) {
    self->listener_.on_sent(written);  // May destroy this object.
  }
}

}  // namespace bluebellstep
