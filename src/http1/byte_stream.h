// A TCP connection on an `HttpLoop` that sends and receives bytes.

#ifndef BLUEBELLSTEP_HTTP1_BYTE_STREAM_H_
#define BLUEBELLSTEP_HTTP1_BYTE_STREAM_H_

#include <h2o.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_types.h"

namespace bluebellstep {

/** How a connection ended. */
enum class StreamEnd {
  kClosed,      // The peer closed its side, and no error of the connection is known.
  kBroken,      // Reset, timed out, or a write failed.
  kNotReached,  // The connection was never established; nothing was sent.
};

/**
 * One connection. All methods and callbacks run on the HTTP thread. `on_bytes` and `on_end` are not
 * called after `close_after_writes`, and no callback is called after `on_end`. The object may be
 * destroyed in a callback.
 */
class ByteStream {
 public:
  /** Most bytes that one call of `on_bytes` passes, unless `set_max_read` sets fewer. */
  static constexpr std::size_t kMaxReadBytes = 64u << 10;

  /** Callbacks. Unset ones are skipped, except `on_bytes`, which is required. */
  struct Listener {
    std::function<void()> on_connected;  // Only for connections to an endpoint.
    std::function<void(std::string_view)> on_bytes;
    std::function<void(std::size_t)> on_sent;  // This number of bytes was handed to the kernel.
    std::function<void(StreamEnd)> on_end;
  };

  /** Takes ownership of an accepted socket and starts to read. */
  ByteStream(h2o_socket_t* socket, Listener listener);

  /** Starts to connect to `endpoint`. */
  ByteStream(h2o_loop_t* loop, const Endpoint& endpoint, Listener listener);

  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;
  ~ByteStream();

  /** Sends `bytes` after those of earlier calls. Does nothing once the connection has ended. */
  void write(std::string_view bytes);
  /** The same for `head` followed by `body`, which is not copied. `body` may be null. */
  void write(std::string head, std::shared_ptr<const std::string> body);

  /** Limits the bytes of one call of `on_bytes`, at most to `kMaxReadBytes`. What has arrived
   * beyond stays in the kernel until the next call. */
  void set_max_read(std::size_t bytes) { max_read_bytes_ = bytes; }

  /** After an error that a write notices, passes what has arrived before it to `on_bytes` and only
   * then ends the connection; `unsent` stays above 0. Otherwise such bytes are discarded. Only for
   * connections whose reading is never paused, since reading alone then notices the end. */
  void set_reads_after_write_error() { reads_after_write_error_ = true; }

  /** Stops and continues to read. While reading is stopped, the end of the connection is not
   * noticed. */
  void pause_reading();
  void resume_reading();

  /** Closes the connection once all bytes passed to `write` are sent. Received bytes are discarded.
   */
  void close_after_writes();

  /** Closes the connection. Bytes that were not handed to the kernel are discarded. No callback
   * follows. */
  void close();

  /** The same, but the peer sees a reset instead of an orderly end. What it has not received yet
   * may be lost. */
  void reset();

  /** Number of bytes that were passed to `write` and not yet handed to the kernel. */
  std::size_t unsent() const { return pending_.size() + sending_.size() - sent_of_sending_; }

  /** Memory that is kept for these bytes. Not below `unsent`, since a buffer is released as a
   * whole.
   */
  std::size_t buffered() const { return pending_.capacity() + sending_.capacity(); }

  /** Whether bytes have arrived that were not passed to `on_bytes` yet. Closing the connection now
   * would reset it. */
  bool has_unread_bytes() const;

  /** Whether bytes or the end of the connection have arrived that were not reported yet. */
  bool has_unread_input() const;

  /** Whether the peer has closed or reset the connection, also if bytes before that have not been
   * passed to `on_bytes` yet. */
  bool peer_closed() const;

  /** Whether the connection was established, also after it has ended. */
  bool connected() const { return connected_; }
  /** Whether the connection is closed. */
  bool ended() const { return socket_ == nullptr; }

 private:
  static void on_connect(h2o_socket_t* socket, const char* error);
  static void on_read(h2o_socket_t* socket, const char* error);
  static void on_write(h2o_socket_t* socket, const char* error);

  void start_reading();
  // Whether the connection has an error, also if a failed write has cleared the error of the
  // socket.
  bool has_error() const;
  void flush();
  // Passes a part of `sending_` to h2o.
  void write_part();
  void end(StreamEnd stream_end);

  h2o_socket_t* socket_ = nullptr;  // Null once the connection has ended.
  Listener listener_;
  /** Bytes to send: `head`, then `body`. */
  struct Output {
    std::string head;
    std::shared_ptr<const std::string> body;  // May be null.

    std::size_t size() const { return head.size() + (body == nullptr ? 0 : body->size()); }
    std::size_t capacity() const {
      return head.capacity() + (body == nullptr ? 0 : body->capacity());
    }
    void clear();
  };

  Output pending_;                   // Sent after `sending_`.
  Output sending_;                   // Being written; not changed until it is sent.
  std::size_t sent_of_sending_ = 0;  // Bytes of `sending_` that the kernel has accepted.
  // Bytes passed to h2o, which calls `on_write`. While above 0, h2o may have failed to write them
  // and thereby have cleared the error of the socket, so that reading does not return it. Stays
  // above 0 if reading continues after a write error.
  std::size_t write_in_progress_ = 0;
  bool reads_after_write_error_ = false;
  std::size_t max_read_bytes_ = kMaxReadBytes;
  bool connected_ = false;
  bool closing_ = false;
  bool* destroyed_ = nullptr;  // Set while a callback runs, to detect that it destroyed this.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP1_BYTE_STREAM_H_
