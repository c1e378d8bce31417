// Accepts connections and routes requests and responses by connection id.

#include "gateway/caller_listener.h"

#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "base/log_event.h"
#include "http/http_loop_impl.h"
#include "http/listening_socket.h"

namespace bluebellstep {
namespace {

// Further connections are accepted in the next step of the event loop.
constexpr int kMaxAcceptsPerStep = 32;
// Above the length of the queue of the listening socket.
constexpr int kMaxWaitingConnections = 10'000;

}  // namespace

CallerListener::CallerListener(HttpLoop& loop,
                               const Endpoint& listen,
                               Forwarder& forwarder,
                               const CallerListenerOptions& options,
                               Metrics* metrics)
    : loop_(loop),
      forwarder_(forwarder),
      metrics_(metrics),
      account_(std::make_shared<MemoryAccount>(options.memory)),
      max_connections_(options.max_connections == 0 ? default_max_connections(options.memory)
                                                    : options.max_connections),
      min_bytes_per_s_(options.min_bytes_per_s) {
  const ListeningSocket socket = open_listening_socket(listen);
  listener_ = h2o_evloop_socket_create(loop_.impl().loop(), socket.fd, H2O_SOCKET_FLAG_DONT_READ);
  listener_->data = this;
  h2o_socket_read_start(listener_, on_accept);
  check_connections();
}

CallerListener::~CallerListener() {
  if (listener_ != nullptr) {
    h2o_socket_close(listener_);
  }
}

void CallerListener::on_accept(h2o_socket_t* listener, const char* error) {
  if (error != nullptr) {
    return;
  }
  static_cast<CallerListener*>(listener->data)->accept_waiting(kMaxAcceptsPerStep);
}

std::size_t CallerListener::default_max_connections(const MemoryLimits& memory) {
  const std::size_t fit_in_memory = memory.total / 4 / CallerConnection::kBaseBytes;
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return fit_in_memory;
  }
  return std::min(static_cast<std::size_t>(limit.rlim_cur) / 4 * 3, fit_in_memory);
}

void CallerListener::accept_waiting(int max_accepts) {
  for (int i = 0; i < max_accepts && connections_.size() < max_connections_; ++i) {
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener_);
    if (socket == nullptr) {
      return;
    }
    add(socket);
  }
  update_accepting();
}

void CallerListener::update_accepting() {
  if (listener_ == nullptr) {
    return;
  }
  const bool accepting = h2o_socket_is_reading(listener_) != 0;
  const bool allowed = connections_.size() < max_connections_;
  if (accepting == allowed) {
    return;
  }
  LogEvent("accepting_changed", LogEvent::Severity::kWarning)
      .field("accepting", allowed)
      .field("connections", static_cast<std::uint64_t>(connections_.size()));
  if (allowed) {
    h2o_socket_read_start(listener_, on_accept);
  } else {
    h2o_socket_read_stop(listener_);
  }
}

void CallerListener::add(h2o_socket_t* socket) {
  const CallerConnectionId id{next_id_++};
  if (!account_->has_room(CallerConnection::kBaseBytes) && !close_worst_holder(id)) {
    h2o_socket_close(socket);
    count_closed("no_room");
    return;
  }
  const CallerLimits limits = forwarder_.config() ? forwarder_.config()->limits : CallerLimits{};
  Connection& entry = connections_[id];
  entry.connection = std::make_unique<CallerConnection>(
      loop_, socket, limits, min_bytes_per_s_, account_,
      CallerConnection::Listener{
          .on_request = [this, id](CallerRequest request) { on_request(id, std::move(request)); },
          .on_request_error =
              [this, id](CallerRequestError request_error) { on_request_error(id, request_error); },
          .on_closed = [this, id] { remove(id); },
          .on_no_room = [this, id] { return close_worst_holder(id); },
          .on_response_dropped =
              [this, id] {
                count_closed("response_dropped");
                loop_.impl().defer([this, id, alive = std::weak_ptr<bool>(alive_)] {
                  if (!alive.expired()) {
                    remove(id);
                  }
                });
              }});
  connections_by_holder_.emplace(entry.connection->holder(), id);
}

