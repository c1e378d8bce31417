// Processes the requests at a sidecar: admission, fair queue, dispatch and delivery of the answers.

#ifndef BLUEBELLSTEP_SIDECAR_SIDECAR_CORE_H_
#define BLUEBELLSTEP_SIDECAR_SIDECAR_CORE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/admission_controller.h"
#include "bundle/bundle.h"
#include "fairness/fair_queue.h"
#include "fairness/service_totals.h"
#include "fairness/share_corrector.h"
#include "metrics/metrics.h"
#include "orders/order_tables.h"
#include "process/process_state.h"
#include "rpc/peer.capnp.h"
#include "settings/sidecar_settings.h"
#include "sidecar/engine_cache.h"
#include "sidecar/plain_runner.h"
#include "sidecar/prompt_runner.h"
#include "sidecar/run.h"

namespace bluebellstep {

/**
 * Receives requests from entry instances, runs them on the upstream within its limits, and keeps
 * each run until its answer is delivered. Lives on the control thread.
 */
class SidecarCore {
 public:
  /** A run is cancelled if it has no connection to its entry instance for this time, unless it is
   * an order. */
  static constexpr Duration kDetachTimeout = {6000};

  /** Time for which the answer of a finished run is kept if it cannot be delivered. */
  static constexpr Duration kFinishedRetention = {30'000};

  /** All references must outlive this. `incarnation` must differ between restarts of this sidecar.
   */
  SidecarCore(RpcLoop& loop,
              HttpClient& client,
              PlatformClient& platform,
              const SidecarSettings& settings,
              std::uint64_t incarnation,
              Metrics& metrics);
  ~SidecarCore();

  /** Accepts a request, or returns the verdict with which it is refused. The answer is sent to
   * `sink`. */
  std::optional<Verdict> submit(wire::Request::Reader request, wire::AnswerSink::Client sink);

  /** Continues to send the answer of an attempt to a new sink, from event `next_index` on. Returns
   * false if the attempt is unknown or these events are no longer available. */
  bool resume(const AttemptKey& key, std::uint64_t next_index, wire::AnswerSink::Client sink);

  /** Cancels all attempts of a prompt or idempotent call. */
  void cancel(std::uint64_t entry_incarnation, std::uint64_t request_id);

  /** Applies the accounts, weight versions, order tables and cache stores of a new bundle. */
  void apply_bundle(const Bundle& bundle);

  /** Sets whether this sidecar's zone is in service. While it is not, requests that were not
   * dispatched are refused. */
  void set_zone_in_service(bool in_service);

  /** Refuses new requests from now on, for a shutdown. */
  void set_leaving();

  /** Writes the load, limit and weight versions of the upstream for entry instances. */
  void fill_hint(wire::UpstreamHint::Builder hint) const;

  /** Fails all unfinished runs, when a shutdown reaches its time limit. */
  void abort_all();

  /** Starts queued runs, handles time-outs, and removes runs that are delivered or expired. Call it
   * every few milliseconds. */
  void tick();

  /** Returns the cost served since the start of this process and whether requests are queued, by
   * client account. */
  std::vector<AccountServiceReport> served_accounts() const;

  /** Applies a report of an entry instance on the service of the whole pool to an account. */
  void apply_pool_report(std::string_view entry, const AccountServiceReport& report) {
    pool_service_.apply(entry, report);
  }

  /** Returns the number of runs whose answer is not delivered yet. */
  std::size_t open_runs() const;

  /** Returns the JSON document for the status route. */
  std::string status_document() const;

 private:
  /** What `tick` does with a run. */
  enum class RunAction : std::uint8_t { kNone, kCheckTimeout, kExpire, kRemove };

  RunAction action_for(const Run& run, Instant now) const;
  void expire(RequestId id);
  RunSpec read_spec(wire::Request::Reader request) const;
  std::optional<Verdict> check_request(const RunSpec& spec) const;
  std::optional<Verdict> accept_order(Run& run);
  std::optional<Verdict> admit(Run& run);
  AdmissionRequest admission_request(const Run& run, bool from_queue) const;
  std::uint64_t kv_tokens(const RunSpec& spec) const;
  void start_queued();
  void start(Run& run, SlotId slot);
  void refuse_queued(Run& run, const Verdict& verdict);
  void handle_first_token(Run& run, const EngineStarted& started);
  void finish_run(Run& run, RunResult result, Outcome outcome);
  void handle_cold_signal(std::optional<ColdSignal> signal);
  void charge(const Run& run);
  void correct_shares(Instant now);
  void apply_weights();
  void cancel_run(Run& run);
  void remove_run(RequestId id);
  Run* find(RequestId id);

  RpcLoop& loop_;
  SidecarSettings settings_;
  Metrics& metrics_;
  Clock clock_;
  std::shared_ptr<const Bundle> bundle_;
  OrderTables order_tables_;
  NameTable<AccountId> accounts_;
  NameTable<ModelId> models_;
  AdmissionController admission_;
  FairQueue queue_;
  // Each entry instance reports sums over the whole pool, so these totals are a multiple of the
  // actual service. Only the ratios between accounts are used.
  ServiceTotals pool_service_;
  ShareCorrector share_corrector_;
  Instant next_share_correction_at_;
  bool zone_in_service_ = true;
  bool leaving_ = false;
  std::uint64_t next_id_ = 1;
  std::map<RequestId, Run> runs_;
  std::map<AttemptKey, RequestId> by_attempt_;                     // Contains every run in runs_.
  std::map<std::string, std::uint64_t, std::less<>> served_cost_;  // In tokens, by account.
  EngineCache cache_;
  PromptRunner prompt_runner_;
  PlainRunner plain_runner_;
  // Expires with this object, so that tasks posted to the loop can detect its destruction.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_SIDECAR_CORE_H_
