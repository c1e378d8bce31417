// Proxies callers' requests to upstreams.
//
// For each request, the forwarder selects an upstream, relays its response, enforces timeouts,
// retries failed attempts where the route allows it, and otherwise sends an error response.
//
// It handles upstreams that cannot be reached, reject requests, do not respond, or break off a
// response. Requests that must run at most once are retried only if they did not run.

#ifndef BLUEBELLSTEP_GATEWAY_FORWARDER_H_
#define BLUEBELLSTEP_GATEWAY_FORWARDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "base/verdict.h"
#include "gateway/caller_connection.h"
#include "gateway/crash_check.h"
#include "gateway/decoded_headers.h"
#include "gateway/segment_quarantine.h"
#include "gateway/service_retry_budget.h"
#include "gateway/serving_config.h"
#include "gateway/sse_event_buffer.h"
#include "gateway/upstream_pool.h"
#include "http/http_loop.h"
#include "http1/client_connection.h"
#include "http1/connection_pool.h"
#include "memory/memory_account.h"
#include "metrics/metrics.h"
#include "service_rollout/service_rollouts.h"
#include "stream_versions/stream_versions.h"

namespace bluebellstep {

/** Writes the response to a request. The functions do nothing once the connection has ended. */
struct CallerResponseWriter {
  /** Sends bytes of the response. */
  std::function<void(std::string_view)> write;
  /** The same for `head` followed by `body`, which is not copied. */
  std::function<void(std::string head, std::shared_ptr<const std::string> body)> write_body;
  /** Ends a complete response. Closes the connection if `close`. */
  std::function<void(bool close)> complete;
  /** Closes the connection without ending the response. `reset` tells the caller of a response that
   * ends with its connection that it is incomplete; a response in chunks shows that by itself. */
  std::function<void(bool reset)> abort;
  /** Returns the number of bytes that are buffered and not yet accepted by the kernel. */
  std::function<std::size_t()> unsent;
  /** Returns whether the caller has closed the connection, also if that has not been read yet. */
  std::function<bool()> caller_left;
};

/** Times of a shutdown of the gateway. */
struct StopTimes {
  // Requests that arrive later are refused unless their deadline is before `end`: the caller may
  // ask another gateway, while a response that is cut off may be lost for good.
  Instant last_arrival;
  Instant end;  // The process ends, and with it all connections.
};

/** Forwards requests until they are answered, fail, or their caller disconnects. Runs on the HTTP
 * thread. */
class Forwarder {
 public:
  Forwarder(HttpLoop& loop,
            UpstreamPool& pool,
            Metrics& metrics,
            std::string zone,
            RetryLimits retry_limits);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;
  ~Forwarder();

  /** Sets the configuration for requests that start from now on. Requests without any response get
   * at most the timeout that their route has now, counted from now. */
  void set_config(std::shared_ptr<const ServingConfig> config);
  /** Returns the current configuration; null before the first one. */
  const std::shared_ptr<const ServingConfig>& config() const { return config_; }

  void set_retry_limits(const RetryLimits& limits) { retry_limits_ = limits; }

  /** Sets what counts requests and outcomes by software version. It must outlive this object. */
  void set_rollouts(ServiceRollouts& rollouts) { service_rollouts_ = &rollouts; }

  /** Sets what decides at which software versions streams begin and continue. It must outlive this
   * object. Without it, they may at any version. */
  void set_stream_versions(StreamVersions& versions) { stream_versions_ = &versions; }

  /** The gateway is shutting down: each further response closes its connection, and requests that
   * might not end in time are refused. */
  void set_stopping(const StopTimes& times) { stop_times_ = times; }

  /** Ends all requests. Those whose response has not started are told whether they may have run. */
  void end_requests();

  /** Starts to forward a request. It may have ended by the time this returns, see `contains`. */
  RequestId start(CallerRequest caller_request, CallerResponseWriter response_writer);

  /** Returns the encoded response for a connection on which no request could be read. */
  static std::string error_response(CallerRequestError error);

  /** Ends the request and its current attempt. Does nothing if the request has already ended. */
  void on_caller_disconnected(RequestId id);

  /** Prompt segments that crash upstreams. */
  SegmentQuarantine& quarantine() { return quarantine_; }
  /** Sets the function to call when an upstream was lost while it worked on a prompt. */
  void on_prompt_crash(std::function<void()> callback) { on_prompt_crash_ = std::move(callback); }

  /** Closes idle connections to upstreams that have expired or cannot be reused. */
  void close_expired_connections(Instant now) { connections_.close_expired_connections(now); }

  /** Number of requests that have not ended. */
  std::size_t open_requests() const { return requests_.size(); }
  /** Returns whether the request has not ended. */
  bool contains(RequestId id) const { return requests_.contains(id); }

 private:
  /** What an upstream sent of a stream before the store acknowledged the stream's version. */
  struct HeldContent {
    struct End {
      ExchangeOutcome outcome{};
      std::string reason;
    };
    std::optional<Instant> received_at;  // The first content, which is in `Attempt::body`.
    std::optional<End> end;              // Set if the exchange has ended.
  };