bool CallerListener::close_worst_holder(CallerConnectionId id) {
  const Connection* entry = find(id);
  const HolderId except =
      entry == nullptr || entry->connection == nullptr ? HolderId{} : entry->connection->holder();
  const auto worst = account_->worst_holder(clock_.now(), except);
  // The refusal below needs little room. For that, the connection that asks for room must not be
  // closed within its own call.
  if (!worst || closing_worst_holder_) {
    return false;
  }
  closing_worst_holder_ = true;
  const CallerConnectionId victim = connections_by_holder_.at(*worst);
  CallerConnection& connection = *find(victim)->connection;
  LogEvent("caller_closed", LogEvent::Severity::kWarning)
      .field("connection", victim.value)
      .field("why", "memory")
      .field("held", static_cast<std::uint64_t>(account_->held(*worst)))
      .field("unsent", static_cast<std::uint64_t>(connection.unsent()))
      .field("used", static_cast<std::uint64_t>(account_->used()))
      .field("requests", connection.request_count());
  count_closed("memory");
  if (!connection.refuse_body()) {
    remove(victim);
    connection.discard();
  }
  closing_worst_holder_ = false;
  return true;
}

void CallerListener::count_closed(std::string_view kind) {
  if (metrics_ != nullptr) {
    metrics_->count("bluebellstep_gateway_callers_closed_total", std::string(kind));
  }
}

CallerListener::Connection* CallerListener::find(CallerConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() || found->second.removal_pending ? nullptr : &found->second;
}

void CallerListener::on_request(CallerConnectionId id, CallerRequest request) {
  CallerResponseWriter writer;
  writer.write = [this, id](std::string_view bytes) {
    if (Connection* entry = find(id)) {
      entry->connection->send(bytes);
    }
  };
  writer.write_body = [this, id](std::string head, std::shared_ptr<const std::string> body) {
    if (Connection* entry = find(id)) {
      entry->connection->send(std::move(head), std::move(body));
    }
  };
  writer.complete = [this, id](bool close) {
    Connection* entry = find(id);
    if (entry == nullptr) {
      return;
    }
    entry->request_id.reset();
    // Deferred, since the next request must not start before the forwarder has finished this one.
    loop_.impl().defer([this, id, close, alive = std::weak_ptr<bool>(alive_)] {
      Connection* current = alive.expired() ? nullptr : find(id);
      if (current != nullptr) {
        current->connection->finish_response(close, clock_.now());
      }
    });
  };
  writer.abort = [this, id](bool reset) {
    if (Connection* entry = find(id)) {
      entry->request_id.reset();
      if (reset) {
        entry->connection->reset();
      }
    }
    remove(id);
  };
  writer.unsent = [this, id] {
    Connection* entry = find(id);
    return entry == nullptr ? std::size_t{0} : entry->connection->unsent();
  };
  writer.caller_left = [this, id] {
    Connection* entry = find(id);
    return entry == nullptr || entry->connection->caller_left();
  };
  const RequestId request_id = forwarder_.start(std::move(request), std::move(writer));
  if (Connection* entry = find(id); entry != nullptr && forwarder_.contains(request_id)) {
    entry->request_id = request_id;
  }
}

void CallerListener::on_request_error(CallerConnectionId id, CallerRequestError request_error) {
  Connection* entry = find(id);
  if (entry == nullptr) {
    return;
  }
  LogEvent("caller_fault")
      .field("connection", id.value)
      .field("fault", static_cast<int>(request_error))
      .field("requests", entry->connection->request_count());
  entry->connection->send(Forwarder::error_response(request_error));
  entry->connection->finish_response(true, clock_.now());
}

