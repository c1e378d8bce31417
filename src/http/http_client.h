// HTTP/1.1 client on an `HttpLoop`.

#ifndef BLUEBELLSTEP_HTTP_HTTP_CLIENT_H_
#define BLUEBELLSTEP_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "http/http_loop.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Id of one call of an `HttpClient`. */
using HttpCallId = Id<struct HttpCallTag, std::uint64_t>;

/** A request to send. */
struct HttpCall {
  Endpoint endpoint;
  std::string method = "GET";
  std::string path = "/";
  std::vector<HttpHeader> headers;  // The client adds `host` and `content-length`.
  std::string body;
  Duration connect_timeout = {1000};
  // Limit for the time without received data, after connecting and until the response is complete.
  Duration idle_timeout = {10000};
  // Limits for the complete response, since a faulty server may send bytes without end.
  std::optional<Duration> response_timeout;  // From the end of connecting; unset for none.
  std::size_t max_response_bytes = std::numeric_limits<std::size_t>::max();
  // Sends the call on a connection of its own. On a kept connection a faulty server may write its
  // response to an earlier call once more, which HTTP cannot tell from the response to this one.
  // For calls that have effects and whose responses carry no id of the call.
  bool own_connection = false;
};

/**
 * Sends HTTP requests. `on_done` is called exactly once for each call, unless the call is
 * cancelled. Methods may be called from any thread; listeners are called on the HTTP thread.
 */
class HttpClient {
 public:
  /** The complete response was received. A response whose body ends with the connection always
   * fails, since its sender does not mark the end. */
  struct Complete {};

  /** The call failed. */
  struct Failed {
    /** False only if it is certain that no byte of the request was sent. */
    bool may_have_been_sent = true;
    std::string detail;  // Human-readable.
  };

  using Outcome = std::variant<Complete, Failed>;

  /** Callbacks of one call. Unset ones are skipped. `on_head` is only called with a head that
   * `parse_response_head` accepts and whose framing is not contradictory. */
  struct Listener {
    std::function<void(int status, std::span<const HttpHeader>)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(const Outcome&)> on_done;
  };

  /** A response with its body, for calls that are not streamed. */
  struct Response {
    int status = 0;  // Valid, see `is_valid_status`, or 0 if no valid response head was received.
    std::vector<HttpHeader> headers;
    std::string body;
    Outcome outcome;
  };

  explicit HttpClient(HttpLoop& loop);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Cancels all calls. No listener is called afterwards. */
  ~HttpClient();

  /** Starts a call. Its listener is never called within `send`. */
  HttpCallId send(HttpCall call, Listener listener);

  /** A buffered response that is larger than this fails. */
  static constexpr std::size_t kMaxBufferedResponseBytes = 16u << 20;
  /** A buffered response must be complete within this multiple of the call's `idle_timeout`, unless
   * the call has a `response_timeout`. */
  static constexpr std::int64_t kResponseTimeoutMultiple = 4;

  /** Starts a call and passes the response to `on_response` once the call is done. The response is
   * buffered, so its size and duration are limited; see the constants above. */
  HttpCallId send(HttpCall call, std::function<void(Response)> on_response);

  /** Sends a call and blocks until it is done. Must not be called on the HTTP thread. For operator
   * commands. */
  Response send_and_wait(HttpCall call);

  /** Cancels a call and closes its connection. The listener is not called after the cancellation
   * has run on the HTTP thread. */
  void cancel(HttpCallId call);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_CLIENT_H_
