// Runs callers' requests: sends them to sidecars, retries and resumes them, and writes the answers.

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
  /** How long an attempt on a lost link is waited for before a prompt goes elsewhere. */
  Duration reconnect_timeout = {2500};

  /** Pause before a request that every upstream refused is tried again, at least. */
  Duration min_retry_delay = {50};

  /** How long a request that every upstream refuses is held before the caller gets the refusal. */
  Duration max_admission_wait = {5000};

  /** Longest wait for a sidecar to accept or refuse. */
  Duration submit_timeout = {1500};
};

/**
 * The requests in work at an entry instance. A prompt or an idempotent call may be sent to several
 * upstreams; an order goes to the owner of its key only, whose ledger recognises it. A refusal says
 * "not run" only if every sending was refused. Lives on the control thread.
 */
class RequestRunner {
 public:
  /** `incarnation` is unique among all entry instances and their restarts. */
  RequestRunner(RpcLoop& loop,
                UpstreamLinks& links,
                HttpServer& server,
                Metrics& metrics,
                std::uint64_t incarnation,
                RequestRunnerOptions options);
  ~RequestRunner();

  /** Starts a request. */
  void start(RequestSpec spec);

  /** The caller went away. Prompts are cancelled; orders run to their end. */
  void on_caller_disconnected(ExchangeId exchange);

  /** The link to an upstream came up, or was lost. */
  void on_link_up(UpstreamId upstream);
  void on_link_down(UpstreamId upstream);

  /** Handles deadlines and retries; call it every few milliseconds. */
  void tick();

  /** Requests without a complete answer. */
  std::size_t open_requests() const { return requests_.size(); }

  /** Ends all open requests with an error, for a stop that reached its limit. */
  void abort_all(const Verdict& verdict);

 private:
  friend class AnswerSink;

  Route choose_route(const EntryRequest& request);
  void send(EntryRequest& request);
  void send_to(EntryRequest& request, UpstreamId upstream);
  void retry_elsewhere(EntryRequest& request, UpstreamId except);
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
  std::map<ExchangeId, RequestId> by_exchange_;  // Of all requests in requests_.
  // Sinks held by sidecars find it expired after this is destroyed.
  std::shared_ptr<RequestRunner*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ENTRY_REQUEST_RUNNER_H_
