// Implementation of `HttpClient`: calls and connection pools on the HTTP thread.

#ifndef BLUEBELLSTEP_HTTP_HTTP_CLIENT_IMPL_H_
#define BLUEBELLSTEP_HTTP_HTTP_CLIENT_IMPL_H_

#include <h2o.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/http_client.h"
#include "http/http_loop_impl.h"
#include "http/socket_address.h"
#include "http1/message_parser.h"

namespace bluebellstep {

/** State of a client on the HTTP thread, where all methods but `next_id` are called. */
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  explicit Impl(HttpLoop::Impl& loop) : loop_(loop) {}

  /** Starts to limit the size of response heads. Call once, on the HTTP thread. */
  void start_head_checks();

  /** Returns the id for a new call. May be called from any thread. */
  HttpCallId next_id() { return {next_id_.fetch_add(1)}; }

  /** Starts a call. The listener may be called before this returns. */
  void start(HttpCallId id, HttpCall request, Listener listener);

  /** Cancels a call. Returns false if there is no such call. */
  bool cancel(HttpCallId id);

  /** Cancels all calls and releases the pools. */
  void cancel_all();

  HttpLoop::Impl& loop() { return loop_; }

 private:
  /** The idle connections to one endpoint. */
  struct Pool {
    Pool(h2o_loop_t* loop, SocketAddress address);
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;
    ~Pool();

    h2o_socketpool_t sockets{};
    Instant last_used_at;
  };

  struct Call {
    Impl* owner = nullptr;
    HttpCallId id;
    HttpCall request;
    Listener listener;
    std::shared_ptr<Pool> pool;
    h2o_http1client_ctx_t context{};
    h2o_http1client_t* client = nullptr;
    std::string head;  // Request line and headers; `buffers` points into it.
    std::array<h2o_iovec_t, 2> buffers{};
    bool request_sent = false;  // The request was passed to h2o, which may have sent a part of it.
    bool head_received = false;
    bool in_callback = false;  // A listener runs in a callback of h2o, which needs the call.
    bool cancelled = false;
    BodyFraming framing;                       // Of the response, once its head is received.
    std::size_t body_bytes = 0;                // Received so far.
    std::optional<Instant> response_deadline;  // Of the complete response; set after connecting.
    Instant deadline;                          // The call fails at this time.
    Instant queued_deadline;  // Time of the entry in `deadlines_`; never after `deadline`.
  };

  using DeadlineEntry = std::pair<Instant, HttpCallId>;

  Call* find(HttpCallId id);
  // Both return null if the endpoint has no IP address. `make_pool` makes one that is not shared.
  std::shared_ptr<Pool> pool_for(const Endpoint& endpoint);
  std::shared_ptr<Pool> make_pool(const Endpoint& endpoint) const;
  void remove_unused_pools(Instant now);
  void finish(Call& call, const Outcome& outcome);
  void release(Call& call);
  void cancel_request(Call& call);
  void fail_timed_out(Call& call);
  // Fails the calls whose response head is too large. h2o keeps a head until it is complete.
  void check_heads();
  void set_deadline(Call& call, Duration timeout);
  // Data was received: extends the deadline by the idle timeout, up to the response deadline.
  void extend_deadline(Call& call);
  void arm_timer();
  void check_deadlines();
  int deliver_body(Call& call, const char* error);
  // Returns the framing of the response, or nothing if its head is invalid, which h2o may accept.
  static std::optional<BodyFraming> check_head(const Call& call, std::size_t head_length);
  void deliver_head(Call& call, int status, std::span<const h2o_header_t> headers);

  static std::string build_head(const HttpCall& request);
  static h2o_http1client_head_cb on_connect(h2o_http1client_t* client,
                                            const char* error,
                                            h2o_iovec_t** buffers,
                                            std::size_t* buffer_count,
                                            int* is_head);
  static h2o_http1client_body_cb on_head(h2o_http1client_t* client,
                                         const char* error,
                                         int minor_version,
                                         int status,
                                         h2o_iovec_t message,
                                         h2o_header_t* headers,
                                         std::size_t header_count,
                                         int head_length);
  static int on_body(h2o_http1client_t* client, const char* error);

  HttpLoop::Impl& loop_;
  std::atomic<std::uint64_t> next_id_{1};
  std::unordered_map<HttpCallId, std::unique_ptr<Call>> calls_;
  std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<Pool>> pools_;
  Instant last_pool_check_at_;
  // One entry for each call. Received data only moves the call's `deadline`, so an entry may be
  // earlier than that; `check_deadlines` then moves it.
  std::set<DeadlineEntry> deadlines_;
  std::optional<Instant> timer_at_;  // Time of the earliest pending timer.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_HTTP_HTTP_CLIENT_IMPL_H_
