// Runs calls of the plain service beside this sidecar: idempotent calls, and orders at most once.

#ifndef BLUEBELLSTEP_SIDECAR_PLAIN_RUNNER_H_
#define BLUEBELLSTEP_SIDECAR_PLAIN_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "http/http_client.h"
#include "orders/order_ledger.h"
#include "platform/platform_client.h"
#include "rpc/rpc_loop.h"
#include "sidecar/run.h"

namespace bluebellstep {

/** Settings of a `PlainRunner`. */
struct PlainRunnerOptions {
  Endpoint service;
  std::uint64_t incarnation = 0;  // Unique among the restarts of this sidecar.
  OrderLedgerLimits ledger;
  Duration response_timeout = {30'000};  // Longest silence of the service.
  Duration claim_timeout = {2'000};      // Longest time to claim an opaque key in the platform.
};

/** Dispatches admitted calls and keeps the ledger of orders. Lives on the control thread. */
class PlainRunner {
 public:
  /** Callbacks, all on the control thread. */
  struct Listener {
    /** Returns a run, or null if it is over. */
    std::function<Run*(RequestId)> find_run;

    /** An opaque key is claimed: the run wants to be admitted. */
    std::function<void(Run&)> on_claimed;

    /** A run is over. The listener may erase it. */
    std::function<void(Run&, RunResult, Outcome)> on_finished;
  };

  /** The ledger starts at `wall_now`; call this only after the RPC port of the slot is bound. */
  PlainRunner(RpcLoop& loop,
              HttpClient& client,
              PlatformClient& platform,
              PlainRunnerOptions options,
              Instant wall_now,
              Listener listener);
  ~PlainRunner();

  /** What becomes of an order before admission. */
  enum class OrderClaimResult : std::uint8_t {
    kAdmit,     // The claim is held: admit and start the run, or call `refuse`.
    kPending,   // The run waits for the platform or for another run; the listener will be told.
    kAnswered,  // The run is finished with its answer.
  };

  /** Claims the order's key. If that is refused, nothing is held and the verdict is returned. */
  std::variant<OrderClaimResult, Verdict> claim_order(Run& run);

  /** Ends a call or order that was not dispatched. Frees the claim of an order, and gives the
   * verdict to the run and to all runs that joined it. `verdict` must say "not run". */
  void refuse(Run& run, const Verdict& verdict);

  /** Frees the claim of an order that was refused right after `claim_order` returned `kAdmit`.
   * Nobody is told. */
  void release_claim(Run& run);

  /** Starts an admitted call or order. */
  void start(Run& run);

  /** Stops waiting for an idempotent call. The listener is not called. */
  void cancel(Run& run);

  std::size_t held_claims() const { return ledger_.held_claims(); }

 private:
  using ResultOf = std::function<RunResult(Run&)>;

  void start_opaque_claim(Run& run, std::uint64_t body_hash);
  void continue_opaque_claim(RequestId id, std::shared_ptr<OpaqueClaim> claim);
  void make_platform_call(OpaqueClaim& claim, std::function<void()> on_done);
  void write_outcome_to_platform(std::shared_ptr<OpaqueClaim> claim);
  void handle_response(RequestId id, HttpClient::Response response);
  void handle_order_response(Run& run, HttpClient::Response response);
  void replay(Run& run, const AnswerView& answer);
  void deliver_answer(ClaimId claim,
                      const OrderAnswer& answer,
                      bool replayed_to_holder,
                      Outcome outcome);
  void finish_waiters(ClaimId claim, const ResultOf& result_of, Outcome outcome);
  void fail_waiters(ClaimId claim, const Verdict& verdict, Outcome outcome);

  RpcLoop& loop_;
  HttpClient& client_;
  PlatformClient& platform_;
  PlainRunnerOptions options_;
  Listener listener_;
  Clock clock_;
  OrderLedger ledger_;
  std::uint64_t next_nonce_ = 1;
  // Runs that wait for the outcome of a claim; the one that holds it is first. Keyed by slot and
  // generation.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<RequestId>> waiters_;
  std::shared_ptr<PlainRunner*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_PLAIN_RUNNER_H_
