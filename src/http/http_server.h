// HTTP/1.1 and HTTP/2 server on an `HttpLoop`.

#ifndef BLUEBELLSTEP_HTTP_HTTP_SERVER_H_
#define BLUEBELLSTEP_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "http/http_loop.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Id of one request and its response, unique within a server. */
using ExchangeId = Id<struct ExchangeTag, std::uint64_t>;

/** Settings of an `HttpServer`. */
struct HttpServerOptions {
  Endpoint listen;                        // Port 0 selects a free port.
  std::size_t max_body_bytes = 8u << 20;  // A larger body is rejected with status 413.

  // A caller is disconnected if more bytes than this of a streamed response wait to be sent, so
  // that slow callers cannot exhaust the memory of the process.
  std::size_t max_unsent_bytes = 4u << 20;

  // With this many connections, the oldest one without an open exchange is closed for a new one; if
  // there is none, the new one is closed.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();

  // Buffer of the kernel for what a connection receives; 0 for the default of the system. h2o reads
  // all that the kernel has received before it checks any limit.
  int receive_buffer_bytes = 0;
};

/**
 * Serves HTTP. Each request is passed to the listener together with an exchange id, with which the
 * owner sends the response immediately or later, from any thread. Responses to a closed exchange
 * are dropped. A malformed request gets a response with status 400, and its connection is closed;
 * other connections are not affected.
 */
class HttpServer {
 public:
  /** Callbacks, all on the HTTP thread. */
  struct Listener {
    /** A complete request was received. */
    std::function<void(ExchangeId, HttpRequest)> on_request;

    /** The caller disconnected before the response was complete. Not called after a complete
     * response or after `abort`. A caller that closes only its sending side counts as disconnected.
     */
    std::function<void(ExchangeId)> on_closed;
  };

  /** Binds and listens. Throws `std::system_error` with the address in its text if that fails. */
  HttpServer(HttpLoop& loop, HttpServerOptions options, Listener listener);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Closes all connections. No listener is called afterwards. */
  ~HttpServer();

  /** The port on which the server listens. */
  std::uint16_t port() const;

  /** Sends a complete response. */
  void respond(ExchangeId exchange, int status, std::vector<HttpHeader> headers, std::string body);

  /** Starts a streamed response; continue with `write` and `end`. The head is sent together with
   * the first chunk. */
  void start_stream(ExchangeId exchange, int status, std::vector<HttpHeader> headers);

  /** Adds `chunk` to a streamed response. Chunks that are written while the socket is busy are sent
   * together. */
  void write(ExchangeId exchange, std::string chunk);

  /** Ends a streamed response after all chunks. */
  void end(ExchangeId exchange);

  /** Closes the connection of an exchange before the response is complete, so that the caller
   * detects an incomplete response. */
  void abort(ExchangeId exchange);

  /** Closes the listening socket and asks clients of kept-alive connections to reconnect elsewhere.
   * Open exchanges continue. */
  void stop_accepting();

  /** Number of exchanges whose response is not complete. */
  std::size_t open_exchanges() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_SERVER_H_