  /** An attempt to have one upstream answer a request. */
  struct Attempt {
    std::uint32_t number = 0;  // Among the attempts of its request.
    PickedUpstream picked;
    std::unique_ptr<ClientConnection> connection;
    Instant started_at;
    bool reused = false;  // The connection has carried a request before.
    bool head_received = false;
    std::optional<Instant> first_byte_at;  // Of the answer, or of the first event of a stream.
    RolloutPhase rollout_phase{};          // Of the service when the attempt was sent.
    // The pool was notified that the prefill has finished: the first event arrived, or the attempt
    // ended.
    bool prefill_reported = false;
    std::unique_ptr<MessageHead> head;     // Of the response; null until it is received.
    UpstreamResponseHead response;         // Views point into `head`.
    std::string body;                      // Of a response that is not streamed, or is held.
    bool streaming = false;                // The response is forwarded event by event.
    std::optional<HeldContent> held;       // Set while the store has not acknowledged the version.
    std::optional<Instant> held_event_at;  // When the first event arrived, if it was held.
  };

  /** How an attempt was planned to use cached tokens of the prompt; for the log. */
  struct CacheUsage {
    std::uint32_t uncached_tokens = 0;  // The engine has to compute them.
    std::uint32_t held_tokens = 0;      // The engine has them in its cache.
    std::uint32_t fetched_tokens = 0;   // The engine fetches them from cache nodes.
    bool saves = false;                 // The engine saves shared segments to stores.
  };

  /** A request that has not ended. */
  struct Request {
    RequestId id;
    CallerResponseWriter response_writer;
    std::unique_ptr<MessageHead> head;
    CallerRequestHead caller;  // Views point into `head`.
    std::shared_ptr<const std::string> body;
    MemoryAccount::Charge charge;  // For `head` and `body`.
    // The configuration when the request arrived. Owns the objects of the next three members.
    std::shared_ptr<const ServingConfig> config;
    const RouteRule* route = nullptr;
    const ClientAccount* account = nullptr;
    const ServiceInfo* service = nullptr;
    Instant arrived_at;
    Instant deadline;                // Set with `service`.
    std::optional<Attempt> attempt;  // The current one.
    std::uint32_t attempt_count = 0;
    std::vector<std::string> tried_upstreams;  // Ids of upstreams that are not tried again.
    std::uint32_t possible_runs = 0;           // Attempts on which the request may have run.
    std::uint32_t attempts_sent = 0;  // Attempts that reached an upstream, rejected ones included.
    std::uint32_t connect_failures = 0;
    // No attempt is in progress; the next one waits for the result of `crash_check_`.
    bool waits_for_crash_check = false;
    bool response_started = false;  // The head of a streamed response was sent to the caller.
    bool chunked = false;           // The response to the caller uses chunked transfer encoding.
    bool closes = false;            // The head of the started response announced a close.
    // The stream must not get events from servers of two software versions.
    bool versions_matter = false;
    StreamKey stream;  // Set if `versions_matter`.
    // The version that began the stream. Unset before the caller has the first event.
    std::optional<std::string> stream_version;
    bool waits_for_version = false;            // No attempt is made before the version is known.
    std::vector<std::string> usable_versions;  // For the next attempt.
    SseEventBuffer event_buffer;
    // When the upstream last sent an event of a stream, or anything else, the attempt started, or
    // the wait was extended.
    Instant last_progress_at;
    std::optional<Instant> first_event_at;
    std::string_view last_failure_reason;
    std::string last_upstream_id;  // Of the latest attempt; for the log, like the next member.
    CacheUsage cache_usage;
    std::optional<Instant> check_at;  // Its entry in `scheduled_checks_`, if any.
  };

  using ScheduledCheck = std::pair<Instant, RequestId>;

  // An attempt with less time left cannot be answered before the deadline.
  static constexpr Duration kMinTimeLeft{10};

