// Processes callers' requests: sends them to sidecars, retries and resumes them, and writes the
// answers.

#ifndef BLUEBELLSTEP_ENTRY_REQUEST_RUNNER_H_
#define BLUEBELLSTEP_ENTRY_REQUEST_RUNNER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "entry/entry_request.h"
#include "entry/upstream_links.h"
#include "metrics/metrics.h"
#include "routing/retry_budget.h"

namespace bluebellstep {

/** Settings of a `RequestRunner`. */
struct RequestRunnerOptions {
  /** Time to wait for a lost connection to be restored. After it, a prompt is sent to another
   * upstream and an order is sent to its owner again. */
  Duration reconnect_timeout = {2500};

  /** Minimum delay before a request that all upstreams refused is retried. */
  Duration min_retry_delay = {50};

  /** Maximum time from the arrival of a request to a retry. After it, the caller gets the last
   * refusal. */
  Duration max_admission_wait = {5000};

  /** Maximum time for a sidecar to accept or refuse a request. */
  Duration submit_timeout = {1500};
};

/**
 * The requests in progress at an entry instance. Prompts and idempotent calls may be sent to
 * several upstreams. An order is only sent to the owner of its idempotency key, whose ledger
 * prevents a second execution. The run state of a refusal is "not run" only if every attempt was
 * refused as "not run". Lives on the control thread.
 */
class RequestRunner {
 public:
  /** `incarnation` must differ between all entry instances and their restarts. The other references
   * must outlive this. */
  RequestRunner(RpcLoop& loop,
                UpstreamLinks& links,
                HttpServer& server,
                Metrics& metrics,
                std::uint64_t incarnation,
                RequestRunnerOptions options);
  ~RequestRunner();

  /** Starts a request, which is answered through the `HttpServer`. */
  void start(RequestSpec spec);

  /** Handles a caller that disconnected. Prompts and idempotent calls are cancelled; orders
   * continue to run. */
  void on_caller_disconnected(ExchangeId exchange);

  /** Handle the establishment or loss of the link to an upstream. */
  void on_link_up(UpstreamId upstream);
  void on_link_down(UpstreamId upstream);

  /** Handles time-outs, deadlines and retries that are due. Call it every few milliseconds. */
  void tick();

  /** Returns the number of requests without a complete answer. */
  std::size_t open_requests() const { return requests_.size(); }

  /** Fails all open requests, when a shutdown reaches its time limit. */
  void abort_all(const Verdict& verdict);

 private:
  friend class AnswerSink;

  Route choose_route(const EntryRequest& request);
  void send(EntryRequest& request);
  void send_to(EntryRequest& request, UpstreamId upstream);
  void retry_elsewhere(EntryRequest& request, UpstreamId failed_upstream);
  void fill_request(wire::Request::Builder out, const EntryRequest& request) const;
  void resume(EntryRequest& request, UpstreamId upstream);
  void handle_submit_result(RequestId id,
                            std::uint32_t attempt,
                            UpstreamId upstream,
                            wire::Sidecar::SubmitResults::Reader result);
  void handle_attempt_verdict(EntryRequest& request, UpstreamId upstream, const Verdict& verdict);
  void handle_refusal(EntryRequest& request, UpstreamId upstream, const Verdict& verdict);
  void handle_failed_call(RequestId id, std::uint32_t attempt);
  void handle_failed_run(EntryRequest& request, const Verdict& verdict);
  void retry_later_or_fail(EntryRequest& request, const Verdict& verdict);
  void handle_lost_upstream(EntryRequest& request, UpstreamId upstream);
  void release_upstream(EntryRequest& request);
  void cancel_at_upstream(EntryRequest& request);

  std::uint64_t handle_events(RequestId id,
                              std::uint32_t attempt,
                              std::uint64_t first_index,
                              capnp::List<wire::Event>::Reader events);
  void handle_completion(RequestId id, std::uint32_t attempt, wire::Completion::Reader completion);
  void record_first_token(EntryRequest& request);
  void start_response_stream(EntryRequest& request);
  void finish_prompt(EntryRequest& request, wire::Completion::Answer::Reader answer);
  void finish_plain(EntryRequest& request, wire::Completion::Answer::Reader answer);
  void fail(EntryRequest& request, const Verdict& verdict);
  void erase(EntryRequest& request);

  bool is_due(const EntryRequest& request, Instant now) const;
  void handle_due(EntryRequest& request, Instant now);
  std::vector<RequestId> requests_at(UpstreamId upstream) const;
  EntryRequest* find(RequestId id, std::uint32_t attempt);

  RpcLoop& loop_;
  UpstreamLinks& links_;
  HttpServer& server_;
  Metrics& metrics_;
  std::uint64_t incarnation_;
  RequestRunnerOptions options_;
  Clock clock_;
  EntryRetryBudget retry_budget_;
  Random random_;
  std::uint64_t next_id_ = 1;
  std::map<RequestId, EntryRequest> requests_;
  std::map<ExchangeId, RequestId> by_exchange_;  // Contains every request in requests_.
  // Shared with answer sinks and callbacks, which may outlive this object. Points to null after its
  // destruction.
  std::shared_ptr<RequestRunner*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_REQUEST_RUNNER_H_
