// Implementation of `HttpServer`: connections and exchanges on the HTTP thread.

#ifndef BLUEBELLSTEP_HTTP_HTTP_SERVER_IMPL_H_
#define BLUEBELLSTEP_HTTP_HTTP_SERVER_IMPL_H_

#include <h2o.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/http_loop_impl.h"
#include "http/http_server.h"

namespace bluebellstep {

/**
 * State of a server on the HTTP thread, where all methods except the accessors are called. Kept
 * alive until its last connection is closed.
 */
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  /** Binds and listens. Throws `std::system_error`. */
  Impl(HttpLoop::Impl& loop, HttpServerOptions options, Listener listener);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl();

  /** Starts to accept connections. */
  void start();

  /** Removes the listener and closes all connections. */
  void close();

  void respond(ExchangeId id, int status, std::span<const HttpHeader> headers, std::string body);
  void start_stream(ExchangeId id, int status, std::span<const HttpHeader> headers);
  void write(ExchangeId id, std::string chunk);
  void end(ExchangeId id);
  void abort(ExchangeId id);
  void stop_accepting();

  std::uint16_t port() const { return port_; }
  std::size_t open_exchanges() const { return open_exchanges_; }
  HttpLoop::Impl& loop() { return loop_; }

 private:
  enum class Phase { kWaiting, kStreaming, kFinalSent };

  struct Exchange;

  /** One accepted connection. Destroyed when its socket is closed. */
  struct Connection {
    Impl* server;
    h2o_socket_t* socket;
    std::uint64_t number;          // In the order of their acceptance.
    Exchange* exchange = nullptr;  // HTTP/1 only: the open exchange.
    bool closing = false;          // Shut down to make room for others.
  };

  /** One request and its response. Destroyed together with h2o's memory pool of the request. */
  struct Exchange {
    // The first member, since h2o passes its address back.
    h2o_generator_t generator{};
    Impl* server = nullptr;
    ExchangeId id;
    h2o_req_t* req = nullptr;
    Connection* connection = nullptr;  // Null for HTTP/2.
    Phase phase = Phase::kWaiting;
    bool is_head = false;          // The method is HEAD: no body is sent.
    bool headers_pending = false;  // The response was started, but its headers were not sent.
    bool in_flight = false;        // h2o is sending chunks and calls `on_proceed` afterwards.
    bool flush_scheduled = false;  // A flush is deferred to the end of this loop iteration.
    bool end_requested = false;    // No chunks follow those in `pending`.
    bool abort_requested = false;
    bool notify_closed = true;  // Cleared by `abort`, after which `on_closed` is not called.
    std::size_t pending_bytes = 0;
    std::vector<std::string> pending;
    std::vector<std::string> sending;  // The chunks in flight.
  };

  struct Handler {
    h2o_handler_t base;  // The first member, since h2o passes its address back.
    Impl* server;
  };

  void configure();
  void listen();
  void accept_connections();
  void add_connection(h2o_socket_t* socket);
  void remove_connection(Connection* connection);
  // Closes the oldest connection without an open exchange. Returns false if there is none.
  bool close_oldest_connection();
  void dispose_if_idle();

  Exchange* find(ExchangeId id);
  void add_exchange(h2o_req_t* req);
  void remove_exchange(Exchange* exchange);
  void begin_response(Exchange& exchange, int status, std::span<const HttpHeader> headers);
  void schedule_flush(Exchange& exchange);
  void flush(Exchange& exchange);
  void send_pending(Exchange& exchange);
  void send_error(Exchange& exchange);
  void break_connection(Exchange& exchange);
  void watch_for_close(Exchange& exchange);
  void stop_watching(Exchange& exchange);

  static void on_accept(h2o_socket_t* listener, const char* error);
  static void on_readable(h2o_socket_t* socket, const char* error);
  static int on_request(h2o_handler_t* handler, h2o_req_t* req);
  static void on_proceed(h2o_generator_t* generator, h2o_req_t* req);

  HttpLoop::Impl& loop_;
  HttpServerOptions options_;
  Listener listener_;
  std::uint16_t port_ = 0;
  int listen_fd_ = -1;  // -1 once `listen_socket_` owns it.
  h2o_socket_t* listen_socket_ = nullptr;
  h2o_globalconf_t config_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_context_{};
  bool closed_ = false;
  std::shared_ptr<Impl> self_;  // Set from `start` until the last connection is closed.
  std::unordered_set<Connection*> connections_;
  std::size_t closing_connections_ = 0;  // Those with `closing`.
  std::uint64_t next_connection_number_ = 1;
  std::unordered_map<ExchangeId, Exchange*> exchanges_;
  std::uint64_t next_id_ = 1;
  std::atomic<std::size_t> open_exchanges_{0};
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_SERVER_IMPL_H_
