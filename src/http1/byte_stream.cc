// TCP connections on the h2o event loop.

#include "http1/byte_stream.h"

#include <poll.h>
#include <sys/ioctl.h>

#include <array>
#include <utility>

#include "http/socket_address.h"
#include "http/socket_options.h"

namespace bluebellstep {

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
  pending_.clear();
  if (socket_ != nullptr) {
    h2o_socket_close(std::exchange(socket_, nullptr));
  }
}

bool ByteStream::has_unread_bytes() const {
  int unread = 0;
  return socket_ != nullptr && ::ioctl(h2o_socket_get_fd(socket_), FIONREAD, &unread) == 0 &&
         unread > 0;
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
  const bool has_body = sending_.body != nullptr && !sending_.body->empty();
  std::array<h2o_iovec_t, 2> buffers = {
      h2o_iovec_init(sending_.head.data(), sending_.head.size()),
      has_body ? h2o_iovec_init(sending_.body->data(), sending_.body->size())
               : h2o_iovec_init(nullptr, 0)};
  h2o_socket_write(socket_, buffers.data(), has_body ? 2 : 1, on_write);
}

void ByteStream::start_reading() {
  h2o_socket_read_start(socket_, on_read);
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
  if (self->closing_) {
    h2o_buffer_consume(&socket->input, socket->input->size);
    return;
  }
  bool destroyed = false;
  self->destroyed_ = &destroyed;
  const std::size_t size = socket->input->size;
  self->listener_.on_bytes(std::string_view(socket->input->bytes, size));
  if (destroyed) {
    return;
  }
  self->destroyed_ = nullptr;
  if (self->socket_ != nullptr) {
    h2o_buffer_consume(&socket->input, size);
  }
}

void ByteStream::on_write(h2o_socket_t* socket, const char* error) {
  auto* self = static_cast<ByteStream*>(socket->data);
  self->sending_.clear();
  if (error != nullptr) {
    self->end(StreamEnd::kBroken);
    return;
  }
  if (self->pending_.size() > 0) {
    self->flush();
  } else if (self->closing_) {
    h2o_socket_close(std::exchange(self->socket_, nullptr));
  }
}

}  // namespace bluebellstep
