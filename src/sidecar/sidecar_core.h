// The requests at a sidecar: admission, fair queue, dispatch, delivery.

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
 * Takes requests from entry instances, runs them on the upstream beside it within the limits, and
 * keeps each run until its answer is delivered. Lives on the control thread.
 */
class SidecarCore {
 public:
  /** A run whose entry instance is gone for this long is cancelled, unless it is an order. */
  static constexpr Duration kDetachTimeout = {6000};

  /** An answer that nobody fetches is kept this long. */
  static constexpr Duration kFinishedRetention = {30'000};

  /** All references must outlive this. `incarnation` is unique among the restarts of this sidecar.
   */
  SidecarCore(RpcLoop& loop,
              HttpClient& client,
              PlatformClient& platform,
              const SidecarSettings& settings,
              std::uint64_t incarnation,
              Metrics& metrics);
  ~SidecarCore();

  /** Takes a request, or returns why not. Events go to `sink`. */
  std::optional<Verdict> submit(wire::Request::Reader request, wire::AnswerSink::Client sink);

  /** Sends the events of a known attempt to a new sink. Returns false if the attempt is not known.
   */
  bool resume(const AttemptKey& key, std::uint64_t next_index, wire::AnswerSink::Client sink);

  /** Cancels all attempts of a prompt or idempotent call. */
  void cancel(std::uint64_t entry_incarnation, std::uint64_t request_id);

  /** Applies a new bundle. */
  void apply_bundle(const Bundle& bundle);

  /** Applies the state of this sidecar's zone. */
  void set_zone_in_service(bool in_service);

  /** Refuses new work from now on, for a shutdown. */
  void set_leaving();

  /** Describes load and limits to entry instances. */
  void fill_hint(wire::UpstreamHint::Builder hint) const;

  /** Ends all runs that are not finished, for a stop that reached its limit. */
  void abort_all();

  /** Starts due runs, cancels and forgets old ones; call it every few milliseconds. */
  void tick();

  /** Cost served since the start and whether requests wait, by client account. */
  std::vector<AccountServiceReport> served_accounts() const;

  /** Takes in what an entry instance knows of the service of the whole pool. */
  void apply_pool_report(std::string_view entry, const AccountServiceReport& report) {
    pool_service_.apply(entry, report);
  }

  /** Runs whose answer is not delivered yet. */
  std::size_t open_runs() const;

  /** JSON document for the status route. */
  std::string status_document() const;

 private:
  /** What a run needs from time to time. */
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
  // Every entry instance reports the sums of the whole pool, so these are a multiple of them; only
  // shares are used.
  ServiceTotals pool_service_;
  ShareCorrector share_corrector_;
  Instant next_share_correction_at_;
  bool zone_in_service_ = true;
  bool leaving_ = false;
  std::uint64_t next_id_ = 1;
  std::map<RequestId, Run> runs_;
  std::map<AttemptKey, RequestId> by_attempt_;                     // Of all runs in runs_.
  std::map<std::string, std::uint64_t, std::less<>> served_cost_;  // Cost in tokens by account.
  EngineCache cache_;
  PromptRunner prompt_runner_;
  PlainRunner plain_runner_;
  // Tasks posted to the loop find it expired after this is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_SIDECAR_CORE_H_
