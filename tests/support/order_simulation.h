// Simulation of orders under faults: entry instances, owners (the upstreams that hold the
// claims), an order service and the platform under a virtual clock, with lost, delayed, reordered
// and duplicated messages, kills, pauses and outages. A run is reproducible from its seed.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_ORDER_SIMULATION_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_ORDER_SIMULATION_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/overloaded.h"
#include "orders/opaque_claim.h"
#include "orders/order_attempts.h"
#include "orders/order_ledger.h"
#include "orders/order_table.h"
#include "tests/support/event_queue.h"
#include "tests/support/simulated_platform.h"

namespace bluebellstep::order_simulation {

/** Rule to disable in a run, to show that the checks detect its absence. */
enum class Omitted {
  kNothing,
  kCreationTimeFloor,  // An incarnation accepts keys that an earlier one may have accepted.
  kClockDifference,    // The creation time floor includes only the future allowance.
  kDispatchMark,       // The ledger does not record that an order is dispatched.
  kJoin,               // An order whose key is already claimed is dispatched again.
  kOpaqueClaim,        // An opaque key is dispatched without a claim at the platform.
  kOpenAttempts,       // "Not run" of one attempt is reported while other attempts may have run.
};

inline constexpr Instant kStart{1'733'000'000'000};
inline constexpr Duration kRunTime{60'000};
inline constexpr int kOwners = 3;
inline constexpr int kEntries = 3;
inline constexpr int kKeys = 40;
inline constexpr int kMaxAttempts = 3;

/** How a call ended for its caller. */
struct CallResult {
  RunState run_state = RunState::kMayHaveRun;
  std::optional<std::string> reference;  // Of the execution; set if an answer was received.
  Verdict verdict = Verdict::may_have_run(Reason::kConnectionLost, "");
};

/** A caller's request for an order, through one entry instance. */
struct Call {
  int key = 0;
  std::uint64_t body = 0;
  int entry = 0;
  OrderAttempts attempts;
  int sent = 0;                     // Number of attempts sent.
  std::optional<CallResult> final;  // Set when the call ends.
};

/** An execution of an order at the order service. */
struct Execution {
  int call;
  std::uint64_t body;
  std::string reference;
};

/** An order key and the executions under it. */
struct KeyState {
  std::optional<OrderKey> key;
  std::vector<Execution> executions;
};

/** An attempt of a call to which an owner must respond. */
struct Waiter {
  int call;
  std::uint32_t attempt;
};

/** An order that an incarnation has claimed, and the attempts that wait for its result. */
struct PendingOrder {
  ClaimId claim;
  int dispatched_call = 0;  // Call whose request is sent to the order service.
  std::vector<Waiter> waiters;
  std::optional<OpaqueClaim> opaque;  // Set if the key is opaque.
};

/** Process of an owner from its start to its end. */
struct Incarnation {
  std::uint64_t number;
  Duration clock_skew;  // Difference of its wall clock from the virtual clock.
  OrderLedger ledger;
  std::map<std::uint32_t, std::shared_ptr<PendingOrder>> pending;  // By claim slot.
};

/** An upstream that may own keys: the port, and the process that is bound to it. */
struct Owner {
  std::unique_ptr<Incarnation> incarnation;  // Null while no process runs.
  bool paused = false;
  std::vector<std::function<void()>> delayed_messages;  // Messages that arrived during a pause.
};

/** One run. */
class Simulation {
 public:
  Simulation(std::uint64_t seed, Omitted omitted)
      : queue_(seed, kStart),
        platform_(queue_),
        omitted_(omitted),
        first_table_({{Instant{0}, {"0", "1", "2"}}}),
        table_({{Instant{0}, {"0", "1", "2"}}, {kStart + 40_s, {"1", "2"}}}) {}

  /** Runs to the end and returns a description of the first violation found, if any. Call it only
   * once. */
  std::optional<std::string> run() {
    for (int owner = 0; owner < kOwners; ++owner) {
      start_incarnation(owner);
      schedule_kills_and_pauses(owner);
    }
    const Instant outage_start = kStart + queue_.random_duration(0, 50'000);
    platform_.set_outage(outage_start, outage_start + queue_.random_duration(0, 8000));
    for (int key = 0; key < kKeys; ++key) {
      schedule_calls(key);
    }
    queue_.run_until(kStart + kRunTime * 10);
    return find_violation();
  }

  /** Number of calls that were made. */
  std::size_t call_count() const { return calls_.size(); }

  /** Number of calls that received an answer. Valid after `run`. */
  std::size_t answered_call_count() const {
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(), [](const Call& call) { return call.final->reference; }));
  }

 private:
  void after(Duration delay, std::function<void()> action) {
    queue_.after(delay, std::move(action));
  }

  // Runs `action` at the current incarnation after `delay`. It is lost if the incarnation has ended
  // by then, and delayed until the process resumes if it is paused.
  void run_at_owner(int owner, Duration delay, std::function<void(Incarnation&)> action) {
    const std::uint64_t number = owners_[owner].incarnation->number;
    after(delay, [=, this] { deliver(owner, number, action); });
  }

  // Runs `action` at the incarnation with this number, if it is still the current one.
  void deliver(int owner, std::uint64_t number, const std::function<void(Incarnation&)>& action) {
    Owner& target = owners_[owner];
    if (!target.incarnation || target.incarnation->number != number) {
      return;
    }
    if (target.paused) {
      target.delayed_messages.push_back([=, this] { deliver(owner, number, action); });
      return;
    }
    action(*target.incarnation);
  }

  void start_incarnation(int owner) {
    Owner& owner_state = owners_[owner];
    if (owner_state.incarnation) {
      return;  // The earlier process is still bound to the port, even if it is paused.
    }
    const Duration clock_skew = queue_.random().chance(0.5) ? Duration{500} : Duration{-500};
    OrderLedgerLimits limits{.max_claims = 30, .max_answer_bytes = 2000};
    Instant start = queue_.now() + clock_skew;
    if (omitted_ == Omitted::kCreationTimeFloor) {
      start = Instant{0};
    }
    if (omitted_ == Omitted::kClockDifference) {
      limits.max_clock_difference = Duration{0};
    }
    owner_state.incarnation.reset(
        new Incarnation{++last_incarnation_, clock_skew, OrderLedger(limits, start), {}});
  }

  void schedule_kills_and_pauses(int owner) {
    for (std::uint64_t i = queue_.random().below(4); i > 0; --i) {
      const Duration at = queue_.random_duration(0, kRunTime.ms);
      after(at, [=, this] { kill(owner); });
      after(at + (queue_.random().chance(0.5) ? queue_.random_duration(0, 100)
                                              : queue_.random_duration(0, 4000)),
            [=, this] { start_incarnation(owner); });
    }
    after(kRunTime, [=, this] { start_incarnation(owner); });
    for (std::uint64_t i = queue_.random().below(3); i > 0; --i) {
      const Duration at = queue_.random_duration(0, kRunTime.ms);
      after(at, [=, this] { owners_[owner].paused = owners_[owner].incarnation != nullptr; });
      after(at + queue_.random_duration(0, 3000), [=, this] { start_incarnation(owner); });
      after(at + queue_.random_duration(0, 20'000), [=, this] { resume(owner); });
    }
  }

  void kill(int owner) {
    owners_[owner].incarnation.reset();
    owners_[owner].paused = false;
    owners_[owner].delayed_messages.clear();
  }

  void resume(int owner) {
    owners_[owner].paused = false;
    for (auto& message : std::exchange(owners_[owner].delayed_messages, {})) {
      message();
    }
  }

  // Handles an order that arrived at an owner.
  void submit(int owner, Incarnation& self, Waiter waiter) {
    const Call& call = calls_[waiter.call];
    const OrderKey& key = *keys_[call.key].key;
    if (table_.owner(key) != std::to_string(owner)) {
      return respond(waiter, {RunState::kNotRun, {}, Verdict::not_run(Reason::kNotOwner, "")});
    }
    std::visit(Overloaded{[&](const ClaimAcquired& acquired) {
                            begin_order(owner, self, acquired.claim, waiter);
                          },
                          [&](const ReplayAnswer& replay) {
                            respond(waiter, answered_result(replay.answer.body));
                          },
                          [&](const JoinClaim& join) {
                            if (omitted_ == Omitted::kJoin) {
                              return begin_order(owner, self, join.claim, waiter);
                            }
                            self.pending.at(join.claim.slot)->waiters.push_back(waiter);
                          },
                          [&](const RefuseOrder& refuse) {
                            respond(waiter, refused_result(refuse.verdict));
                          }},
               self.ledger.claim(key, call.body, queue_.now() + self.clock_skew));
  }

  // Starts an order whose key is claimed in the ledger; an opaque key also needs a claim at the
  // platform.
  void begin_order(int owner, Incarnation& self, ClaimId claim, Waiter waiter) {
    const Call& call = calls_[waiter.call];
    const OrderKey& key = *keys_[call.key].key;
    auto pending = std::make_shared<PendingOrder>(PendingOrder{claim, waiter.call, {waiter}, {}});
    self.pending[claim.slot] = pending;
    if (!key.creation_time() && omitted_ != Omitted::kOpaqueClaim) {
      pending->opaque.emplace(key, OpaqueClaimant{self.number, ++last_nonce_}, call.body,
                              queue_.now() + 2000_ms);
      return advance_opaque_claim(owner, self, pending);
    }
    run_at_owner(owner, queue_.random_duration(0, 100),
                 [=, this](Incarnation& incarnation) { dispatch(owner, incarnation, pending); });
  }

  // Performs the next step of the claim at the platform.
  void advance_opaque_claim(int owner,
                            Incarnation& self,
                            const std::shared_ptr<PendingOrder>& pending) {
    const OpaqueClaimStep step = pending->opaque->next();
    std::visit(
        Overloaded{[&](const PlatformWrite& write) { write_to_platform(owner, pending, write); },
                   [&](const PlatformRead& read) { read_from_platform(owner, pending, read); },
                   [&](const OpaqueClaimAcquired&) { dispatch(owner, self, pending); },
                   [&](const OpaqueClaimReplay& replay) {
                     self.ledger.complete(pending->claim, replay.answer);
                     respond_to_all(*pending, answered_result(replay.answer.body));
                   },
                   [&](const RefuseOrder& refuse) {
                     self.ledger.abandon_before_dispatch(pending->claim);
                     respond_to_all(*pending, refused_result(refuse.verdict));
                   },
                   [](const OpaqueClaimFinished&) {}},
        step);
  }

  // Sends the order to the order service.
  void dispatch(int owner, Incarnation& self, const std::shared_ptr<PendingOrder>& pending) {
    if (queue_.random().chance(0.15)) {  // Connection refused.
      abandon(owner, self, pending);
      return;
    }
    if (omitted_ != Omitted::kDispatchMark && omitted_ != Omitted::kJoin) {
      if (!self.ledger.mark_dispatched(pending->claim)) {
        return respond_to_all(*pending, {});
      }
    } else if (omitted_ == Omitted::kJoin) {
      (void)self.ledger.mark_dispatched(pending->claim);
    }
    const auto on_broken = [=, this](Incarnation& incarnation) {
      on_answer_lost(owner, incarnation, pending);
    };
    const double draw = queue_.random().uniform();
    const std::uint64_t number = self.number;
    if (draw < 0.1) {  // The connection breaks before the execution.
      run_at_owner(owner, queue_.network_delay(), on_broken);
      return;
    }
    after(queue_.network_delay(), [=, this] {
      OrderAnswer answer{200, "text/plain", execute(pending->dispatched_call)};
      const bool answers = draw > 0.2;
      // Below 0.15 the connection breaks after the execution; from there to 0.2 no answer arrives.
      if (answers || draw < 0.15) {
        after(queue_.network_delay(), [=, this] {
          deliver(owner, number, [=, this](Incarnation& incarnation) {
            if (answers) {
              incarnation.ledger.complete(pending->claim, answer);
              respond_to_all(*pending, answered_result(answer.body));
              record_answer(owner, incarnation, pending, answer);
            } else {
              on_answer_lost(owner, incarnation, pending);
            }
          });
        });
      }
    });
    run_at_owner(owner, 3000_ms, on_broken);
  }

  // Records the answer in the claim at the platform, if there is one.
  void record_answer(int owner,
                     Incarnation& self,
                     const std::shared_ptr<PendingOrder>& pending,
                     const OrderAnswer& answer) {
    if (pending->opaque && std::holds_alternative<OpaqueClaimAcquired>(pending->opaque->next())) {
      pending->opaque->record(answer, queue_.now() + 2000_ms);
      advance_opaque_claim(owner, self, pending);
    }
  }

  // Ends an order that was not dispatched.
  void abandon(int owner, Incarnation& self, const std::shared_ptr<PendingOrder>& pending) {
    if (self.ledger.abandon_before_dispatch(pending->claim)) {
      respond_to_all(*pending,
                     {RunState::kNotRun, {}, Verdict::not_run(Reason::kUpstreamFailed, "")});
      if (pending->opaque) {
        pending->opaque->release(queue_.now() + 2000_ms);
        advance_opaque_claim(owner, self, pending);
      }
    }
  }

  void on_answer_lost(int owner, Incarnation& self, const std::shared_ptr<PendingOrder>& pending) {
    const auto state = self.ledger.state(pending->claim);
    if (state == ClaimState::kClaimed) {
      abandon(owner, self, pending);
    } else if (state == ClaimState::kDispatched) {
      self.ledger.mark_outcome_unknown(pending->claim);
      respond_to_all(*pending, {});
    }
  }

  // Executes the order of a call at the order service. Returns the reference of the execution.
  std::string execute(int call) {
    auto& executions = keys_[calls_[call].key].executions;
    executions.push_back(
        {call, calls_[call].body,
         std::to_string(calls_[call].key) + "#" + std::to_string(executions.size())});
    return executions.back().reference;
  }

  void write_to_platform(int owner,
                         const std::shared_ptr<PendingOrder>& pending,
                         const PlatformWrite& write) {
    const std::uint64_t number = owners_[owner].incarnation->number;
    platform_.write(write, [=, this](const PlatformClient::WriteResult& result) {
      deliver(owner, number, [=, this](Incarnation& self) {
        pending->opaque->on_write(result, queue_.now());
        advance_opaque_claim(owner, self, pending);
      });
    });
  }

  void read_from_platform(int owner,
                          const std::shared_ptr<PendingOrder>& pending,
                          const PlatformRead& read) {
    const std::uint64_t number = owners_[owner].incarnation->number;
    platform_.read(read, [=, this](const PlatformClient::ReadResult& result) {
      deliver(owner, number, [=, this](Incarnation& self) {
        pending->opaque->on_read(result, queue_.now());
        advance_opaque_claim(owner, self, pending);
      });
    });
  }

  // Schedules the first call with a key, and further ones with the same key.
  void schedule_calls(int index) {
    const Duration at = queue_.random_duration(0, kRunTime.ms);
    after(at, [=, this] {
      // Half of the creation times are near the limit of the future allowance, where the creation
      // time floor determines the result.
      const Instant creation_time =
          queue_.now() + (queue_.random().chance(0.5) ? queue_.random_duration(1500, 2600)
                                                      : queue_.random_duration(-1000, 3000));
      const bool opaque = queue_.random().chance(0.3);
      const std::string text =
          opaque ? "k" + std::to_string(index) : std::to_string(creation_time.ms) + "-k";
      keys_[index].key = OrderKey::parse("parts", std::to_string(index), text);
      make_call(index, 0);
      for (std::uint64_t i = queue_.random().below(4); i > 0; --i) {
        after(queue_.random().chance(0.5) ? queue_.random_duration(0, 200)
                                          : queue_.random_duration(0, 10'000),
              [=, this] { make_call(index, queue_.random().chance(0.1) ? 1 : 0); });
      }
    });
  }

  void make_call(int key, std::uint64_t body) {
    calls_.push_back({key, body, static_cast<int>(queue_.random().below(kEntries)), {}, 0, {}});
    send(static_cast<int>(calls_.size()) - 1);
  }

  void send(int index) {
    Call& call = calls_[index];
    ++call.sent;
    const Waiter waiter{index, call.attempts.start()};
    // Entry instance 0 adopts the current order tables late.
    const bool late = call.entry == 0 && queue_.now() < kStart + 13_s;
    const int owner =
        std::stoi(std::string(*(late ? first_table_ : table_).owner(*keys_[call.key].key)));
    if (!owners_[owner].incarnation) {  // Connection refused: no byte was sent.
      return receive(waiter, refused_result(Verdict::not_run(Reason::kUpstreamUnreachable, "")));
    }
    if (!queue_.random().chance(0.1)) {
      run_at_owner(owner, queue_.network_delay(),
                   [=, this](Incarnation& self) { submit(owner, self, waiter); });
    }
    after(queue_.random_duration(1500, 4000), [=, this] { on_timeout(waiter); });
  }

  void on_timeout(Waiter waiter) {
    Call& call = calls_[waiter.call];
    if (call.final || call.sent != static_cast<int>(waiter.attempt)) {
      return;
    }
    if (call.sent < kMaxAttempts) {
      return send(waiter.call);
    }
    call.final = CallResult{};
  }

  // Sends a response to the entry instance; it can be lost or duplicated.
  void respond(Waiter waiter, const CallResult& call_result) {
    for (int copies = queue_.random().chance(0.1) ? 2 : 1; copies > 0; --copies) {
      if (!queue_.random().chance(0.1)) {
        after(queue_.network_delay(), [=, this] { receive(waiter, call_result); });
      }
    }
  }

  void respond_to_all(PendingOrder& pending, const CallResult& call_result) {
    for (const Waiter waiter : std::exchange(pending.waiters, {})) {
      respond(waiter, call_result);
    }
  }

  void receive(Waiter waiter, CallResult call_result) {
    Call& call = calls_[waiter.call];
    if (call.final) {
      return;
    }
    if (!call_result.reference) {
      if (call_result.run_state == RunState::kNotRun) {
        call.attempts.mark_not_run(waiter.attempt);
        if (call.sent < kMaxAttempts && queue_.random().chance(0.3)) {
          return send(waiter.call);
        }
      }
      if (omitted_ != Omitted::kOpenAttempts) {
        call_result.run_state = call.attempts.verdict_for_caller(call_result.verdict).run_state();
      }
    }
    call.final = call_result;
  }

  static CallResult answered_result(std::string_view reference) {
    return {RunState::kRun, std::string(reference)};
  }
  static CallResult refused_result(const Verdict& verdict) {
    return {verdict.run_state(), {}, verdict};
  }

  std::optional<std::string> find_violation() const {
    for (std::size_t i = 0; i < keys_.size(); ++i) {
      if (keys_[i].executions.size() > 1) {
        return "key " + std::to_string(i) + " was executed twice";
      }
    }
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      if (auto violation = find_call_violation(static_cast<int>(i))) {
        return "call " + std::to_string(i) + " " + *violation;
      }
    }
    return std::nullopt;
  }

  std::optional<std::string> find_call_violation(int index) const {
    const Call& call = calls_[index];
    const auto& executions = keys_[call.key].executions;
    if (!call.final) {
      return "got no answer";
    }
    if (call.final->run_state == RunState::kNotRun) {
      const bool executed = std::any_of(executions.begin(), executions.end(),
                                        [&](const Execution& e) { return e.call == index; });
      return executed ? std::optional("was executed but got \"not run\"") : std::nullopt;
    }
    if (call.final->run_state == RunState::kRun && executions.empty()) {
      return "got \"run\" without an execution";
    }
    if (call.final->reference &&
        (call.final->reference != executions[0].reference || call.body != executions[0].body)) {
      return "got the answer of another order";
    }
    return std::nullopt;
  }

  EventQueue queue_;
  SimulatedPlatform platform_;
  Omitted omitted_;
  OrderTable first_table_;  // Without the table that takes effect during the run.
  OrderTable table_;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_nonce_ = 0;
  std::array<Owner, kOwners> owners_;
  std::array<KeyState, kKeys> keys_;
  std::vector<Call> calls_;
};

}  // namespace bluebellstep::order_simulation

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_ORDER_SIMULATION_H_
