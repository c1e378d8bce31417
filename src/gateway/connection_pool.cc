// Reuse of connections.

#include "gateway/connection_pool.h"

#include <utility>

#include "http/http_loop_impl.h"

namespace bluebellstep {

ConnectionPool::Connections& ConnectionPool::connections_of(std::string_view upstream) {
  const auto found = connections_.find(upstream);
  return found != connections_.end() ? found->second : connections_[std::string(upstream)];
}

void ConnectionPool::drop_unusable(Connections& connections, Instant now) {
  std::erase_if(connections.idle, [now](const Idle& idle) {
    return !idle.connection->idle() || idle.usable_until <= now;
  });
}

ConnectionPool::Taken ConnectionPool::take(std::string_view upstream,
                                           const Endpoint& endpoint,
                                           std::size_t limit,
                                           Instant now) {
  Connections& connections = connections_of(upstream);
  drop_unusable(connections, now);
  Taken taken;
  if (!connections.idle.empty()) {
    taken.connection = std::move(connections.idle.back().connection);
    taken.reused = true;
    connections.idle.pop_back();
  } else if (connections.in_use < limit) {
    taken.connection = std::make_unique<UpstreamConnection>(loop_.impl().loop(), endpoint, id_of_);
  } else {
    return taken;
  }
  ++connections.in_use;
  return taken;
}

void ConnectionPool::set_keep_alive(std::string_view upstream, Duration keep_alive) {
  connections_of(upstream).keep_alive = keep_alive;
}

void ConnectionPool::release(std::string_view upstream,
                             std::unique_ptr<UpstreamConnection> connection,
                             bool keep,
                             Instant now) {
  Connections& connections = connections_of(upstream);
  --connections.in_use;
  const Duration usable = connections.keep_alive - kKeepAliveMargin;
  if (keep && connection->idle() && usable > Duration{0}) {
    connections.idle.push_back({std::move(connection), now + usable});
    return;
  }
  loop_.impl().defer([closing = std::shared_ptr<UpstreamConnection>(
                          std::move(connection))]() mutable { closing.reset(); });
}

void ConnectionPool::close_unused(Instant now) {
  for (auto& [upstream, connections] : connections_) {
    drop_unusable(connections, now);
  }
  std::erase_if(connections_, [](const auto& item) {
    return item.second.idle.empty() && item.second.in_use == 0;
  });
}

}  // namespace bluebellstep
