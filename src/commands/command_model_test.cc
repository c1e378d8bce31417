// Randomized test of commands and weight loads under a virtual clock: several lease holders with
// pauses directly before sending, expired leases, lost answers, late writes and a platform outage.

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/overloaded.h"
#include "commands/command_dispatcher.h"
#include "commands/weight_load_gate.h"
#include "tests/support/event_queue.h"
#include "tests/support/pausing_process.h"
#include "tests/support/simulated_platform.h"

namespace bluebellstep {
namespace {

/** Rule to disable in a run, to show that the checks detect its absence. */
enum class Omitted {
  kNothing,
  kCheckBeforeSending,
  kGrace,
  kFencingNumber,
  kSendMargin,  // Pauses between check and write exceed the margin.
};

constexpr Duration kTerm{4000};
constexpr Duration kMargin{500};
constexpr Duration kMaxExecutionTime{2000};  // Command timeout, or maximum duration of a load.
constexpr Instant kEnd{400'000};

/** Period in which a command or a load is executed. */
struct Effect {
  std::uint64_t fencing_number;
  Instant from;
  Instant until;
};

bool overlap(const Effect& a, const Effect& b) {
  return a.from < b.until && b.from < a.until;
}

/** Environment of both simulations: performs the platform calls of a state machine. */
class Environment {
 public:
  explicit Environment(std::uint64_t seed) : queue(seed, Instant{0}), platform(queue) {
    const Instant down = Instant{0} + queue.random_duration(0, 60'000);
    platform.set_outage(down, down + queue.random_duration(0, 10'000));
  }

  template <typename Machine>
  void call(PausingProcess& process,
            Machine& machine,
            const PlatformRead& read,
            const std::function<void()>& pump) {
    platform.read(read, [this, &process, &machine, pump](const auto& result) {
      process.after(0_ms, [this, &machine, pump, result] {
        machine.on_read(result, queue.now());
        pump();
      });
    });
  }

  template <typename Machine>
  void call(PausingProcess& process,
            Machine& machine,
            const PlatformWrite& write,
            const std::function<void()>& pump) {
    platform.write(write, [this, &process, &machine, pump](const auto& result) {
      process.after(0_ms, [this, &machine, pump, result] {
        machine.on_write(result, queue.now());
        pump();
      });
    });
  }

  void pause_sometimes(PausingProcess& process) {
    if (queue.random().chance(0.3)) {
      process.pause(queue.random_duration(0, 12'000));
    }
  }

  EventQueue queue;
  SimulatedPlatform platform;
  std::vector<Effect> effects;
};

/** Three lease holders send commands to one upstream. */
class CommandSimulation {
 public:
  CommandSimulation(std::uint64_t seed, bool upstream_checks, Omitted omitted)
      : environment_(seed), upstream_checks_(upstream_checks), omitted_(omitted) {}

  std::optional<std::string> run() {
    const bool grace = !upstream_checks_ && omitted_ != Omitted::kGrace;
    for (int i = 0; i < 3; ++i) {
      holders_.push_back(std::make_unique<Holder>(
          environment_.queue, LeaseSettings{.object_key = "leases/u1",
                                            .holder = std::to_string(i),
                                            .term = kTerm,
                                            .grace = grace ? kMaxExecutionTime : Duration{0},
                                            .send_margin = kMargin}));
      Holder& holder = *holders_.back();
      for (int commands = 0; commands < 4; ++commands) {
        holder.process.after(environment_.queue.random_duration(0, 60'000), [this, &holder] {
          holder.dispatcher.add({});
          pump(holder);
        });
      }
    }
    environment_.queue.run_until(kEnd);
    return find_violation();
  }

 private:
  struct Holder {
    Holder(EventQueue& queue, LeaseSettings lease)
        : process(queue), dispatcher(std::move(lease), kMaxExecutionTime) {}
    PausingProcess process;
    CommandDispatcher dispatcher;
  };

  void pump(Holder& holder) {
    const auto again = [this, &holder] { pump(holder); };
    const auto platform_call = [&](const auto& call) {
      environment_.call(holder.process, holder.dispatcher, call, again);
    };
    std::visit(Overloaded{[&](const PlatformRead& read) { platform_call(read); },
                          [&](const PlatformWrite& write) { platform_call(write); },
                          [&](const SendCommand& send) { try_send(holder, send); },
                          [&](DispatchWait wait) {
                            const Duration delay = wait.at - environment_.queue.now();
                            holder.process.after(std::max(delay, 1_ms), again);
                          },
                          [](DispatchPending) {}, [](DispatchIdle) {}},
               holder.dispatcher.next(environment_.queue.now()));
  }

  void try_send(Holder& holder, const SendCommand& send) {
    const Instant decided_at = environment_.queue.now();
    environment_.pause_sometimes(holder.process);
    holder.process.after(0_ms, [=, this, &holder] {
      const Instant checked_at =
          omitted_ == Omitted::kCheckBeforeSending ? decided_at : environment_.queue.now();
      if (!holder.dispatcher.confirm_send(send, checked_at)) {
        return pump(holder);
      }
      // Pause between check and write. Any duration is safe if the upstream checks fencing numbers.
      if (upstream_checks_ || omitted_ == Omitted::kSendMargin) {
        environment_.pause_sometimes(holder.process);
      } else {
        holder.process.pause(environment_.queue.random_duration(0, kMargin.ms));
      }
      holder.process.after(0_ms, [=, this, &holder] { write_command(holder, send); });
    });
  }

  void write_command(Holder& holder, const SendCommand& send) {
    const Duration travel = environment_.queue.random_duration(1, 200);
    const Duration work = environment_.queue.random_duration(1, kMaxExecutionTime.ms - 200);
    const bool lost = environment_.queue.random().chance(0.2);
    const auto report = [=, this, &holder](Duration delay, CommandResult result) {
      holder.process.after(delay, [=, this, &holder] {
        holder.dispatcher.on_result(send.id, result, environment_.queue.now());
        pump(holder);
      });
    };
    environment_.queue.after(travel, [=, this] {
      if (upstream_checks_ && send.fencing_number < highest_ &&
          omitted_ != Omitted::kFencingNumber) {
        return report(1_ms, CommandStale{highest_});
      }
      highest_ = std::max(highest_, send.fencing_number);
      const Instant now = environment_.queue.now();
      environment_.effects.push_back({send.fencing_number, now, now + work});
      if (!lost) {
        report(work, CommandAccepted{});
      }
    });
    if (lost) {  // The connection breaks before the timeout; execution continues.
      report(environment_.queue.random_duration(1, kMaxExecutionTime.ms), CommandUnanswered{});
    }
  }

  std::optional<std::string> find_violation() {
    const auto& effects = environment_.effects;  // By start time.
    for (std::size_t i = 0; i < effects.size(); ++i) {
      for (std::size_t j = i + 1; j < effects.size(); ++j) {
        if (effects[j].fencing_number < effects[i].fencing_number) {
          return "a stale command was executed after a newer one";
        }
        if (!upstream_checks_ && effects[i].fencing_number != effects[j].fencing_number &&
            overlap(effects[i], effects[j])) {
          return "commands of two lease holders overlapped";
        }
      }
    }
    std::size_t finished = 0;
    for (const auto& holder : holders_) {
      finished += holder->dispatcher.take_finished().size();
    }
    return finished == 12 ? std::nullopt : std::optional<std::string>("a command did not finish");
  }

  Environment environment_;
  bool upstream_checks_;
  Omitted omitted_;
  std::uint64_t highest_ = 0;  // Highest fencing number received by the upstream.
  std::vector<std::unique_ptr<Holder>> holders_;
};

/** Six sidecars load weights. */
class LoadSimulation {
 public:
  LoadSimulation(std::uint64_t seed, Omitted omitted) : environment_(seed), omitted_(omitted) {}

  std::optional<std::string> run() {
    const WeightLoadTimes times{
        .lease_term = kTerm,
        .max_load_duration = omitted_ == Omitted::kGrace ? Duration{0} : kMaxExecutionTime,
        .send_margin = kMargin};
    for (int i = 0; i < 6; ++i) {
      sidecars_.push_back(std::make_unique<Sidecar>(environment_.queue, std::to_string(i), times));
      Sidecar& sidecar = *sidecars_.back();
      for (int loads = 0; loads < 3; ++loads) {
        sidecar.process.after(
            environment_.queue.random_duration(0, 20'000) + Duration{60'000} * loads,
            [this, &sidecar] {
              sidecar.gate.request();
              pump(sidecar);
            });
      }
    }
    environment_.queue.run_until(kEnd);
    return find_violation();
  }

 private:
  struct Sidecar {
    Sidecar(EventQueue& queue, const std::string& name, const WeightLoadTimes& times)
        : process(queue), gate("weight-load", name, times) {}
    PausingProcess process;
    WeightLoadGate gate;
    bool deciding = false;  // Between `GateSlotHeld` and `begin_load`.
  };

  void pump(Sidecar& sidecar) {
    if (sidecar.deciding) {
      return;
    }
    const auto again = [this, &sidecar] { pump(sidecar); };
    const auto platform_call = [&](const auto& call) {
      environment_.call(sidecar.process, sidecar.gate, call, again);
    };
    std::visit(Overloaded{[&](const PlatformRead& read) { platform_call(read); },
                          [&](const PlatformWrite& write) { platform_call(write); },
                          [&](GateSlotHeld) { try_load(sidecar); },
                          [&](GateWait wait) {
                            const Duration delay = wait.at - environment_.queue.now();
                            sidecar.process.after(std::max(delay, 1_ms), again);
                          },
                          [](GateCallPending) {}, [](GateIdle) {}},
               sidecar.gate.next(environment_.queue.now()));
  }

  void try_load(Sidecar& sidecar) {
    sidecar.deciding = true;
    const Instant decided_at = environment_.queue.now();
    environment_.pause_sometimes(sidecar.process);
    sidecar.process.after(0_ms, [=, this, &sidecar] {
      sidecar.deciding = false;
      const bool skips_check = omitted_ == Omitted::kCheckBeforeSending;
      if (sidecar.gate.begin_load(skips_check ? decided_at : environment_.queue.now())) {
        sidecar.process.pause(environment_.queue.random_duration(0, kMargin.ms));
        sidecar.process.after(0_ms, [this, &sidecar] { load(sidecar); });
      }
      pump(sidecar);
    });
  }

  void load(Sidecar& sidecar) {
    const Duration work = environment_.queue.random_duration(1, kMaxExecutionTime.ms);
    const bool lost = environment_.queue.random().chance(0.2);
    const Instant now = environment_.queue.now();
    environment_.effects.push_back({0, now, now + work});
    environment_.pause_sometimes(sidecar.process);
    sidecar.process.after(lost ? environment_.queue.random_duration(1, work.ms) : work,
                          [=, this, &sidecar] {
                            sidecar.gate.end_load(!lost, environment_.queue.now());
                            pump(sidecar);
                          });
  }

  std::optional<std::string> find_violation() const {
    const auto& effects = environment_.effects;
    for (const Effect& effect : effects) {
      const auto concurrent =
          std::count_if(effects.begin(), effects.end(), [&](const Effect& other) {
            return other.from <= effect.from && effect.from < other.until;
          });
      if (concurrent > 2) {
        return "three concurrent loads";
      }
    }
    // A request during an earlier load is satisfied by that load, so there may be fewer than 18.
    return effects.size() >= 6 ? std::nullopt : std::optional<std::string>("a load did not start");
  }

  Environment environment_;
  Omitted omitted_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
};

constexpr std::uint64_t kSeeds = 3000;

using Run = std::function<std::optional<std::string>(std::uint64_t)>;

std::optional<std::string> first_violation(const Run& run) {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    if (const auto violation = run(seed)) {
      return "seed " + std::to_string(seed) + ": " + *violation;
    }
  }
  return std::nullopt;
}

Run command_run(bool upstream_checks, Omitted omitted) {
  return
      [=](std::uint64_t seed) { return CommandSimulation(seed, upstream_checks, omitted).run(); };
}

Run load_run(Omitted omitted) {
  return [=](std::uint64_t seed) { return LoadSimulation(seed, omitted).run(); };
}

}  // namespace

// Guards against overlapping commands of two lease holders, and against a stale command that is
// executed after a newer one.
TEST_CASE("commands of different lease holders do not overlap", "[commands][model]") {
  const bool upstream_checks = GENERATE(false, true);
  CAPTURE(upstream_checks);
  const auto violation = first_violation(command_run(upstream_checks, Omitted::kNothing));
  INFO(violation.value_or(""));
  CHECK_FALSE(violation.has_value());
}

TEST_CASE("at most two weight loads run concurrently", "[commands][model]") {
  const auto violation = first_violation(load_run(Omitted::kNothing));
  INFO(violation.value_or(""));
  CHECK_FALSE(violation.has_value());
}

// Guards against a simulation that does not detect a missing rule.
TEST_CASE("each rule of the commands is needed", "[commands][model]") {
  CHECK(first_violation(command_run(false, Omitted::kCheckBeforeSending)).has_value());
  CHECK(first_violation(command_run(false, Omitted::kGrace)).has_value());
  CHECK(first_violation(command_run(false, Omitted::kSendMargin)).has_value());
  CHECK(first_violation(command_run(true, Omitted::kFencingNumber)).has_value());
  CHECK(first_violation(load_run(Omitted::kCheckBeforeSending)).has_value());
  CHECK(first_violation(load_run(Omitted::kGrace)).has_value());
}

}  // namespace bluebellstep
