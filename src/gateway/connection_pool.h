// Pool of persistent connections to upstreams.
//
// An upstream closes connections that have been idle for its keep-alive time. If it does so while a
// request is in flight, the gateway cannot tell whether the request ran. Therefore a connection is
// not reused shortly before that time.

#ifndef BLUEBELLSTEP_GATEWAY_CONNECTION_POOL_H_
#define BLUEBELLSTEP_GATEWAY_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/upstream_connection.h"
#include "http/http_loop.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Reuses idle connections and limits those in use, per upstream. Runs on the HTTP thread. */
class ConnectionPool {
 public:
  /** An idle connection is not reused within this time before the announced end of its keep-alive
   * time. */
  static constexpr Duration kKeepAliveMargin{700};
  /** Keep-alive time of upstreams that announce none. */
  static constexpr Duration kDefaultKeepAlive{4000};

  /** Result of `acquire`. */
  struct Acquired {
    std::unique_ptr<UpstreamConnection> connection;  // Null if `max_in_use` are in use.
    bool reused = false;                             // The connection has carried a request before.
  };

  ConnectionPool(HttpLoop& loop, UpstreamConnection::RequestIdReader read_request_id)
      : loop_(loop), read_request_id_(std::move(read_request_id)) {}

  /** Returns an idle connection to the upstream, or opens one if fewer than `max_in_use` are in
   * use. The connection must be passed to `release` when its request has ended. */
  Acquired acquire(std::string_view upstream,
                   const Endpoint& endpoint,
                   std::size_t max_in_use,
                   Instant now);

  /** Sets how long the upstream keeps idle connections open. */
  void set_keep_alive(std::string_view upstream, Duration keep_alive);

  /** Returns a connection to the pool. It is kept if `may_reuse` is set and it can carry another
   * request, and is closed otherwise. May be called within a callback of the connection. */
  void release(std::string_view upstream,
               std::unique_ptr<UpstreamConnection> connection,
               bool may_reuse,
               Instant now);

  /** Closes idle connections that have expired or cannot be reused. */
  void close_expired_connections(Instant now);

 private:
  struct IdleConnection {
    std::unique_ptr<UpstreamConnection> connection;
    Instant expires_at;
  };

  struct UpstreamConnections {
    std::list<IdleConnection> idle;  // Ordered by last use, the most recent at the end.
    std::size_t in_use = 0;
    Duration keep_alive = kDefaultKeepAlive;
  };

  UpstreamConnections& connections_for(std::string_view upstream);
  // Closes idle connections that have expired or cannot be reused.
  static void close_unusable(UpstreamConnections& connections, Instant now);

  HttpLoop& loop_;
  UpstreamConnection::RequestIdReader read_request_id_;
  std::map<std::string, UpstreamConnections, std::less<>> connections_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CONNECTION_POOL_H_
