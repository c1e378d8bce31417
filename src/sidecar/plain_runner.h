// Runs calls on this sidecar's plain service: idempotent calls, and orders at most once.

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
  std::uint64_t incarnation = 0;  // Must differ between restarts of this sidecar.
  OrderLedgerLimits ledger;
  Duration response_timeout = {30'000};  // Maximum time without data from the service.
  Duration claim_timeout = {2'000};      // Maximum time to claim or record an opaque key.
};

/** Dispatches admitted calls and orders, and maintains the ledger of orders. Lives on the control
 * thread. */
class PlainRunner {
 public:
  /** Callbacks on the control thread. */
  struct Listener {
    /** Returns a run, or null if it no longer exists. */
    std::function<Run*(RequestId)> find_run;

    /** The opaque key of a run was claimed; the listener must admit and start the run, or call
     * `refuse`. */
    std::function<void(Run&)> on_claimed;

    /** A run has finished. The listener may erase it. */
    std::function<void(Run&, RunResult, Outcome)> on_finished;
  };

  /** `wall_now` is the start time of the ledger. Construct this only after the RPC port of the slot
   * is bound, which proves that no earlier incarnation is still running. All references must
   * outlive this. */
  PlainRunner(RpcLoop& loop,
              HttpClient& client,
              PlatformClient& platform,
              PlainRunnerOptions options,
              Instant wall_now,
              Listener listener);
  ~PlainRunner();

  /** Result of `claim_order` for an order that was not refused. */
  enum class OrderClaimResult : std::uint8_t {
    kAdmit,     // The run holds the claim; admit and start it, or call `refuse`.
    kPending,   // The run waits for the platform or for another run; the listener is called later.
    kAnswered,  // The run has finished with the recorded answer.
  };

  /** Claims the idempotency key of an order. If the claim is refused, returns the verdict, and the
   * run holds no claim. */
  std::variant<OrderClaimResult, Verdict> claim_order(Run& run);

  /** Finishes a call or order that was not dispatched with `verdict`, whose run state must be "not
   * run". Releases the claim of an order and also finishes all runs that have joined it. */
  void refuse(Run& run, const Verdict& verdict);

  /** Releases the claim of an order that was refused directly after `claim_order` returned
   * `kAdmit`. The listener is not called. */
  void release_claim(Run& run);

  /** Starts an admitted call or order. */
  void start(Run& run);

  /** Cancels an idempotent call. The listener is not called. */
  void cancel(Run& run);

  /** Returns the number of claims in the ledger. */
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
  // Runs that wait for the outcome of a claim, with the run that holds the claim first. The key is
  // the slot and generation of the claim.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<RequestId>> waiters_;
  std::shared_ptr<PlainRunner*> self_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SIDECAR_PLAIN_RUNNER_H_
