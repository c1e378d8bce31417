// Requests and responses of the HTTP server.

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <iterator>
#include <string_view>
#include <utility>

#include "http/header_check.h"
#include "http/http_server_impl.h"

namespace bluebellstep {
namespace {

constexpr int kHttp2 = 0x200;

// Limit for the chunks of one `h2o_send`, which copies the list of chunks to the stack.
constexpr std::size_t kMaxChunksPerSend = 512;

std::string to_text(h2o_iovec_t value) {
  return {value.base, value.len};
}

HttpRequest copy_request(const h2o_req_t& req) {
  HttpRequest request;
  request.method = to_text(req.input.method);
  request.path = to_text(req.input.path);
  request.headers.reserve(req.headers.size + 1);
  // h2o stores the host separately from the other headers.
  request.headers.push_back({"host", to_text(req.input.authority)});
  for (std::size_t i = 0; i < req.headers.size; ++i) {
    const h2o_header_t& header = req.headers.entries[i];
    request.headers.push_back({to_text(*header.name), to_text(header.value)});
  }
  if (req.entity.base != nullptr) {
    request.body.assign(req.entity.base, req.entity.len);
  }
  return request;
}

void add_header(h2o_req_t* req, const HttpHeader& header) {
  const h2o_iovec_t name = h2o_strdup(&req->pool, header.name.data(), header.name.size());
  const h2o_iovec_t value = h2o_strdup(&req->pool, header.value.data(), header.value.size());
  h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, /*maybe_token=*/1,
                        nullptr, value.base, value.len);
}

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    case 507:
      return "Insufficient Storage";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

}  // namespace

int HttpServer::Impl::on_request(h2o_handler_t* handler, h2o_req_t* req) {
  reinterpret_cast<Handler*>(handler)->server->add_exchange(req);
  return 0;
}

void HttpServer::Impl::add_exchange(h2o_req_t* req) {
  auto* exchange = new Exchange;
  exchange->generator.proceed = on_proceed;
  exchange->server = this;
  exchange->id = ExchangeId{next_id_++};
  exchange->req = req;
  exchange->is_head = to_text(req->input.method) == "HEAD";
  exchanges_.emplace(exchange->id, exchange);
  ++open_exchanges_;
  // Destroys the exchange when h2o clears the memory pool of the request.
  struct Owner {
    Exchange* exchange;
  };
  auto* owner =
      static_cast<Owner*>(h2o_mem_alloc_shared(&req->pool, sizeof(Owner), [](void* disposed) {
        Exchange* removed = static_cast<Owner*>(disposed)->exchange;
        removed->server->remove_exchange(removed);
      }));
  owner->exchange = exchange;
  watch_for_close(*exchange);
  if (listener_.on_request) {
    listener_.on_request(exchange->id, copy_request(*req));
  }
}

void HttpServer::Impl::remove_exchange(Exchange* exchange) {
  if (exchange->connection != nullptr) {
    exchange->connection->exchange = nullptr;
  }
  exchanges_.erase(exchange->id);
  --open_exchanges_;
  const bool is_complete = exchange->phase == Phase::kFinalSent && !exchange->abort_requested;
  if (!is_complete && exchange->notify_closed) {
    // Deferred, since the listener may call the server while h2o still uses the connection.
    loop_.defer([self = shared_from_this(), id = exchange->id] {
      if (self->listener_.on_closed) {
        self->listener_.on_closed(id);
      }
    });
  }
  delete exchange;
}

HttpServer::Impl::Exchange* HttpServer::Impl::find(ExchangeId id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second;
}

void HttpServer::Impl::respond(ExchangeId id,
                               int status,
                               std::span<const HttpHeader> headers,
                               std::string body) {
  Exchange* exchange = find(id);
  if (exchange == nullptr || exchange->phase != Phase::kWaiting) {
    return;
  }
  exchange->req->res.content_length = body.size();
  begin_response(*exchange, status, headers);
  exchange->end_requested = true;
  if (!exchange->is_head && !body.empty()) {
    exchange->pending.push_back(std::move(body));
  }
  flush(*exchange);
}

void HttpServer::Impl::start_stream(ExchangeId id,
                                    int status,
                                    std::span<const HttpHeader> headers) {
  Exchange* exchange = find(id);
  if (exchange == nullptr || exchange->phase != Phase::kWaiting) {
    return;
  }
  begin_response(*exchange, status, headers);
  schedule_flush(*exchange);
}

void HttpServer::Impl::write(ExchangeId id, std::string chunk) {
  Exchange* exchange = find(id);
  if (exchange == nullptr || exchange->phase != Phase::kStreaming || exchange->end_requested ||
      chunk.empty() || exchange->is_head) {
    return;
  }
  exchange->pending_bytes += chunk.size();
  exchange->pending.push_back(std::move(chunk));
  if (exchange->in_flight && exchange->pending_bytes > options_.max_unsent_bytes) {
    break_connection(*exchange);
    return;
  }
  schedule_flush(*exchange);
}

void HttpServer::Impl::end(ExchangeId id) {
  Exchange* exchange = find(id);
  if (exchange == nullptr || exchange->phase != Phase::kStreaming) {
    return;
  }
  exchange->end_requested = true;
  schedule_flush(*exchange);
}

void HttpServer::Impl::abort(ExchangeId id) {
  Exchange* exchange = find(id);
  if (exchange != nullptr && exchange->phase != Phase::kFinalSent) {
    exchange->notify_closed = false;
    break_connection(*exchange);
  }
}