void CallerListener::remove(CallerConnectionId id) {
  Connection* entry = find(id);
  if (entry == nullptr) {
    return;
  }
  entry->removal_pending = true;
  connections_by_holder_.erase(entry->connection->holder());
  // It must not be chosen again, and its base is released with the object.
  account_->remove_holder(entry->connection->holder());
  if (entry->request_id) {
    forwarder_.on_caller_disconnected(*std::exchange(entry->request_id, std::nullopt));
  }
  // Deferred, since this may run inside a callback of the connection.
  loop_.impl().defer([this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      connections_.erase(id);
      update_accepting();
    }
  });
}

void CallerListener::check_connections() {
  const Instant now = clock_.now();
  const CallerLimits limits = forwarder_.config() ? forwarder_.config()->limits : CallerLimits{};
  std::vector<CallerConnectionId> expired;
  for (auto& [id, entry] : connections_) {
    if (!entry.removal_pending && !entry.connection->check_timeouts(limits, now)) {
      expired.push_back(id);
    }
  }
  for (const CallerConnectionId id : expired) {
    remove(id);
  }
  close_idle_for_waiting(now);
  if (metrics_ != nullptr) {
    metrics_->set("bluebellstep_gateway_caller_bytes", static_cast<double>(account_->used()));
  }
  forwarder_.close_expired_connections(now);
  loop_.post_after(kCheckInterval, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      check_connections();
    }
  });
}

void CallerListener::close_idle_for_waiting(Instant now) {
  // As many as are accepted in some steps of the event loop.
  constexpr std::size_t kMaxClosed = 64;
  if (listener_ == nullptr || connections_.size() < max_connections_) {
    return;
  }
  pollfd waiting{.fd = h2o_socket_get_fd(listener_), .events = POLLIN, .revents = 0};
  if (::poll(&waiting, 1, 0) <= 0) {
    return;
  }
  std::vector<std::pair<Instant, CallerConnectionId>> idle;
  for (const auto& [id, entry] : connections_) {
    if (entry.removal_pending || !entry.connection->idle()) {
      continue;
    }
    const bool unused = entry.connection->request_count() == 0;
    const Instant since = entry.connection->idle_since();
    if (entry.connection->quiet_since(now - (unused ? kUnusedIdleTime : kUsedIdleTime))) {
      // Unused ones first.
      idle.emplace_back(unused ? Instant{since.ms - now.ms} : since, id);
    }
  }
  std::sort(idle.begin(), idle.end());
  idle.resize(std::min(idle.size(), kMaxClosed));
  for (const auto& [since, id] : idle) {
    count_closed("idle");
    remove(id);
  }
}

void CallerListener::stop_accepting() {
  if (listener_ == nullptr) {
    return;
  }
  // Closing the listening socket resets the connections that wait, whose requests may have arrived.
  max_connections_ = std::numeric_limits<std::size_t>::max();
  accept_waiting(kMaxWaitingConnections);
  h2o_socket_close(std::exchange(listener_, nullptr));
  close_quiet_connections();
}

void CallerListener::close_quiet_connections() {
  const Instant since = clock_.now() - kQuietTime;
  std::vector<CallerConnectionId> quiet;
  for (const auto& [id, entry] : connections_) {
    if (!entry.removal_pending && entry.connection->quiet_since(since)) {
      quiet.push_back(id);
    }
  }
  for (const CallerConnectionId id : quiet) {
    remove(id);
  }
  loop_.post_after(kQuietCheckInterval, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      close_quiet_connections();
    }
  });
}

std::size_t CallerListener::open_requests() const {
  const bool stopping = listener_ == nullptr;
  std::size_t open = 0;
  for (const auto& [id, entry] : connections_) {
    open += !entry.removal_pending && (stopping || !entry.connection->idle()) ? 1 : 0;
  }
  return open;
}

}  // namespace bluebellstep
