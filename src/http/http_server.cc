// Forwards calls from any thread to the server's implementation on the HTTP thread.

#include "http/http_server.h"

#include <utility>

#include "http/http_loop_impl.h"
#include "http/http_server_impl.h"

namespace bluebellstep {

HttpServer::HttpServer(HttpLoop& loop, HttpServerOptions options, Listener listener)
    : impl_(std::make_shared<Impl>(loop.impl(), std::move(options), std::move(listener))) {
  if (loop.on_loop_thread()) {
    impl_->start();
  } else {
    loop.run_and_wait([this] { impl_->start(); });
  }
}

HttpServer::~HttpServer() {
  HttpLoop::Impl& loop = impl_->loop();
  if (loop.on_loop_thread()) {
    impl_->close();
    return;
  }
  loop.run_and_wait([this] { impl_->close(); });
}

std::uint16_t HttpServer::port() const {
  return impl_->port();
}

void HttpServer::respond(ExchangeId exchange,
                         int status,
                         std::vector<HttpHeader> headers,
                         std::string body) {
  impl_->loop().run_or_post([impl = impl_, exchange, status, headers = std::move(headers),
                             body = std::move(body)]() mutable {
    impl->respond(exchange, status, headers, std::move(body));
  });
}

void HttpServer::start_stream(ExchangeId exchange, int status, std::vector<HttpHeader> headers) {
  impl_->loop().run_or_post([impl = impl_, exchange, status, headers = std::move(headers)] {
    impl->start_stream(exchange, status, headers);
  });
}

void HttpServer::write(ExchangeId exchange, std::string chunk) {
  impl_->loop().run_or_post([impl = impl_, exchange, chunk = std::move(chunk)]() mutable {
    impl->write(exchange, std::move(chunk));
  });
}

void HttpServer::end(ExchangeId exchange) {
  impl_->loop().run_or_post([impl = impl_, exchange] { impl->end(exchange); });
}

void HttpServer::abort(ExchangeId exchange) {
  impl_->loop().run_or_post([impl = impl_, exchange] { impl->abort(exchange); });
}

void HttpServer::stop_accepting() {
  impl_->loop().run_or_post([impl = impl_] { impl->stop_accepting(); });
}

std::size_t HttpServer::open_exchanges() const {
  return impl_->open_exchanges();
}

}  // namespace bluebellstep
