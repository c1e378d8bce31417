// Simulation of a lease in a store that is restored from older copies, under a virtual clock:
// processes that hear of a restore from an answer, from another process or not at all, pauses,
// restarts under the same name, lost answers, and writes and orders that take effect late. A run is
// reproducible from its seed.

#ifndef BLUEBELLSTEP_TESTS_SUPPORT_LEASE_RESTORE_SIMULATION_H_
#define BLUEBELLSTEP_TESTS_SUPPORT_LEASE_RESTORE_SIMULATION_H_

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
#include "commands/fenced_lease.h"
#include "commands/fencing_number.h"
#include "store_history/store_era.h"
#include "tests/support/event_queue.h"
#include "tests/support/pausing_process.h"
#include "tests/support/simulated_platform.h"

namespace bluebellstep::lease_restore_simulation {

/** Rule to disable in a run, to show that the checks detect its absence. */
enum class Omitted {
  kNothing,
  kEra,        // Processes ignore the era in answers and messages.
  kWait,       // No wait after a restore.
  kAnswerEra,  // The era of an answer to a write is taken for that of the call.
  kHolderInFence,
  kCountInFence,
};

/** What befalls the processes and the store. */
enum class Faults {
  kRandom,
  kOneRestore,         // Nothing else.
  kRestoreAndKilling,  // The holder ends for ever when the store does.
};

/** What the store and the receiver of the orders do. */
struct Scenario {
  bool states_era = true;
  bool receiver_checks = false;  // Fencing numbers; orders may then be arbitrarily late.
  Omitted omitted = Omitted::kNothing;
  Faults faults = Faults::kRandom;
  Duration grace{2000};  // Time for an order to be carried out, unless the receiver checks.
};

inline constexpr Duration kTerm{3000};
inline constexpr Duration kMargin{700};
inline constexpr Duration kLongestTravel{200};  // Of an order, unless the receiver checks.
inline constexpr Duration kCheckInterval{500};
inline constexpr Duration kObservationInterval{50};
inline constexpr Duration kTimingInterval{5};
// Shortest time between the end of a process and the first call of the next one of its name.
inline constexpr std::int64_t kMinRestartMs = 500;
inline constexpr int kProcesses = 4;
inline constexpr Instant kFaultsEnd{50'000};
inline constexpr Instant kEnd{90'000};
inline constexpr Instant kTimingEnd{35'000};  // Without random faults.
// Longest delay of a write by `EventQueue::network_delay`.
inline constexpr Duration kLatestWrite{8000};
// Seven lost answers in a row, with the pauses between the attempts.
inline constexpr Duration kLostAnswers{5000};

/** An order while it is carried out. */
struct Effect {
  std::uint64_t fencing_number;
  std::size_t holder;
  Instant from;
  Instant until;
};

/** A process that competes for the lease; see `RolloutDriver` and `ObjectStoreClient`. */
struct Holder {
  Holder(EventQueue& queue,
         std::size_t name_index,
         std::uint64_t start_number,
         const LeaseSettings& settings)
      : index(name_index), start(start_number), process(queue), lease(settings) {}

  std::size_t index;    // Of the name, which a process keeps when it is restarted.
  std::uint64_t start;  // Identifies the process.
  PausingProcess process;
  StoreEra era;
  FencedLease lease;
  bool ended = false;
  bool rests = false;  // Sends no orders.
  std::optional<Instant> wakes_at;
  std::uint64_t last_number = 0;  // Of the lease.
};

/** Processes that send orders while they hold the lease, until some time after the last restore. */
class Simulation {
 public:
  Simulation(std::uint64_t seed, Scenario scenario)
      : queue_(seed, Instant{0}), platform_(queue_), scenario_(scenario) {
    platform_.set_states_era(scenario_.states_era);
    if (queue_.random().chance(0.5)) {
      platform_.restore(queue_.now());  // The first era is not always 0.
    }
  }

  /** Returns a description of the first violation, if any. Call it only once. */
  std::optional<std::string> run() {
    for (std::size_t index = 0; index < kProcesses; ++index) {
      start(index);
      if (index > 0 && scenario_.faults == Faults::kRandom) {
        schedule_fault(index);
      }
    }
    schedule_restores();
    observe();
    queue_.run_until(end());
    check_effects();
    check_progress();
    return violation_;
  }

  /** Time after the last restore for which no process held the lease. */
  Duration time_without_holder() const { return time_without_holder_; }

 private:
  // Whether processes pause and give the lease back.
  bool has_faults() const {
    return scenario_.faults == Faults::kRandom && queue_.now() < kFaultsEnd;
  }

  Instant end() const { return scenario_.faults == Faults::kRandom ? kEnd : kTimingEnd; }

  bool holds(const Holder& holder) const {
    return !holder.ended && holder.lease.may_act(queue_.now());
  }

  LeaseSettings settings(std::size_t index) const {
    return {.object_key = "leases/u1",
            .holder = "g" + std::to_string(index),
            .term = kTerm,
            .grace = scenario_.receiver_checks ? Duration{0} : scenario_.grace,
            .send_margin = kMargin};
  }

  void start(std::size_t index) {
    holders_[index] = std::make_shared<Holder>(queue_, index, ++starts_, settings(index));
    const auto holder = holders_[index];
    holder->lease.acquire();
    run_at(holder, 0_ms, [this, holder] { advance(holder); });
    send_orders(holder);
  }

  // Runs `action` unless the process has ended.
  void run_at(const std::shared_ptr<Holder>& holder, Duration delay, std::function<void()> action) {
    holder->process.after(delay, [holder, action = std::move(action)] {
      if (!holder->ended) {
        action();
      }
    });
  }

  // The first process has no fault, so that one that is able to hold the lease always exists.
  void schedule_fault(std::size_t index) {
    const Duration wait = queue_.random_duration(0, 15'000);
    const Duration duration = queue_.random_duration(kMinRestartMs, 12'000);
    if (queue_.now() + wait + duration > kFaultsEnd) {
      return;
    }
    queue_.after(wait, [this, index, duration] { begin_fault(index, duration); });
    queue_.after(wait + duration, [this, index] {
      if (holders_[index]->ended) {
        start(index);
      }
      schedule_fault(index);
    });
  }

  void begin_fault(std::size_t index, Duration duration) {
    const double kind = queue_.random().uniform();
    if (kind < 0.3) {
      holders_[index]->process.pause(duration);
    } else if (kind < 0.6) {
      cut_until_[index] = queue_.now() + duration;
    } else {
      holders_[index]->ended = true;
    }
  }

  void schedule_restores() {
    Instant at = Instant{0} + queue_.random_duration(5000, 25'000);
    if (scenario_.faults != Faults::kRandom) {
      platform_.set_lost_answer_share(0);
      return schedule_restore(Instant{0} + queue_.random_duration(8000, 12'000),
                              queue_.random_duration(0, 3000));
    }
    for (std::uint64_t left = 1 + queue_.random().below(3); left > 0; --left) {
      if (at >= kFaultsEnd) {
        return;
      }
      if (queue_.random().chance(0.5)) {
        queue_.after(at - queue_.now(), [this] { restores_after_acquisition_ += 1; });
      } else {
        schedule_restore(at, queue_.random_duration(0, 3000));
      }
      const bool in_a_row = queue_.random().chance(0.5);
      at = at + (in_a_row ? queue_.random_duration(1, 5000) : queue_.random_duration(5000, 25'000));
    }
  }

  // The store loses what it acknowledged shortly before `at`, and is away for `outage` from then.
  void schedule_restore(Instant at, Duration outage) {
    queue_.after(at - queue_.now(), [this, at, outage] { begin_outage(at, outage); });
    queue_.after(at + outage - queue_.now(), [this, at] { restore(at); });
  }

  void begin_outage(Instant at, Duration outage) {
    platform_.set_outage(at, at + outage);
    for (const auto& holder : holders_) {
      if (scenario_.faults == Faults::kRestoreAndKilling && holds(*holder)) {
        holder->ended = true;
      }
    }
  }

  void restore(Instant lost_at) {
    last_restore_ = queue_.now();
    time_without_holder_ = {};
    held_after_restore_.reset();
    platform_.restore(lost_at - queue_.random_duration(100, 10'000));
    if (!scenario_.states_era || scenario_.omitted == Omitted::kEra) {
      return;
    }
    for (std::size_t index = 0; index < kProcesses; ++index) {
      if (queue_.random().chance(0.5)) {
        queue_.after(queue_.random_duration(1, 5000),
                     [this, index, era = platform_.era()] { tell(holders_[index], era); });
      }
    }
  }

  // Another process tells of an era.
  void tell(const std::shared_ptr<Holder>& holder, std::uint64_t era) {
    run_at(holder, 0_ms, [this, holder, era] {
      holder->era.record_heard(era, queue_.now());
      advance(holder);
    });
  }

  void record_era(Holder& holder) {
    if (holder.era.known_since()) {
      const Instant since =
          scenario_.omitted == Omitted::kWait ? queue_.now() - 1000_s : *holder.era.known_since();
      holder.lease.record_era(holder.era.number(), since, queue_.now());
    }
  }

  void advance(const std::shared_ptr<Holder>& holder) {
    record_era(*holder);
    const LeaseStep step = holder->lease.next(queue_.now());
    record_number(*holder);
    std::visit(Overloaded{[&](const PlatformRead& read) { call(holder, read); },
                          [&](const PlatformWrite& write) { call(holder, write); },
                          [&](LeaseHeld held) { wake(holder, held.renew_at); },
                          [&](LeaseWait wait) { wake(holder, wait.at); },
                          [&](LeaseIdle) { wake(holder, queue_.now() + kCheckInterval); },
                          [](LeaseCallPending) {}},
               step);
  }

  void wake(const std::shared_ptr<Holder>& holder, Instant at) {
    at = std::clamp(at, queue_.now() + 1_ms, queue_.now() + kCheckInterval);
    if (holder->wakes_at && *holder->wakes_at <= at) {
      return;
    }
    holder->wakes_at = at;
    run_at(holder, at - queue_.now(), [this, holder, at] {
      if (holder->wakes_at == at) {
        holder->wakes_at.reset();
        advance(holder);
      }
    });
  }

  bool is_cut(std::size_t index) const { return queue_.now() < cut_until_[index]; }

  void call(const std::shared_ptr<Holder>& holder, const PlatformRead& read) {
    if (is_cut(holder->index)) {
      return fail(holder, read);
    }
    platform_.call(read, [this, holder](const SimulatedPlatform::ReadAnswer& answer) {
      run_at(holder, 0_ms, [this, holder, answer] {
        const auto era = era_of(*holder, answer, std::nullopt);
        auto result = era ? answer.result : PlatformUnavailable{};
        if (auto* object = std::get_if<std::optional<PlatformObject>>(&result);
            object != nullptr && *object) {
          (*object)->version.era = *era;
        }
        record_era(*holder);
        holder->lease.on_read(result, queue_.now());
        advance(holder);
      });
    });
  }

  void call(const std::shared_ptr<Holder>& holder, const PlatformWrite& write) {
    const auto named =
        write.expected.is_absent() ? std::nullopt : std::optional(write.expected.era);
    if (is_cut(holder->index) || (named && *named != holder->era.number())) {
      return fail(holder, write);
    }
    const std::uint64_t known = holder->era.number();
    platform_.call(
        write, [this, holder, named, known](const SimulatedPlatform::WriteAnswer& answer) {
          run_at(holder, 0_ms, [this, holder, named, known, answer] {
            const bool skips_era = scenario_.omitted == Omitted::kAnswerEra;
            const auto era = skips_era ? std::optional(known) : era_of(*holder, answer, named);
            auto result = era ? answer.result : PlatformUnavailable{};
            if (auto* revision = std::get_if<StoreRevision>(&result)) {
              revision->era = *era;
            } else if (auto* conflict = std::get_if<VersionConflict>(&result);
                       conflict != nullptr && !conflict->current.version.is_absent()) {
              conflict->current.version.era = *era;
            }
            record_era(*holder);
            holder->lease.on_write(result, queue_.now());
            advance(holder);
          });
        });
  }

  // Returns the era of an answer; nothing if the answer does not count.
  template <typename Result>
  std::optional<std::uint64_t> era_of(Holder& holder,
                                      const SimulatedPlatform::Answer<Result>& answer,
                                      std::optional<std::uint64_t> named) {
    if (scenario_.omitted == Omitted::kEra ||
        std::holds_alternative<PlatformUnavailable>(answer.result)) {
      return holder.era.number();
    }
    const auto era = holder.era.record_answer(answer.era, queue_.now());
    return named && era != named ? std::nullopt : era;
  }

  void fail(const std::shared_ptr<Holder>& holder, const PlatformRead&) {
    run_at(holder, queue_.random_duration(1, 500), [this, holder] {
      holder->lease.on_read(PlatformUnavailable{}, queue_.now());
      advance(holder);
    });
  }
  void fail(const std::shared_ptr<Holder>& holder, const PlatformWrite&) {
    run_at(holder, queue_.random_duration(1, 500), [this, holder] {
      holder->lease.on_write(PlatformUnavailable{}, queue_.now());
      advance(holder);
    });
  }

  // Checks the number of an acquisition.
  void record_number(Holder& holder) {
    const std::uint64_t number = fence_of(holder);
    if (number == 0 || number == holder.last_number) {
      return;
    }
    const auto [used, is_new] = used_numbers_.try_emplace(number, holder.index, holder.start);
    if (!is_new && used->second.first != holder.index) {
      report("two holders with one fencing number");
    } else if (!is_new && scenario_.states_era) {
      report("a fencing number was used for two acquisitions");
    }
    holder.last_number = number;
    // The acquisition is among what the store loses.
    if (restores_after_acquisition_ > 0 && queue_.now() < kFaultsEnd) {
      --restores_after_acquisition_;
      schedule_restore(queue_.now() + queue_.random_duration(1, 500), 0_ms);
    }
  }

  std::uint64_t fence_of(const Holder& holder) const {
    auto parts = FencingNumber::decode(holder.lease.fencing_number());
    if (scenario_.omitted == Omitted::kHolderInFence) {
      parts.holder = 0;
    } else if (scenario_.omitted == Omitted::kCountInFence) {
      parts.count = 0;
    }
    return parts.encode();
  }

  void send_orders(const std::shared_ptr<Holder>& holder) {
    run_at(holder, queue_.random_duration(100, 700), [this, holder] {
      if (holder->lease.may_act(queue_.now())) {
        check_other_holders(*holder);
        if (has_faults() && !holder->rests && queue_.random().chance(0.05)) {
          rest(holder);
        }
        if (has_faults() && queue_.random().chance(0.1)) {
          holder->process.pause(queue_.random_duration(0, 8000));
        }
        run_at(holder, 0_ms, [this, holder] { confirm_order(holder); });
      }
      send_orders(holder);
    });
  }

  // Checks again whether the order may be sent, then sends it after a pause that is not noticed.
  void confirm_order(const std::shared_ptr<Holder>& holder) {
    if (holder->rests || !holder->lease.may_act(queue_.now())) {
      return;
    }
    check_other_holders(*holder);
    const std::uint64_t number = fence_of(*holder);
    const auto send = [this, holder, number] { send_order(holder, number); };
    if (scenario_.receiver_checks) {
      holder->process.pause(queue_.random_duration(0, 5000));
      run_at(holder, 0_ms, send);
    } else {
      // No pause between the check and the sending is longer than the margin.
      const Duration pause = queue_.random_duration(0, kMargin.ms);
      holder->process.pause(pause);
      queue_.after(pause, [holder, send] {
        if (!holder->ended) {
          send();
        }
      });
    }
  }

  void send_order(const std::shared_ptr<Holder>& holder, std::uint64_t number) {
    // The same holder's orders overtake each other; those without an answer are the late ones.
    const Duration travel = scenario_.receiver_checks
                                ? queue_.network_delay()
                                : queue_.random_duration(1, kLongestTravel.ms);
    const Duration work = queue_.random_duration(1, scenario_.grace.ms - kLongestTravel.ms);
    queue_.after(travel, [this, holder, number, work] {
      const Instant now = queue_.now();
      if (scenario_.receiver_checks && number < highest_) {
        run_at(holder, 5_ms, [this, holder, number] {
          if (fence_of(*holder) == number) {
            holder->lease.report_rejected(holder->lease.fencing_number());
            advance(holder);
          }
        });
        return;
      }
      highest_ = std::max(highest_, number);
      effects_.push_back({number, holder->index, now, now + work});
    });
  }

  // Sends no orders, gives the lease back when all have ended, and requests it again.
  void rest(const std::shared_ptr<Holder>& holder) {
    holder->rests = true;
    run_at(holder, kTerm, [this, holder] {
      holder->lease.release();
      advance(holder);
    });
    run_at(holder, kTerm + queue_.random_duration(500, 6000), [this, holder] {
      holder->rests = false;
      holder->lease.acquire();
      advance(holder);
    });
  }

  void check_other_holders(const Holder& acting) {
    if (!scenario_.states_era) {
      return;  // A restore that nobody can notice may leave two holders.
    }
    for (const auto& other : holders_) {
      if (other->index != acting.index && holds(*other)) {
        report("two holders at once");
      }
    }
  }

  // Records when the lease was first held after the last restore, and for how long it was not.
  void observe() {
    const bool held = std::any_of(holders_.begin(), holders_.end(),
                                  [&](const auto& holder) { return holds(*holder); });
    if (held && queue_.now() > last_restore_ && !held_after_restore_) {
      held_after_restore_ = queue_.now();
    }
    if (!held) {
      time_without_holder_ = time_without_holder_ + kTimingInterval;
    }
    queue_.after(scenario_.faults == Faults::kRandom ? kObservationInterval : kTimingInterval,
                 [this] { observe(); });
  }

  void check_effects() {
    for (std::size_t i = 0; i < effects_.size(); ++i) {
      for (std::size_t j = i + 1; j < effects_.size() && scenario_.states_era; ++j) {
        const Effect& earlier = effects_[i];
        const Effect& later = effects_[j];
        // The orders of one holder are kept in order by its queue, unless the receiver checks.
        const bool ordered = scenario_.receiver_checks || later.holder != earlier.holder;
        if (ordered && later.fencing_number < earlier.fencing_number) {
          report("a stale order was carried out after a newer one");
        }
        if (!scenario_.receiver_checks && later.holder != earlier.holder &&
            later.from < earlier.until) {
          report("orders of two holders overlapped");
        }
      }
    }
  }

  void check_progress() {
    if (!scenario_.states_era) {
      return;
    }
    // A write of an earlier era that takes effect last restarts the wait.
    const Duration bound = kLatestWrite + kTerm + settings(0).grace + kLostAnswers;
    if (!held_after_restore_ || *held_after_restore_ > last_restore_ + bound) {
      report("the lease was not held within the bound after the last restore");
    }
    const bool carried_out =
        std::any_of(effects_.begin(), effects_.end(),
                    [this](const Effect& effect) { return effect.from > end() - 20_s; });
    if (!carried_out) {
      report("no order was carried out after the last fault");
    }
  }

  void report(const std::string& violation) {
    if (!violation_) {
      violation_ = violation + " at " + std::to_string(queue_.now().ms) + " ms";
    }
  }

  EventQueue queue_;
  SimulatedPlatform platform_;
  Scenario scenario_;
  std::array<std::shared_ptr<Holder>, kProcesses> holders_;  // The last of each name.
  std::array<Instant, kProcesses> cut_until_{};
  Instant last_restore_;
  std::optional<Instant> held_after_restore_;
  Duration time_without_holder_;
  int restores_after_acquisition_ = 0;  // That are due at the next acquisitions.
  std::uint64_t starts_ = 0;
  // Name and start of the process that used each number first.
  std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> used_numbers_;
  std::uint64_t highest_ = 0;    // Number that the receiver has seen.
  std::vector<Effect> effects_;  // By start.
  std::optional<std::string> violation_;
};

}  // namespace bluebellstep::lease_restore_simulation

#endif  // BLUEBELLSTEP_TESTS_SUPPORT_LEASE_RESTORE_SIMULATION_H_
