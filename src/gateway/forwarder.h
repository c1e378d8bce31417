// Carries callers' requests to upstreams and the answers back.
//
// For each request: which upstream, whether it may be sent once more, when to stop waiting, and
// what to tell a caller whose request got no answer.

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
#include "gateway/call_heads.h"
#include "gateway/caller_connection.h"
#include "gateway/connection_pool.h"
#include "gateway/event_cutter.h"
#include "gateway/repeat_allowance.h"
#include "gateway/serving_config.h"
#include "gateway/upstream_connection.h"
#include "gateway/upstream_pool.h"
#include "http/http_loop.h"
#include "metrics/metrics.h"

namespace bluebellstep {

/** Sends bytes to the caller of a request. */
struct CallerSink {
  std::function<void(std::string_view)> send;
  /** The response is complete; `close` ends the connection. */
  std::function<void(bool close)> done;
  /** Breaks the connection, so that the caller sees that the response is incomplete. */
  std::function<void()> abort;
  /** Bytes that the caller has not taken yet. */
  std::function<std::size_t()> unsent;
};

/** Runs on the HTTP thread. */
class Forwarder {
 public:
  Forwarder(HttpLoop& loop,
            UpstreamPool& pool,
            Metrics& metrics,
            std::string zone,
            RepeatLimits repeat_limits);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;
  ~Forwarder();

  void set_config(std::shared_ptr<const ServingConfig> config) { config_ = std::move(config); }
  const std::shared_ptr<const ServingConfig>& config() const { return config_; }

  void set_repeat_limits(const RepeatLimits& limits) { repeat_limits_ = limits; }

  /** While set, responses ask callers to close their connection. */
  void set_stopping() { stopping_ = true; }

  /** Takes a request over. */
  RequestId start(CallerMessage message, CallerSink sink);

  /** Answers a connection on which no request could be read. */
  static std::string fault_reply(CallerFault fault);

  /** The caller has gone: stops the work for its request. */
  void caller_left(RequestId id);

  /** Closes idle connections that were not used for long. */
  void close_unused(Instant now) { connections_.close_unused(now); }

  std::size_t open_requests() const { return requests_.size(); }
  bool contains(RequestId id) const { return requests_.contains(id); }

 private:
  /** The send that is under way. */
  struct Send {
    PickedUpstream picked;
    std::unique_ptr<UpstreamConnection> connection;
    Instant began;
    bool reused = false;
    bool began_answer = false;
    bool prompt_read = false;           // No more tokens to read; its answer or its end has come.
    std::unique_ptr<MessageHead> head;  // Of the response.
    UpstreamReply reply;                // Views point into `head`.
    std::string body;                   // Of a response that is not streamed.
    bool streaming = false;
  };

  /** Where the tokens of a prompt come from, as planned for a send. */
  struct PromptSources {
    std::uint32_t uncached_tokens = 0;
    std::uint32_t held_tokens = 0;
    std::uint32_t fetched_tokens = 0;
    bool saves = false;  // Shared parts are kept in stores.
  };

  struct Request {
    RequestId id;
    CallerSink sink;
    std::unique_ptr<MessageHead> head;
    CallerHead caller;  // Views point into `head`.
    std::string body;
    std::shared_ptr<const ServingConfig> config;  // Owns what the next three point to.
    const RouteRule* route = nullptr;
    const ClientAccount* account = nullptr;
    const ServiceInfo* service = nullptr;
    Instant arrived;
    Instant give_up_at;
    std::optional<Send> send;
    std::vector<std::string> tried;
    std::uint32_t runs = 0;   // Upstreams on which it may have run.
    std::uint32_t sends = 0;  // That reached an upstream, rejected ones included.
    std::uint32_t not_reached = 0;
    bool head_sent = false;  // The caller has the start of a response.
    bool chunked = false;
    EventCutter events;
    Instant last_progress;
    std::optional<Instant> first_event_at;
    std::string_view last_problem;
    std::string upstream;  // Of the last send; for the log, like the next one.
    PromptSources cache_use;
    std::optional<Instant> due;  // Where it stands in `due_`.
  };

  using Due = std::pair<Instant, RequestId>;

  Request* find(RequestId id);
  PickQuery query_for(const Request& request) const;
  void dispatch(Request& request);
  bool open_connection(Request& request, const PickedUpstream& picked);
  void transmit(Request& request);
  void on_head(RequestId id, const MessageHead& head);
  void on_content(RequestId id, std::string_view content);
  void on_end(RequestId id, CallEnd end, std::string_view why);
  void on_complete(Request& request);
  void on_stream_complete(Request& request);
  void forward_events(Request& request, std::string_view content);
  void send_failed(Request& request, SendOutcome end, bool may_have_run, std::string_view why);
  bool may_send_again(Request& request, bool may_have_run);
  void fail(Request& request, bool may_have_run, std::string_view why);
  void refuse(Request& request, std::string_view why, Duration least);
  void reply_own(Request& request,
                 int status,
                 std::string_view why,
                 std::optional<Duration> retry_after);
  void finish(Request& request, std::string_view outcome, int status);
  void note_prompt_read(Send& send);
  void end_send(Request& request, SendOutcome end, bool keep);
  void check(Request& request);
  Instant next_due(const Request& request) const;
  void reschedule(Request& request);
  void arm();
  void run_due();
  Duration time_left(const Request& request, Instant now) const;
  void log_end(const Request& request, std::string_view outcome, int status, Instant now) const;
  RepeatAllowance& allowance(const Request& request);

  HttpLoop& loop_;
  UpstreamPool& pool_;
  Metrics& metrics_;
  std::string zone_;
  RepeatLimits repeat_limits_;
  Clock clock_;
  std::shared_ptr<const ServingConfig> config_;
  bool stopping_ = false;
  std::uint64_t next_id_ = 1;
  std::map<RequestId, std::unique_ptr<Request>> requests_;
  ConnectionPool connections_;
  std::map<std::string, RepeatAllowance, std::less<>> allowances_;  // By service.
  std::set<Due> due_;
  std::optional<Instant> armed_for_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_FORWARDER_H_
