// Blocking HTTP/1.1 over loopback sockets, for the small stand-ins of the review's scripts.

#ifndef BLUEBELLSTEP_REVIEW_COMMON_2_NET_H_
#define BLUEBELLSTEP_REVIEW_COMMON_2_NET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace review {

/** Milliseconds since the process started. */
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);

/** Names of fields are in lower case. */
using Fields = std::map<std::string, std::string>;

/** A request or a response. */
struct Message {
  std::string method;  // Requests only.
  std::string target;
  int status = 0;  // Responses only.
  Fields fields;
  std::string body;

  std::string field(const std::string& name) const;
};

/** What was read instead of a message. */
enum class ReadEnd { kNone, kClosed, kReset, kTimeout, kMalformed };

/** One TCP connection. */
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  int fd() const { return fd_; }
  /** Writes all bytes; false if the connection has ended. */
  bool write(std::string_view bytes);
  /** Reads more bytes into the buffer. */
  ReadEnd fill(std::int64_t timeout_ms);
  /** Reads the head and the body of a request. */
  std::optional<Message> read_request(std::int64_t timeout_ms);
  /** Reads a response. A chunked body is joined. `end` tells why there is none. */
  std::optional<Message> read_response(std::int64_t timeout_ms, ReadEnd& end);
  /** Reads a head only. */
  std::optional<Message> read_head(bool is_request, std::int64_t timeout_ms, ReadEnd& end);
  /** Reads a chunk of a body; an empty one ends it. */
  std::optional<std::string> read_chunk(std::int64_t timeout_ms, ReadEnd& end);
  /** Ends the connection with a reset. */
  void reset();
  void shut_down();
  std::string& buffer() { return buffer_; }

 private:
  bool read_line(std::string& line, std::int64_t deadline, ReadEnd& end);
  bool read_bytes(std::size_t count, std::string& out, std::int64_t deadline, ReadEnd& end);

  int fd_;
  std::string buffer_;
};

std::string encode_response(int status, const Fields& fields, std::string_view body);
std::string encode_request(const std::string& method,
                           const std::string& target,
                           const Fields& fields,
                           std::string_view body);

/** Connects to a port of 127.0.0.1; -1 if that fails. A receive buffer of 0 is the default one. */
int connect_to(int port, int receive_buffer = 0);
/** Opens a listening socket on a free port, or on `port`. Returns the descriptor. */
int listen_on(int& port, int receive_buffer = 0);
/** Returns free ports of 127.0.0.1. */
std::vector<int> free_ports(std::size_t count);
/** Accepts connections on a thread of its own and runs `serve` on one thread for each. */
void accept_on_thread(int listening_fd, std::function<void(int fd)> serve);

/** The file record.txt: what was sent, answered and run. */
class Record {
 public:
  explicit Record(const std::string& path);
  /** Writes a line with the time. */
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::string path_;
};

}  // namespace review

#endif  // BLUEBELLSTEP_REVIEW_COMMON_2_NET_H_
