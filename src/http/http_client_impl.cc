// Implements the calls of the HTTP client with h2o's HTTP/1 client.

#include "http/http_client_impl.h"

#include <algorithm>
#include <limits>

#include "http/header_check.h"
#include "http/socket_options.h"

namespace bluebellstep {
namespace {

// Most servers close idle connections after 5 s or more. The client closes them earlier, so that a
// request is rarely sent on a connection that the server is closing.
constexpr std::uint64_t kMaxIdleMs = 4000;

// The pool of an endpoint is removed after this time without calls, since instances are started and
// removed over time.
constexpr Duration kPoolRetention{60000};

}  // namespace

HttpClient::Impl::Pool::Pool(h2o_loop_t* loop, SocketAddress address) {
  h2o_socketpool_init_by_address(&sockets, address.get(), address.length, /*is_ssl=*/0,
                                 std::numeric_limits<std::size_t>::max());
  h2o_socketpool_set_timeout(&sockets, loop, kMaxIdleMs);
}

HttpClient::Impl::Pool::~Pool() {
  h2o_socketpool_dispose(&sockets);
}

std::string HttpClient::Impl::build_head(const HttpCall& request) {
  std::string head;
  head.reserve(256);
  head += request.method;
  head += ' ';
  head += request.path;
  head += " HTTP/1.1\r\nhost: ";
  head += to_string(request.endpoint);
  head += "\r\n";
  for (const HttpHeader& header : request.headers) {
    if (is_reserved_header(header.name)) {
      continue;
    }
    head += header.name;
    head += ": ";
    head += header.value;
    head += "\r\n";
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    head += "content-length: ";
    head += std::to_string(request.body.size());
    head += "\r\n";
  }
  head += "\r\n";
  return head;
}

void HttpClient::Impl::start(HttpCallId id, HttpCall request, Listener listener) {
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.owner = this;
  call.id = id;
  call.request = std::move(request);
  call.listener = std::move(listener);
  calls_.emplace(id, std::move(owned));
  set_deadline(call, call.request.connect_timeout);
  if (!is_token(call.request.method) || !is_valid_path(call.request.path) ||
      !std::all_of(call.request.headers.begin(), call.request.headers.end(), is_valid_header)) {
    finish(call, Failed{.may_have_been_sent = false,
                        .detail = "the method, the path or a header contains invalid characters"});
    return;
  }
  call.pool = call.request.own_connection ? make_pool(call.request.endpoint)
                                          : pool_for(call.request.endpoint);
  if (call.pool == nullptr) {
    finish(call, Failed{.may_have_been_sent = false,
                        .detail = "not an IP address: " + call.request.endpoint.ip});
    return;
  }
  call.head = build_head(call.request);
  call.context.loop = loop_.loop();
  call.context.io_timeout = loop_.long_timeout();
  h2o_http1client_connect_with_pool(&call.client, &call, &call.context, &call.pool->sockets,
                                    on_connect);
}

std::shared_ptr<HttpClient::Impl::Pool> HttpClient::Impl::make_pool(
    const Endpoint& endpoint) const {
  const std::optional<SocketAddress> address = to_socket_address(endpoint);
  return address ? std::make_shared<Pool>(loop_.loop(), *address) : nullptr;
}

std::shared_ptr<HttpClient::Impl::Pool> HttpClient::Impl::pool_for(const Endpoint& endpoint) {
  const Instant now = loop_.now();
  remove_unused_pools(now);
  std::shared_ptr<Pool>& pool = pools_[{endpoint.ip, endpoint.port}];
  if (pool == nullptr) {
    pool = make_pool(endpoint);
    if (pool == nullptr) {
      pools_.erase({endpoint.ip, endpoint.port});
      return nullptr;
    }
  }
  pool->last_used_at = now;
  return pool;
}

void HttpClient::Impl::remove_unused_pools(Instant now) {
  if (now - last_pool_check_at_ < kPoolRetention) {
    return;
  }
  last_pool_check_at_ = now;
  std::erase_if(pools_, [now](const auto& entry) {
    return entry.second.use_count() == 1 && now - entry.second->last_used_at >= kPoolRetention;
  });
}

HttpClient::Impl::Call* HttpClient::Impl::find(HttpCallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second.get();
}

h2o_http1client_head_cb HttpClient::Impl::on_connect(h2o_http1client_t* client,
                                                     const char* error,
                                                     h2o_iovec_t** buffers,
                                                     std::size_t* buffer_count,
                                                     int* is_head) {
  Call& call = *static_cast<Call*>(client->data);
  const auto self = call.owner->shared_from_this();
  call.client = client;
  if (error != nullptr) {
    self->finish(call, Failed{.may_have_been_sent = false,
                              .detail = to_string(call.request.endpoint) + ": " + error});
    return nullptr;
  }
  call.request_sent = true;
  if (call.request.response_timeout) {
    call.response_deadline = self->loop_.now() + *call.request.response_timeout;
  }
  configure_tcp_socket(h2o_socket_get_fd(client->sock));
  self->set_deadline(call, call.request.idle_timeout);
  call.buffers[0] = h2o_iovec_init(call.head.data(), call.head.size());
  call.buffers[1] = h2o_iovec_init(call.request.body.data(), call.request.body.size());
  *buffers = call.buffers.data();
  *buffer_count = call.request.body.empty() ? 1 : 2;
  *is_head = call.request.method == "HEAD" ? 1 : 0;
  return on_head;
}

h2o_http1client_body_cb HttpClient::Impl::on_head(h2o_http1client_t* client,
                                                  const char* error,
                                                  int,
                                                  int status,
                                                  h2o_iovec_t,
                                                  h2o_header_t* headers,
                                                  std::size_t header_count,
                                                  int head_length) {
  Call& call = *static_cast<Call*>(client->data);
  const auto self = call.owner->shared_from_this();
  const bool is_end = error == h2o_http1client_error_is_eos;
  call.head_received = true;
  if (error != nullptr && !is_end) {
    self->finish(call, Failed{.may_have_been_sent = true,
                              .detail = to_string(call.request.endpoint) + ": " + error});
    return nullptr;
  }
  const auto framing = check_head(call, static_cast<std::size_t>(head_length));
  if (!framing) {
    self->finish(call, Failed{.may_have_been_sent = true,
                              .detail = to_string(call.request.endpoint) +
                                        ": response with an invalid head"});
    return nullptr;
  }
  call.framing = *framing;
  self->deliver_head(call, status, {headers, header_count});
  if (call.cancelled) {
    self->release(call);
    return nullptr;
  }
  if (is_end) {
    self->finish(call, Complete{});
    return nullptr;
  }
  return on_body;
}

std::optional<BodyFraming> HttpClient::Impl::check_head(const Call& call, std::size_t head_length) {
  // h2o removes the head from the input after `on_head`.
  const std::string_view bytes(call.client->sock->input->bytes, head_length);
  MessageHead head;
  std::size_t consumed = 0;
  return parse_response_head(bytes, head, consumed) == HeadStatus::kComplete
             ? response_framing(head, call.request.method)
             : std::nullopt;
}

void HttpClient::Impl::deliver_head(Call& call, int status, std::span<const h2o_header_t> headers) {
  extend_deadline(call);
  std::vector<HttpHeader> copied;
  copied.reserve(headers.size());
  for (const h2o_header_t& header : headers) {
    copied.push_back({std::string(header.name->base, header.name->len),
                      std::string(header.value.base, header.value.len)});
  }
  if (call.listener.on_head) {
    call.in_callback = true;
    call.listener.on_head(status, copied);
    call.in_callback = false;
  }
}

int HttpClient::Impl::on_body(h2o_http1client_t* client, const char* error) {
  Call& call = *static_cast<Call*>(client->data);
  const auto self = call.owner->shared_from_this();
  return self->deliver_body(call, error);
}

int HttpClient::Impl::deliver_body(Call& call, const char* error) {
  const bool is_end = error == h2o_http1client_error_is_eos;
  if (error != nullptr && !is_end) {
    finish(call, Failed{.may_have_been_sent = true,
                        .detail = to_string(call.request.endpoint) + ": " + error});
    return -1;
  }
  h2o_socket_t* socket = call.client->sock;
  // h2o reports a body that ends with the connection as complete, even if that ends with an error.
  const bool ends_with_connection = std::holds_alternative<UntilCloseBody>(call.framing);
  // It also reports a chunked body as complete that is truncated between two chunks. However, the
  // end of a complete body comes with received bytes.
  const bool has_no_end = socket->bytes_read == 0 && !std::holds_alternative<NoBody>(call.framing);
  const bool is_truncated = is_end && (ends_with_connection || has_no_end);
  extend_deadline(call);
  call.body_bytes += socket->input->size;
  if (call.body_bytes > call.request.max_response_bytes) {
    finish(call, Failed{.may_have_been_sent = true,
                        .detail = to_string(call.request.endpoint) + ": response larger than " +
                                  std::to_string(call.request.max_response_bytes) + " bytes"});
    return -1;
  }
  if (call.listener.on_data && socket->input->size > 0) {
    call.in_callback = true;
    call.listener.on_data({socket->input->bytes, socket->input->size});
    call.in_callback = false;
  }
  h2o_buffer_consume(&socket->input, socket->input->size);
  if (call.cancelled) {
    release(call);
    return -1;
  }
  if (is_truncated) {
    finish(call, Failed{.may_have_been_sent = true,
                        .detail = to_string(call.request.endpoint) +
                                  (ends_with_connection
                                       ? ": response without a length"
                                       : ": connection closed before the end of the response")});
  } else if (is_end) {
    finish(call, Complete{});
  }
  return 0;
}

void HttpClient::Impl::finish(Call& call, const Outcome& outcome) {
  const auto on_done = std::move(call.listener.on_done);
  const bool cancelled = call.cancelled;
  release(call);
  if (on_done && !cancelled) {
    on_done(outcome);
  }
}

void HttpClient::Impl::release(Call& call) {
  deadlines_.erase({call.queued_deadline, call.id});
  // Deferred, since h2o may still use the call and its pool in the current callback.
  loop_.defer(
      [call_to_free = std::shared_ptr<Call>(std::move(calls_.extract(call.id).mapped()))] {});
}

void HttpClient::Impl::cancel_request(Call& call) {
  if (call.client != nullptr) {
    h2o_http1client_cancel(call.client);
  }
  call.client = nullptr;
}

bool HttpClient::Impl::cancel(HttpCallId id) {
  Call* call = find(id);
  if (call == nullptr) {
    return false;
  }
  call->cancelled = true;
  call->listener.on_done = nullptr;
  if (!call->in_callback) {
    cancel_request(*call);
    release(*call);
  }
  return true;
}

void HttpClient::Impl::cancel_all() {
  std::vector<HttpCallId> open;
  for (const auto& [id, call] : calls_) {
    open.push_back(id);
  }
  for (const HttpCallId id : open) {
    cancel(id);
  }
  // Deferred, like the release of the calls. Pools in use are kept alive by their calls.
  loop_.defer([pools = std::make_shared<decltype(pools_)>(std::exchange(pools_, {}))] {});
}

void HttpClient::Impl::fail_timed_out(Call& call) {
  const bool request_sent = call.request_sent;
  const bool incomplete =
      call.response_deadline && call.deadline >= *call.response_deadline && call.body_bytes > 0;
  const Duration limit = incomplete     ? *call.request.response_timeout
                         : request_sent ? call.request.idle_timeout
                                        : call.request.connect_timeout;
  cancel_request(call);
  // Other idle connections to this endpoint may be unresponsive as well, while new ones work.
  pools_.erase({call.request.endpoint.ip, call.request.endpoint.port});
  finish(call, Failed{.may_have_been_sent = request_sent,
                      .detail = to_string(call.request.endpoint) +
                                (incomplete     ? ": response incomplete after "
                                 : request_sent ? ": no data for "
                                                : ": not connected within ") +
                                std::to_string(limit.ms) + " ms"});
}

void HttpClient::Impl::start_head_checks() {
  loop_.check_after_polls([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr) {
      self->check_heads();
    }
    return self != nullptr;
  });
}

