// Implements the calls of the HTTP client on connections whose responses the parser of this project
// reads.

#include "http/http_client_impl.h"

#include <algorithm>
#include <limits>
#include <span>
#include <vector>

#include "base/log_event.h"
#include "http/header_check.h"
#include "http/socket_address.h"

namespace bluebellstep {
namespace {

// Interval of the checks for idle connections that have expired.
constexpr Duration kIdleCheckInterval{1000};

std::string to_lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c; });
  return lower;
}

std::vector<HttpHeader> copy_headers(const MessageHead& head) {
  std::vector<HttpHeader> headers;
  headers.reserve(head.fields.size());
  for (const HeaderField& field : head.fields) {
    headers.push_back({to_lower(field.name), std::string(field.value)});
  }
  return headers;
}

// Whether the server keeps the connection open after the response: RFC 9112, section 9.3.
bool keeps_connection(const MessageHead& head) {
  const std::string_view options = head.find("connection").value_or("");
  return !list_contains(options, "close") &&
         (head.minor_version > 0 || list_contains(options, "keep-alive"));
}

}  // namespace

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
  if (!to_socket_address(call.request.endpoint)) {
    finish(call, Failed{.may_have_been_sent = false,
                        .detail = "not an IP address: " + call.request.endpoint.ip});
    return;
  }
  call.server = to_string(call.request.endpoint);
  if (call.request.own_connection) {
    call.connection = connections_.open(call.server, call.request.endpoint);
  } else {
    constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
    ConnectionPool::Acquired acquired =
        connections_.acquire(call.server, call.request.endpoint, kUnlimited, loop_.now());
    call.connection = std::move(acquired.connection);
    if (acquired.reused) {
      on_connected(call);
    }
  }
  if (call.connection->ended()) {
    fail(call, ": no connection could be opened");
    return;
  }
  // A callback finds its call by the id, since it may have been cancelled. The client stays alive
  // until the callback returns, although a listener may destroy it.
  const auto callback = [this, id](auto method) {
    return [this, id, method](auto&&... arguments) {
      const auto self = shared_from_this();
      if (Call* found = find(id)) {
        (this->*method)(*found, arguments...);
      }
    };
  };
  std::string head = build_head(call.request);
  auto body = call.request.body.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(call.request.body));
  call.connection->send_request(std::move(head), std::move(body), call.request.method,
                                /*request_id=*/"",
                                {.on_connected = callback(&Impl::on_connected),
                                 .on_head = callback(&Impl::on_head),
                                 .on_content = callback(&Impl::on_content),
                                 .on_end = callback(&Impl::on_end)});
}

HttpClient::Impl::Call* HttpClient::Impl::find(HttpCallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second.get();
}

void HttpClient::Impl::on_connected(Call& call) {
  call.may_have_been_sent = true;
  if (call.request.response_timeout) {
    call.response_deadline = loop_.now() + *call.request.response_timeout;
  }
  set_deadline(call, call.request.idle_timeout);
}

void HttpClient::Impl::on_head(Call& call, const MessageHead& head) {
  extend_deadline(call);
  const auto framing = response_framing(head, call.request.method);
  call.has_length = framing && !std::holds_alternative<UntilCloseBody>(*framing);
  if (!keeps_connection(head)) {
    call.connection->disable_reuse();
  }
  if (call.listener.on_head) {
    call.listener.on_head(head.status, copy_headers(head));
  }
}

void HttpClient::Impl::on_content(Call& call, std::string_view content) {
  extend_deadline(call);
  call.body_bytes += content.size();
  if (call.body_bytes > call.request.max_response_bytes) {
    fail(call,
         ": response larger than " + std::to_string(call.request.max_response_bytes) + " bytes");
    return;
  }
  if (call.listener.on_data) {
    call.listener.on_data(content);
  }
}

void HttpClient::Impl::on_end(Call& call, ExchangeOutcome outcome, std::string_view reason) {
  switch (outcome) {
    case ExchangeOutcome::kComplete:
      if (call.has_length) {
        finish(call, Complete{});
      } else {
        fail(call, ": response without a length");
      }
      return;
    case ExchangeOutcome::kBroken:
      LogEvent("invalid_response", LogEvent::Severity::kWarning)
          .field("server", call.server)
          .field("path", call.request.path)
          .field("reason", reason);
      fail(call, reason == "not_http" || reason == "bad_framing"
                     ? ": response with an invalid head"
                     : ": invalid response: " + std::string(reason));
      return;
    case ExchangeOutcome::kLost:
      fail(call, ": connection ended before the end of the response: " + std::string(reason));
      return;
    case ExchangeOutcome::kNotReached:
      fail(call, ": " + std::string(reason));
      return;
  }
}

void HttpClient::Impl::fail(Call& call, std::string_view detail) {
  finish(call, Failed{.may_have_been_sent = call.may_have_been_sent,
                      .detail = to_string(call.request.endpoint) + std::string(detail)});
}

void HttpClient::Impl::finish(Call& call, const Outcome& outcome) {
  const auto on_done = std::move(call.listener.on_done);
  release(call);
  if (on_done) {
    on_done(outcome);
  }
}

void HttpClient::Impl::release(Call& call) {
  deadlines_.erase({call.queued_deadline, call.id});
  if (call.connection != nullptr) {
    // A connection with an unfinished exchange is closed, and so is one that was opened for this
    // call alone.
    connections_.release(call.server, std::move(call.connection), !call.request.own_connection,
                         loop_.now());
    schedule_idle_check();
  }
  // Deferred, since one of the call's callbacks may be running.
  loop_.defer(
      [call_to_free = std::shared_ptr<Call>(std::move(calls_.extract(call.id).mapped()))] {});
}

bool HttpClient::Impl::cancel(HttpCallId id) {
  Call* call = find(id);
  if (call == nullptr) {
    return false;
  }
  release(*call);
  return true;
}

void HttpClient::Impl::cancel_all() {
  while (!calls_.empty()) {
    cancel(calls_.begin()->first);
  }
  connections_.close_idle_connections();
}

void HttpClient::Impl::fail_timed_out(Call& call) {
  const bool incomplete =
      call.response_deadline && call.deadline >= *call.response_deadline && call.body_bytes > 0;
  // Other idle connections to this endpoint may be unresponsive as well, while new ones work.
  connections_.close_idle_connections(call.server);
  const Duration limit = incomplete                ? *call.request.response_timeout
                         : call.may_have_been_sent ? call.request.idle_timeout
                                                   : call.request.connect_timeout;
  fail(call, (incomplete                ? ": response incomplete after "
              : call.may_have_been_sent ? ": no data for "
                                        : ": not connected within ") +
                 std::to_string(limit.ms) + " ms");
}

void HttpClient::Impl::schedule_idle_check() {
  if (std::exchange(idle_check_scheduled_, true)) {
    return;
  }
  loop_.post_after(kIdleCheckInterval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    self->idle_check_scheduled_ = false;
    self->connections_.close_expired_connections(self->loop_.now());
    if (!self->connections_.empty()) {
      self->schedule_idle_check();
    }
  });
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
