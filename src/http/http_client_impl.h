// Implementation of `HttpClient`: calls and connection pools on the HTTP thread.

#ifndef BLUEBELLSTEP_HTTP_HTTP_CLIENT_IMPL_H_
#define BLUEBELLSTEP_HTTP_HTTP_CLIENT_IMPL_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "http/http_client.h"
#include "http/http_loop_impl.h"
#include "http1/client_connection.h"
#include "http1/connection_pool.h"
#include "http1/message_parser.h"

namespace bluebellstep {

/** State of a client on the HTTP thread, where all methods but `next_id` are called. */
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  explicit Impl(HttpLoop& loop)
      : loop_(loop.impl()), connections_(loop, /*read_request_id=*/nullptr) {}

  /** Returns the id for a new call. May be called from any thread. */
  HttpCallId next_id() { return {next_id_.fetch_add(1)}; }

  /** Starts a call. The listener may be called before this returns. */
  void start(HttpCallId id, HttpCall request, Listener listener);

  /** Cancels a call. Returns false if there is no such call. */
  bool cancel(HttpCallId id);

  /** Cancels all calls and closes all connections. */
  void cancel_all();

  HttpLoop::Impl& loop() { return loop_; }

 private:
  struct Call {
    HttpCallId id;
    HttpCall request;
    Listener listener;
    std::string server;                            // Key of the endpoint in `connections_`.
    std::unique_ptr<ClientConnection> connection;  // Null before the call is started.
    bool may_have_been_sent = false;  // The connection is established, so bytes may have been sent.
    bool has_length = false;          // The end of the response is marked; set with its head.
    std::size_t body_bytes = 0;       // Received so far.
    std::optional<Instant> response_deadline;  // Of the complete response; set after connecting.
    Instant deadline;                          // The call fails at this time.
    Instant queued_deadline;  // Time of the entry in `deadlines_`; never after `deadline`.
  };

  using DeadlineEntry = std::pair<Instant, HttpCallId>;

  Call* find(HttpCallId id);
  // The connection of the call is established.
  void on_connected(Call& call);
  void on_head(Call& call, const MessageHead& head);
  void on_content(Call& call, std::string_view content);
  void on_end(Call& call, ExchangeOutcome outcome, std::string_view reason);
  // Fails a call. `detail` follows the endpoint in the text for the caller.
  void fail(Call& call, std::string_view detail);
  // Ends a call. Its connection is kept for another call if that is possible.
  void finish(Call& call, const Outcome& outcome);
  // Ends a call without a callback.
  void release(Call& call);
  void fail_timed_out(Call& call);
  void set_deadline(Call& call, Duration timeout);
  // Data was received: extends the deadline by the idle timeout, up to the response deadline.
  void extend_deadline(Call& call);
  void arm_timer();
  void check_deadlines();
  // Closes idle connections in time for as long as there are any.
  void schedule_idle_check();

  static std::string build_head(const HttpCall& request);

  HttpLoop::Impl& loop_;
  std::atomic<std::uint64_t> next_id_{1};
  std::unordered_map<HttpCallId, std::unique_ptr<Call>> calls_;
  ConnectionPool connections_;  // By address and port of the server.
  bool idle_check_scheduled_ = false;
  // One entry for each call. Received data only moves the call's `deadline`, so an entry may be
  // earlier than that; `check_deadlines` then moves it.
  std::set<DeadlineEntry> deadlines_;
  std::optional<Instant> timer_at_;  // Time of the earliest pending timer.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_CLIENT_IMPL_H_