void HttpClient::Impl::check_heads() {
  std::vector<HttpCallId> too_large;
  for (const auto& [id, call] : calls_) {
    if (call->request_sent && !call->head_received && call->client != nullptr &&
        call->client->sock->input->size > kMaxHeadBytes) {
      too_large.push_back(id);
    }
  }
  for (const HttpCallId id : too_large) {
    if (Call* call = find(id)) {
      cancel_request(*call);
      finish(*call,
             Failed{.may_have_been_sent = true,
                    .detail = to_string(call->request.endpoint) + ": response head larger than " +
                              std::to_string(kMaxHeadBytes) + " bytes"});
    }
  }
}

void HttpClient::Impl::set_deadline(Call& call, Duration timeout) {
  deadlines_.erase({call.queued_deadline, call.id});
  call.deadline = loop_.now() + timeout;
  call.queued_deadline = call.deadline;
  deadlines_.insert({call.queued_deadline, call.id});
  arm_timer();
}

void HttpClient::Impl::extend_deadline(Call& call) {
  call.deadline = loop_.now() + call.request.idle_timeout;
  if (call.response_deadline) {
    call.deadline = std::min(call.deadline, *call.response_deadline);
  }
}

void HttpClient::Impl::arm_timer() {
  if (deadlines_.empty()) {
    return;
  }
  const Instant first = deadlines_.begin()->first;
  if (timer_at_ && *timer_at_ <= first) {
    return;
  }
  timer_at_ = first;
  loop_.post_after(first - loop_.now(), [weak = weak_from_this(), first] {
    const auto self = weak.lock();
    if (self != nullptr && self->timer_at_ == first) {
      self->timer_at_.reset();
      self->check_deadlines();
    }
  });
}

void HttpClient::Impl::check_deadlines() {
  const Instant now = loop_.now();
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    Call& call = *calls_.at(deadlines_.begin()->second);
    if (call.deadline <= now) {
      fail_timed_out(call);
    } else {
      set_deadline(call, call.deadline - now);
    }
  }
  arm_timer();
}

}  // namespace bluebellstep
