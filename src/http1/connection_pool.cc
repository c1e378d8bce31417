// Acquires, keeps and closes connections.

#include "http1/connection_pool.h"

#include <utility>

#include "http/http_loop_impl.h"

namespace bluebellstep {

ConnectionPool::ServerConnections& ConnectionPool::connections_for(std::string_view server) {
  const auto found = connections_.find(server);
  return found != connections_.end() ? found->second : connections_[std::string(server)];
}

void ConnectionPool::close_unusable(ServerConnections& connections, Instant now) {
  std::erase_if(connections.idle, [now](const IdleConnection& idle) {
    return !idle.connection->idle() || idle.expires_at <= now;
  });
}

std::unique_ptr<ClientConnection> ConnectionPool::open(std::string_view server,
                                                       const Endpoint& endpoint) {
  ++connections_for(server).in_use;
  return std::make_unique<ClientConnection>(loop_.impl().loop(), endpoint, read_request_id_);
}

ConnectionPool::Acquired ConnectionPool::acquire(std::string_view server,
                                                 const Endpoint& endpoint,
                                                 std::size_t max_in_use,
                                                 Instant now) {
  ServerConnections& connections = connections_for(server);
  close_unusable(connections, now);
  while (!connections.idle.empty()) {
    auto connection = std::move(connections.idle.back().connection);
    connections.idle.pop_back();
    if (!connection->has_unread_input()) {
      ++connections.in_use;
      return {.connection = std::move(connection), .reused = true};
    }
  }
  if (connections.in_use >= max_in_use) {
    return {};
  }
  return {.connection = open(server, endpoint)};
}

void ConnectionPool::set_keep_alive(std::string_view server, Duration keep_alive) {
  connections_for(server).keep_alive = keep_alive;
}

void ConnectionPool::release(std::string_view server,
                             std::unique_ptr<ClientConnection> connection,
                             bool may_reuse,
                             Instant now) {
  ServerConnections& connections = connections_for(server);
  --connections.in_use;
  const Duration reuse_time = connections.keep_alive - kKeepAliveMargin;
  if (may_reuse && connection->idle() && reuse_time > Duration{0}) {
    connections.idle.push_back({std::move(connection), now + reuse_time});
    return;
  }
  connection->close();
  loop_.impl().defer([closing = std::shared_ptr<ClientConnection>(
                          std::move(connection))]() mutable { closing.reset(); });
}

void ConnectionPool::close_expired_connections(Instant now) {
  for (auto& [server, connections] : connections_) {
    close_unusable(connections, now);
  }
  std::erase_if(connections_, [](const auto& entry) {
    return entry.second.idle.empty() && entry.second.in_use == 0;
  });
}

void ConnectionPool::close_idle_connections(std::string_view server) {
  if (const auto found = connections_.find(server); found != connections_.end()) {
    found->second.idle.clear();
  }
}

void ConnectionPool::close_idle_connections() {
  for (auto& [server, connections] : connections_) {
    connections.idle.clear();
  }
}

}  // namespace bluebellstep
