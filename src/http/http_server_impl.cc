// Listening socket, connections and lifetime of a server. See http_server_exchange.cc for
// exchanges.

#include "http/http_server_impl.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <utility>

#include "base/log_event.h"
#include "http/listening_socket.h"

namespace bluebellstep {
namespace {

// Limit for the connections accepted in one loop iteration, so that a burst does not delay streams.
constexpr std::size_t kAcceptBatch = 64;

// Delay before accepting again after the process ran out of file descriptors. Without it the loop
// would spin, since the listening socket stays readable.
constexpr Duration kAcceptRetryDelay{100};

}  // namespace

HttpServer::Impl::Impl(HttpLoop::Impl& loop, HttpServerOptions options, Listener listener)
    : loop_(loop), options_(std::move(options)), listener_(std::move(listener)) {
  listen();
}

HttpServer::Impl::~Impl() {
  if (listen_fd_ >= 0) {
    ::close(listen_fd_);
  }
}

void HttpServer::Impl::listen() {
  const ListeningSocket socket = open_listening_socket(options_.listen);
  listen_fd_ = socket.fd;
  const int receive_buffer = options_.receive_buffer_bytes;
  if (receive_buffer > 0 && ::setsockopt(listen_fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                                         sizeof(receive_buffer)) != 0) {
    LogEvent("socket_option_refused", LogEvent::Severity::kWarning).field("option", SO_RCVBUF);
  }
  port_ = socket.port;
}

void HttpServer::Impl::configure() {
  h2o_config_init(&config_);
  config_.server_name = h2o_iovec_init(H2O_STRLIT("bluebellstep"));
  config_.max_request_entity_size = options_.max_body_bytes;
  h2o_hostconf_t* host =
      h2o_config_register_host(&config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* handler = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
  handler->base.on_req = on_request;
  handler->server = this;
  h2o_context_init(&context_, loop_.loop(), &config_);
  accept_context_.ctx = &context_;
  accept_context_.hosts = config_.hosts;
}

void HttpServer::Impl::start() {
  self_ = shared_from_this();
  loop_.adjust_closing_count(1);
  configure();
  listen_socket_ = h2o_evloop_socket_create(loop_.loop(), std::exchange(listen_fd_, -1),
                                            H2O_SOCKET_FLAG_DONT_READ);
  listen_socket_->data = this;
  h2o_socket_read_start(listen_socket_, on_accept);
}

void HttpServer::Impl::stop_accepting() {
  if (listen_socket_ == nullptr) {
    return;
  }
  h2o_socket_read_stop(listen_socket_);
  h2o_socket_close(std::exchange(listen_socket_, nullptr));
  h2o_context_request_shutdown(&context_);
}

void HttpServer::Impl::close() {
  listener_ = {};
  stop_accepting();
  closed_ = true;
  std::vector<ExchangeId> open;
  for (const auto& [id, exchange] : exchanges_) {
    open.push_back(id);
  }
  for (Connection* connection : connections_) {
    ::shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
  }
  for (const ExchangeId id : open) {
    abort(id);
  }
  dispose_if_idle();
}

void HttpServer::Impl::dispose_if_idle() {
  if (!closed_ || !connections_.empty() || self_ == nullptr) {
    return;
  }
  // Deferred, since h2o still uses the connection that was closed last.
  loop_.defer([self = std::exchange(self_, nullptr)] {
    // `h2o_context_request_shutdown` starts a timer that `h2o_context_dispose` does not stop.
    h2o_timeout_unlink(&self->context_.http2._graceful_shutdown_timeout);
    h2o_context_dispose(&self->context_);
    h2o_config_dispose(&self->config_);
    self->loop_.adjust_closing_count(-1);
  });
}

void HttpServer::Impl::on_accept(h2o_socket_t* listener, const char* error) {
  auto* server = static_cast<Impl*>(listener->data);
  if (error == nullptr) {
    server->accept_connections();
  }
}

void HttpServer::Impl::accept_connections() {
  // Connections that are shut down for others are closed after the next wait only, so that up to a
  // batch exists beyond the limit.
  const std::size_t batch = std::min(kAcceptBatch, options_.max_connections / 2 + 1);
  for (std::size_t i = 0; i < batch && listen_socket_ != nullptr; ++i) {
    errno = 0;
    h2o_socket_t* socket = h2o_evloop_socket_accept(listen_socket_);
    if (socket != nullptr) {
      add_connection(socket);
      continue;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      LogEvent("accept_failed", LogEvent::Severity::kWarning).field("errno", errno);
      h2o_socket_read_stop(listen_socket_);
      loop_.post_after(kAcceptRetryDelay, [self = weak_from_this()] {
        const auto server = self.lock();
        if (server != nullptr && server->listen_socket_ != nullptr) {
          h2o_socket_read_start(server->listen_socket_, on_accept);
        }
      });
    }
    return;
  }
}

void HttpServer::Impl::add_connection(h2o_socket_t* socket) {
  if (connections_.size() - closing_connections_ >= options_.max_connections &&
      !close_oldest_connection()) {
    h2o_socket_close(socket);
    return;
  }
  auto* connection =
      new Connection{.server = this, .socket = socket, .number = next_connection_number_++};
  connections_.insert(connection);
  socket->on_close.data = connection;
  socket->on_close.cb = [](void* data) {
    auto* closed = static_cast<Connection*>(data);
    closed->server->remove_connection(closed);
  };
  h2o_accept(&accept_context_, socket);
}

bool HttpServer::Impl::close_oldest_connection() {
  Connection* oldest = nullptr;
  for (Connection* connection : connections_) {
    if (!connection->closing && connection->exchange == nullptr &&
        (oldest == nullptr || connection->number < oldest->number)) {
      oldest = connection;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  oldest->closing = true;
  ++closing_connections_;
  ::shutdown(h2o_socket_get_fd(oldest->socket), SHUT_RDWR);
  return true;
}

void HttpServer::Impl::remove_connection(Connection* connection) {
  connections_.erase(connection);
  closing_connections_ -= connection->closing ? 1 : 0;
  if (connection->exchange != nullptr) {
    connection->exchange->connection = nullptr;
  }
  delete connection;
  dispose_if_idle();
}

}  // namespace bluebellstep
