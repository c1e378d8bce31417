// Forwards calls from any thread to the client's implementation on the HTTP thread.

#include "http/http_client.h"

#include <algorithm>
#include <cassert>
#include <future>
#include <utility>

#include "http/http_client_impl.h"
#include "http/http_loop_impl.h"

namespace bluebellstep {

HttpClient::HttpClient(HttpLoop& loop) : impl_(std::make_shared<Impl>(loop)) {}

HttpClient::~HttpClient() {
  HttpLoop::Impl& loop = impl_->loop();
  if (loop.on_loop_thread()) {
    impl_->cancel_all();
    return;
  }
  loop.run_and_wait([this] { impl_->cancel_all(); });
  // The cancelled calls are released after the task that cancels them. Waiting for a second task
  // ensures that the loop has no state of this client left.
  loop.run_and_wait([] {});
}

HttpCallId HttpClient::send(HttpCall call, Listener listener) {
  const HttpCallId id = impl_->next_id();
  // Always posted, so that no listener is called within `send`.
  impl_->loop().post(
      [impl = impl_, id, call = std::move(call), listener = std::move(listener)]() mutable {
        impl->start(id, std::move(call), std::move(listener));
      });
  return id;
}

HttpCallId HttpClient::send(HttpCall call, std::function<void(Response)> on_response) {
  call.max_response_bytes = std::min(call.max_response_bytes, kMaxBufferedResponseBytes);
  call.response_timeout =
      call.response_timeout.value_or(call.idle_timeout * kResponseTimeoutMultiple);
  const auto response = std::make_shared<Response>();
  Listener listener;
  listener.on_head = [response](int status, std::span<const HttpHeader> headers) {
    response->status = status;
    response->headers.assign(headers.begin(), headers.end());
  };
  listener.on_data = [response](std::string_view data) { response->body += data; };
  listener.on_done = [response, on_response = std::move(on_response)](const Outcome& outcome) {
    response->outcome = outcome;
    on_response(std::move(*response));
  };
  return send(std::move(call), std::move(listener));
}

HttpClient::Response HttpClient::send_and_wait(HttpCall call) {
  assert(!impl_->loop().on_loop_thread());
  // Shared with the callback, which may still run `set_value` when the waiting thread continues.
  const auto done = std::make_shared<std::promise<Response>>();
  send(std::move(call), [done](Response response) { done->set_value(std::move(response)); });
  return done->get_future().get();
}

void HttpClient::cancel(HttpCallId call) {
  if (impl_->loop().on_loop_thread() && impl_->cancel(call)) {
    return;
  }
  // Posted, so that it runs after the call was started.
  impl_->loop().post([impl = impl_, call] { impl->cancel(call); });
}

}  // namespace bluebellstep
