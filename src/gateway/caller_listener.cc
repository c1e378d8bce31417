// Callers' connections by id.

#include "gateway/caller_listener.h"

#include <utility>
#include <vector>

#include "base/log_event.h"
#include "http/http_loop_impl.h"
#include "http/listening_socket.h"

namespace bluebellstep {
namespace {

// Connections that are accepted in one step of the loop.
constexpr int kAcceptBatch = 32;

}  // namespace

CallerListener::CallerListener(HttpLoop& loop, const Endpoint& listen, Forwarder& forwarder)
    : loop_(loop), forwarder_(forwarder) {
  const ListeningSocket socket = open_listening_socket(listen);
  listener_ = h2o_evloop_socket_create(loop_.impl().loop(), socket.fd, H2O_SOCKET_FLAG_DONT_READ);
  listener_->data = this;
  h2o_socket_read_start(listener_, on_accept);
  check_times();
}

CallerListener::~CallerListener() {
  stop_accepting();
}

void CallerListener::on_accept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) {
    return;
  }
  auto* self = static_cast<CallerListener*>(listener->data);
  for (int i = 0; i < kAcceptBatch; ++i) {
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (socket == nullptr) {
      return;
    }
    self->add(socket);
  }
}

void CallerListener::add(h2o_socket_t* socket) {
  const CallerConnectionId id{next_id_++};
  const CallerLimits limits = forwarder_.config() ? forwarder_.config()->limits : CallerLimits{};
  Connection& entry = connections_[id];
  entry.connection = std::make_unique<CallerConnection>(
      socket, limits, clock_.now(),
      CallerConnection::Listener{
          .on_request = [this, id](CallerRequest message) { on_request(id, std::move(message)); },
          .on_fault = [this, id](CallerRequestError fault) { on_fault(id, fault); },
          .on_gone = [this, id] { remove(id); }});
}

CallerListener::Connection* CallerListener::find(CallerConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() || found->second.ended ? nullptr : &found->second;
}

void CallerListener::on_request(CallerConnectionId id, CallerRequest message) {
  CallerResponseWriter sink;
  sink.send = [this, id](std::string_view bytes) {
    if (Connection* connection = find(id)) {
      connection->connection->send(bytes);
    }
  };
  sink.done = [this, id](bool close) {
    Connection* connection = find(id);
    if (connection == nullptr) {
      return;
    }
    connection->request.reset();
    // Later, since the next request must not start within the end of this one.
    loop_.impl().defer([this, id, close, alive = std::weak_ptr<bool>(alive_)] {
      Connection* later = alive.expired() ? nullptr : find(id);
      if (later != nullptr) {
        later->connection->response_done(close, clock_.now());
      }
    });
  };
  sink.abort = [this, id] {
    if (Connection* connection = find(id)) {
      connection->request.reset();
    }
    remove(id);
  };
  sink.unsent = [this, id] {
    Connection* connection = find(id);
    return connection == nullptr ? std::size_t{0} : connection->connection->unsent();
  };
  const RequestId request = forwarder_.start(std::move(message), std::move(sink));
  if (Connection* connection = find(id); connection != nullptr && forwarder_.contains(request)) {
    connection->request = request;
  }
}

void CallerListener::on_fault(CallerConnectionId id, CallerRequestError fault) {
  Connection* connection = find(id);
  if (connection == nullptr) {
    return;
  }
  LogEvent("caller_fault")
      .field("connection", id.value)
      .field("fault", static_cast<int>(fault))
      .field("requests", connection->connection->requests());
  connection->connection->send(Forwarder::fault_reply(fault));
  connection->connection->response_done(true, clock_.now());
}

void CallerListener::remove(CallerConnectionId id) {
  Connection* connection = find(id);
  if (connection == nullptr) {
    return;
  }
  connection->ended = true;
  if (connection->request) {
    forwarder_.caller_left(*std::exchange(connection->request, std::nullopt));
  }
  // Later, since the connection may be in one of its callbacks.
  loop_.impl().defer([this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      connections_.erase(id);
    }
  });
}

void CallerListener::check_times() {
  const Instant now = clock_.now();
  const CallerLimits limits = forwarder_.config() ? forwarder_.config()->limits : CallerLimits{};
  std::vector<CallerConnectionId> expired;
  for (auto& [id, entry] : connections_) {
    if (!entry.ended && !entry.connection->check_time(limits, now)) {
      expired.push_back(id);
    }
  }
  for (const CallerConnectionId id : expired) {
    remove(id);
  }
  forwarder_.close_unused(now);
  loop_.post_after(kCheckInterval, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      check_times();
    }
  });
}

void CallerListener::stop_accepting() {
  if (listener_ != nullptr) {
    h2o_socket_close(std::exchange(listener_, nullptr));
  }
  std::vector<CallerConnectionId> idle;
  for (const auto& [id, entry] : connections_) {
    if (!entry.ended && entry.connection->idle()) {
      idle.push_back(id);
    }
  }
  for (const CallerConnectionId id : idle) {
    remove(id);
  }
}

std::size_t CallerListener::open_requests() const {
  std::size_t open = 0;
  for (const auto& [id, entry] : connections_) {
    open += !entry.ended && !entry.connection->idle() ? 1 : 0;
  }
  return open;
}

}  // namespace bluebellstep
