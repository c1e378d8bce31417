// Pool of persistent connections to servers.
//
// A server closes connections that have been idle for its keep-alive time. If it does so while a
// request is in flight, the client cannot tell whether the request ran. Therefore a connection is
// not reused shortly before that time.

#ifndef BLUEBELLSTEP_HTTP1_CONNECTION_POOL_H_
#define BLUEBELLSTEP_HTTP1_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/http_loop.h"
#include "http/http_types.h"
#include "http1/client_connection.h"

namespace bluebellstep {

/** Reuses idle connections and limits those in use, per server. Runs on the HTTP thread. */
class ConnectionPool {
 public:
  /** An idle connection is not reused within this time before the announced end of its keep-alive
   * time. */
  static constexpr Duration kKeepAliveMargin{700};
  /** Keep-alive time of servers that announce none. */
  static constexpr Duration kDefaultKeepAlive{4000};

  /** Result of `acquire`. */
  struct Acquired {
    std::unique_ptr<ClientConnection> connection;  // Null if `max_in_use` are in use.
    bool reused = false;                           // The connection has carried a request before.
  };

  ConnectionPool(HttpLoop& loop, ClientConnection::RequestIdReader read_request_id)
      : loop_(loop), read_request_id_(std::move(read_request_id)) {}

  /** Opens a connection, also if an idle one could be reused. It must be passed to `release` when
   * its request has ended. */
  std::unique_ptr<ClientConnection> open(std::string_view server, const Endpoint& endpoint);

  /** Returns an idle connection to the server, or opens one if fewer than `max_in_use` are in
   * use. The connection must be passed to `release` when its request has ended. */
  Acquired acquire(std::string_view server,
                   const Endpoint& endpoint,
                   std::size_t max_in_use,
                   Instant now);

  /** Sets how long the server keeps idle connections open. */
  void set_keep_alive(std::string_view server, Duration keep_alive);

  /** Returns a connection to the pool. It is kept if `may_reuse` is set and it can carry another
   * request, and is closed otherwise. May be called within a callback of the connection. */
  void release(std::string_view server,
               std::unique_ptr<ClientConnection> connection,
               bool may_reuse,
               Instant now);

  /** Closes idle connections that have expired or cannot be reused. */
  void close_expired_connections(Instant now);
  /** Closes all idle connections to a server. */
  void close_idle_connections(std::string_view server);
  /** Closes all idle connections. */
  void close_idle_connections();

  /** Whether there are neither idle connections nor connections in use. */
  bool empty() const { return connections_.empty(); }

 private:
  struct IdleConnection {
    std::unique_ptr<ClientConnection> connection;
    Instant expires_at;
  };

  struct ServerConnections {
    std::list<IdleConnection> idle;  // Ordered by last use, the most recent at the end.
    std::size_t in_use = 0;
    Duration keep_alive = kDefaultKeepAlive;
  };

  ServerConnections& connections_for(std::string_view server);
  static void close_unusable(ServerConnections& connections, Instant now);

  HttpLoop& loop_;
  ClientConnection::RequestIdReader read_request_id_;
  std::map<std::string, ServerConnections, std::less<>> connections_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP1_CONNECTION_POOL_H_
