// Connections to upstreams that are kept for further requests.

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

/** Idle and used connections by upstream. Runs on the HTTP thread. */
class ConnectionPool {
 public:
  /** Connections are not reused this close to their announced end. */
  static constexpr Duration kKeepAliveMargin{700};
  /** How long an idle connection is kept where the upstream announces nothing. */
  static constexpr Duration kDefaultKeepAlive{4000};

  /** A connection that was taken out. */
  struct Taken {
    std::unique_ptr<UpstreamConnection> connection;  // Null: as many as allowed are in use.
    bool reused = false;
  };

  ConnectionPool(HttpLoop& loop, UpstreamConnection::RequestIdReader id_of)
      : loop_(loop), id_of_(std::move(id_of)) {}

  /** Takes an idle connection, or opens one if fewer than `limit` are in use. */
  Taken take(std::string_view upstream, const Endpoint& endpoint, std::size_t limit, Instant now);

  /** Notes how long the upstream keeps idle connections open. */
  void set_keep_alive(std::string_view upstream, Duration keep_alive);

  /** Gives a connection back, to be kept if `keep` is set and it is usable. It may be in one of its
   * callbacks. */
  void release(std::string_view upstream,
               std::unique_ptr<UpstreamConnection> connection,
               bool keep,
               Instant now);

  /** Closes idle connections whose time is over. */
  void close_unused(Instant now);

 private:
  struct Idle {
    std::unique_ptr<UpstreamConnection> connection;
    Instant usable_until;
  };

  struct Connections {
    std::list<Idle> idle;  // The most recently used one is last.
    std::size_t in_use = 0;
    Duration keep_alive = kDefaultKeepAlive;
  };

  Connections& connections_of(std::string_view upstream);
  static void drop_unusable(Connections& connections, Instant now);

  HttpLoop& loop_;
  UpstreamConnection::RequestIdReader id_of_;
  std::map<std::string, Connections, std::less<>> connections_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_CONNECTION_POOL_H_