  Request* find(RequestId id);
  // Dispatches a request, a stream that a caller wants continued once its version is known.
  void find_stream_version(Request& request);
  void on_stream_version(RequestId id, const StreamBelief& belief);
  // Sets the versions at which the next attempt may run.
  void update_usable_versions(Request& request);
  // Has the version of the current attempt recorded if its stream begins at one that must be.
  void record_stream_version(Request& request);
  void on_version_recorded(RequestId id, std::uint32_t attempt_number, bool recorded);
  // Whether the upstream of the current attempt has started again with another software version
  // since it was chosen. Its events would not be of the version that was recorded or asked for.
  bool has_changed_version(const Request& request) const;
  // Keep what the upstream sent until the version is recorded. Return whether they did.
  bool hold_content(Request& request, std::string_view content);
  static bool hold_end(Request& request, ExchangeOutcome outcome, std::string_view reason);
  // Appends to the body of the current attempt, which fails if it or the sum of all is too large.
  void buffer_content(Request& request, std::string_view content);
  // The caller gets the first event of a stream from the current attempt.
  void on_stream_begun(Request& request);
  static Instant stream_expiry(const Request& request);
  PickQuery make_pick_query(const Request& request) const;
  // Selects an upstream and starts an attempt; ends the request if that is not possible.
  void dispatch(Request& request);
  // Sets `request.attempt`. Returns false if no further connection to the upstream is allowed.
  bool acquire_connection(Request& request, const PickedUpstream& picked);
  // Sends the request over the connection of the current attempt.
  void transmit(Request& request);
  void on_connected(RequestId id);
  void on_head(RequestId id, const MessageHead& head);
  void on_content(RequestId id, std::string_view content);
  void on_end(RequestId id, ExchangeOutcome outcome, std::string_view reason);
  // Returns the request for whose response most is buffered. There must be one.
  Request& largest_buffered();
  // The connection of the current attempt ended before the response was complete.
  void on_upstream_lost(Request& request, std::string_view reason);
  // Finds out whether the upstream of the current attempt has crashed, and counts that against the
  // segments of the prompt.
  void check_prompt_crash(Request& request);
  void on_complete(Request& request);
  void on_stream_complete(Request& request);
  void forward_events(Request& request, std::string_view content);
  // Ends the current attempt; retries the request if that is allowed, and fails it otherwise. The
  // retry waits for the end of a crash check.
  void on_attempt_failed(Request& request,
                         AttemptOutcome outcome,
                         bool may_have_run,
                         std::string_view reason);
  // Returns whether another attempt is allowed, and charges it to the retry budget.
  bool should_retry(Request& request, bool may_have_run);
  // Ends the request with an error response of the gateway. A response that has started is aborted.
  void fail_request(Request& request, bool may_have_run, std::string_view reason);
  // Responds that the request did not run and may be retried after about `min_delay`.
  void refuse_request(Request& request, std::string_view reason, Duration min_delay);
  // Sends a response that the gateway generates itself and ends the request.
  void send_local_response(Request& request,
                           int status,
                           std::string_view reason,
                           std::optional<Duration> retry_after);
  // Logs, counts and removes the request. `request` is destroyed.
  void finish_request(Request& request, std::string_view outcome, int status);
  // Notifies the pool, once per attempt, that the prefill has finished. An engine that continues
  // the stream of another one prefills the prompt again.
  void report_prefill_finished(Attempt& attempt);
  // Ends the current attempt, if any, whose response is not awaited any longer. An attempt that has
  // not connected does not count as sent.
  void give_up_attempt(Request& request, AttemptOutcome outcome_if_sent);
  // Whether the gateway may end before the request, which arrived too late to be cut off.
  bool may_outlast_shutdown(const Request& request, Instant now) const;
  // Reports the end of the current attempt to the pool and releases its connection.
  void end_attempt(Request& request, AttemptOutcome outcome, bool keep_connection);
  // Fails or retries a request whose timeout has passed, else schedules the next check.
  void check_timeouts(Request& request);
  // Applies the timeout of the request's route in the current configuration if that is shorter.
  void limit_wait(Request& request);
  Instant next_check_time(const Request& request) const;
  void schedule_check(Request& request);
  void arm_timer();
  void run_due_checks();
  // Time left for an upstream to respond.
  Duration time_left(const Request& request, Instant now) const;
  // Logs a decision by load, and counts a refusal. `retry_after` is set for a refusal.
  void report_admission(const Request& request,
                        const AdmissionDecision& decision,
                        std::optional<Duration> retry_after) const;
  void log_failed_attempt(const Request& request, bool may_have_run, std::string_view reason) const;
  void log_request_end(const Request& request,
                       std::string_view outcome,
                       int status,
                       Instant now) const;
  ServiceRetryBudget& retry_budget(const Request& request);

  HttpLoop& loop_;
  UpstreamPool& pool_;
  Metrics& metrics_;
  ServiceRollouts* service_rollouts_ = nullptr;  // Null in deployments without roll-outs.
  StreamVersions* stream_versions_ = nullptr;    // May be null.
  std::string zone_;
  RetryLimits retry_limits_;
  Clock clock_;
  std::shared_ptr<const ServingConfig> config_;
  std::optional<StopTimes> stop_times_;  // Set in a shutdown.
  std::uint64_t next_id_ = 1;
  std::map<RequestId, std::unique_ptr<Request>> requests_;
  ConnectionPool connections_;
  SegmentQuarantine quarantine_;
  CrashCheck crash_check_;
  std::function<void()> on_prompt_crash_;
  std::map<std::string, ServiceRetryBudget, std::less<>> retry_budgets_;  // By service.
  std::size_t buffered_body_bytes_ = 0;        // Sum over the current attempts.
  std::set<ScheduledCheck> scheduled_checks_;  // At most one per request.
  std::optional<Instant> timer_armed_for_;     // At or before the first scheduled check.
  // Expires with this object; the timer checks it before it uses the object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_FORWARDER_H_