void HttpServer::Impl::begin_response(Exchange& exchange,
                                      int status,
                                      std::span<const HttpHeader> headers) {
  exchange.req->res.status = status;
  exchange.req->res.reason = reason_phrase(status);
  for (const HttpHeader& header : headers) {
    if (is_valid_header(header) && !is_reserved_header(header.name)) {
      add_header(exchange.req, header);
    }
  }
  if (listen_socket_ == nullptr) {
    // h2o decided on keep-alive when it read the request, possibly before `stop_accepting`.
    exchange.req->http1_is_persistent = 0;
  }
  exchange.phase = Phase::kStreaming;
  exchange.headers_pending = true;
  h2o_start_response(exchange.req, &exchange.generator);
}

void HttpServer::Impl::schedule_flush(Exchange& exchange) {
  if (exchange.flush_scheduled || exchange.in_flight) {
    return;
  }
  // Deferred to the end of the loop iteration, so that all its chunks are sent in one system call.
  exchange.flush_scheduled = true;
  loop_.defer([self = shared_from_this(), id = exchange.id] {
    if (Exchange* open_exchange = self->find(id)) {
      open_exchange->flush_scheduled = false;
      self->flush(*open_exchange);
    }
  });
}

void HttpServer::Impl::flush(Exchange& exchange) {
  if (exchange.in_flight || exchange.phase != Phase::kStreaming) {
    return;
  }
  if (exchange.abort_requested) {
    send_error(exchange);
  } else if (exchange.headers_pending || exchange.end_requested || !exchange.pending.empty()) {
    send_pending(exchange);
  }
}

void HttpServer::Impl::send_pending(Exchange& exchange) {
  exchange.sending.clear();
  if (exchange.pending.size() <= kMaxChunksPerSend) {
    exchange.sending.swap(exchange.pending);
    exchange.pending_bytes = 0;
  } else {
    const auto end = exchange.pending.begin() + kMaxChunksPerSend;
    std::move(exchange.pending.begin(), end, std::back_inserter(exchange.sending));
    exchange.pending.erase(exchange.pending.begin(), end);
    for (const std::string& chunk : exchange.sending) {
      exchange.pending_bytes -= std::min(exchange.pending_bytes, chunk.size());
    }
  }
  std::array<h2o_iovec_t, kMaxChunksPerSend> buffers;
  std::size_t count = 0;
  for (const std::string& chunk : exchange.sending) {
    buffers[count++] = h2o_iovec_init(chunk.data(), chunk.size());
  }
  const bool is_final = exchange.end_requested && exchange.pending.empty();
  exchange.headers_pending = false;
  exchange.in_flight = true;
  if (is_final) {
    exchange.phase = Phase::kFinalSent;
    stop_watching(exchange);
  }
  // May destroy the exchange.
  h2o_send(exchange.req, buffers.data(), count,
           is_final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void HttpServer::Impl::on_proceed(h2o_generator_t* generator, h2o_req_t*) {
  auto& exchange = *reinterpret_cast<Exchange*>(generator);
  exchange.in_flight = false;
  exchange.sending.clear();
  exchange.server->flush(exchange);
}

void HttpServer::Impl::break_connection(Exchange& exchange) {
  exchange.abort_requested = true;
  if (exchange.connection != nullptr && (exchange.in_flight || exchange.phase == Phase::kWaiting)) {
    // Makes the write in flight fail, or prevents the caller from receiving the head of a
    // response that was not started.
    ::shutdown(h2o_socket_get_fd(exchange.connection->socket), SHUT_RDWR);
  }
  if (exchange.phase == Phase::kWaiting) {
    exchange.req->res.content_length = 0;
    begin_response(exchange, 500, {});
  }
  // Deferred, since this may be called while h2o uses the request.
  schedule_flush(exchange);
}

void HttpServer::Impl::send_error(Exchange& exchange) {
  exchange.phase = Phase::kFinalSent;
  exchange.req->http1_is_persistent = 0;
  stop_watching(exchange);
  // Closes the connection without ending the body. May destroy the exchange.
  h2o_send(exchange.req, nullptr, 0, H2O_SEND_STATE_ERROR);
}

void HttpServer::Impl::watch_for_close(Exchange& exchange) {
  if (exchange.req->version >= kHttp2) {
    return;  // h2o always reads HTTP/2 connections and so detects their end.
  }
  // h2o does not read an HTTP/1 connection while a request runs, so it would detect the end of the
  // connection only when it writes. The connection is watched without reading from it, since h2o's
  // request points into the input buffer.
  h2o_socket_t* socket = exchange.req->conn->callbacks->get_socket(exchange.req->conn);
  exchange.connection = static_cast<Connection*>(socket->on_close.data);
  exchange.connection->exchange = &exchange;
  h2o_socket_dont_read(socket, 1);
  h2o_socket_read_start(socket, on_readable);
}

void HttpServer::Impl::stop_watching(Exchange& exchange) {
  if (exchange.connection != nullptr) {
    h2o_socket_read_stop(exchange.connection->socket);
    h2o_socket_dont_read(exchange.connection->socket, 0);
  }
}

void HttpServer::Impl::on_readable(h2o_socket_t* socket, const char*) {
  Exchange* exchange = static_cast<Connection*>(socket->on_close.data)->exchange;
  char byte;
  const ssize_t count = ::recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (exchange == nullptr || count > 0) {
    // The next pipelined request has arrived; h2o reads it after this response.
    h2o_socket_read_stop(socket);
    return;
  }
  h2o_socket_read_stop(socket);
  exchange->server->break_connection(*exchange);
}

}  // namespace bluebellstep
