// A TCP connection on an `HttpLoop`, as bytes.

#ifndef BLUEBELLSTEP_HTTP1_BYTE_STREAM_H_
#define BLUEBELLSTEP_HTTP1_BYTE_STREAM_H_

#include <h2o.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "http/http_types.h"

namespace bluebellstep {

/** How the peer ended a connection. */
enum class StreamEnd {
  kClosed,      // The peer closed its side in order.
  kBroken,      // Reset, timed out, or a write failed.
  kNotReached,  // The connection was never established; nothing was sent.
};

/**
 * One connection. All methods and callbacks run on the HTTP thread. After `close`, or once
 * `on_end` was called, no further callback comes. The object may be destroyed in a callback.
 */
class ByteStream {
 public:
  struct Listener {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_bytes;
    std::function<void(StreamEnd)> on_end;
  };

  /** Takes over an accepted socket. */
  ByteStream(h2o_socket_t* socket, Listener listener);

  /** Starts to connect to `endpoint`. */
  ByteStream(h2o_loop_t* loop, const Endpoint& endpoint, Listener listener);

  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;
  ~ByteStream();

  /** Sends `bytes` after those given before. */
  void write(std::string_view bytes);

  /** Closes the connection once all bytes given so far are sent. No further `on_bytes` comes. */
  void close_after_writes();

  /** Bytes that were given to `write` and are not yet taken by the kernel. */
  std::size_t unsent() const { return pending_.size() + sending_.size(); }

  bool connected() const { return connected_; }
  bool ended() const { return socket_ == nullptr; }

 private:
  static void on_connect(h2o_socket_t* socket, const char* error);
  static void on_read(h2o_socket_t* socket, const char* error);
  static void on_write(h2o_socket_t* socket, const char* error);

  void start_reading();
  void flush();
  void end(StreamEnd how);

  h2o_socket_t* socket_ = nullptr;  // Null once the connection has ended.
  Listener listener_;
  std::string pending_;
  std::string sending_;  // In the hands of h2o; not changed until `on_write`.
  bool connected_ = false;
  bool closing_ = false;
  bool* destroyed_ = nullptr;  // Set while a callback runs, to notice that it destroyed this.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP1_BYTE_STREAM_H_
