// HTTP/1.1 and HTTP/2 server on an `HttpLoop`.

#ifndef BLUEBELLSTEP_HTTP_HTTP_SERVER_H_
#define BLUEBELLSTEP_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
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
  Endpoint listen;                        // Port 0 takes any free port.
  std::size_t max_body_bytes = 8u << 20;  // A larger body is refused with status 413.

  // A caller that leaves more than this unread in a streamed response is disconnected, so that slow
  // callers cannot take up the memory of the process.
  std::size_t max_unsent_bytes = 4u << 20;
};

/**
 * Serves HTTP. Each request is handed to the listener, which answers it at once or later, from any
 * thread, by its exchange id. Answers to an exchange that is closed are dropped. A connection that
 * sends a malformed request is answered with status 400 and closed; others are not affected.
 */
class HttpServer {
 public:
  /** Callbacks, all on the HTTP thread. */
  struct Listener {
    /** A whole request arrived. */
    std::function<void(ExchangeId, HttpRequest)> on_request;

    /** The caller went away before the response was complete. Not called after a complete response
     * or after `abort`. A caller that closes only its sending side counts as gone. */
    std::function<void(ExchangeId)> on_closed;
  };

  /** Binds and listens. Throws `std::system_error` with the address in its text if that fails. */
  HttpServer(HttpLoop& loop, HttpServerOptions options, Listener listener);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** The port that the server listens on. */
  std::uint16_t port() const;

  /** Sends a whole response. */
  void respond(ExchangeId exchange, int status, std::vector<HttpHeader> headers, std::string body);

  /** Starts a streamed response; continue with `write` and `end`. The head is sent together with
   * the first chunk. */
  void start_stream(ExchangeId exchange, int status, std::vector<HttpHeader> headers);

  /** Adds `chunk` to a streamed response. Chunks given while the socket is busy are joined and sent
   * together. */
  void write(ExchangeId exchange, std::string chunk);

  /** Ends a streamed response after all chunks. */
  void end(ExchangeId exchange);

  /** Breaks the connection of an exchange, so that the caller sees that the response is incomplete.
   */
  void abort(ExchangeId exchange);

  /** Closes the listening socket and asks clients of kept-alive connections to reconnect elsewhere.
   * Open exchanges go on. */
  void stop_accepting();

  /** Number of exchanges without a complete response. */
  std::size_t open_exchanges() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_SERVER_H_
