// Randomized soak test of real gateways whose store is restored from older copies, alone and while
// a gateway is killed, paused or cut off from the store. Run by tools/soak.sh; excluded from
// default runs.

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "tests/process/gateway_fleet.h"
#include "tests/process/store_restore.h"
#include "tests/soak/fault_proxy.h"

namespace bluebellstep::testing {
namespace {

constexpr int kRounds = 2;
constexpr int kLeavingPerRound = 4;
constexpr Duration kLeaseTerm{2000};
// Longer than the drain time of the stand-in, which is 2 s. A gateway that was paused or cut off
// need not have heard of all changes earlier.
constexpr Duration kContactTime{3000};
constexpr Duration kEndTimeout{15'000};
const std::vector<std::string> kGateways = {"g1", "g2", "g3"};

/** One run of three gateways. Each round restores the store once or twice. */
class RestoreSoak {
 public:
  explicit RestoreSoak(std::uint64_t seed) : random_(seed) {
    for (const std::string& gateway : kGateways) {
      proxies_[gateway] = std::make_unique<FaultProxy>(fleet_.store_port());
      fleet_.route_store(gateway, proxies_[gateway]->port());
    }
    for (const std::string& gateway : kGateways) {
      REQUIRE(fleet_.wait_until_ready(gateway, Duration{10'000}));
    }
  }

  void run() {
    for (int round = 0; round < kRounds; ++round) {
      requests_.send_for(random_time(500, 1000));
      copy_store(fleet_);
      steps_ += "copy;";
      change_servers();
      name_weights(fleet_, ++weights_);
      // All gateways hear of the changes.
      requests_.send_for(random_time(600, 1200));
      inject_fault();
      for (std::uint64_t restores = 1 + random_.below(2); restores > 0; --restores) {
        restore_store(fleet_, [&] { requests_.send(); });
        steps_ += " restored;";
        requests_.send_for(random_time(0, 800));
      }
      if (all_hear_) {
        change_servers();
      }
      requests_.send_for(random_time(0, 1000));
      end_fault();
      requests_.send_for(kContactTime);
    }
  }

  /** What was done, in order. */
  const std::string& steps() const { return steps_; }

  // Whether all gateways serve requests and all engines get the weights after the last fault.
  bool recovers() {
    return wait_until(kEndTimeout, [&] {
      bool served = true;
      for (const std::string& gateway : kGateways) {
        served = served && fleet_.request(gateway, "lookups", "lookups-end").status == 200;
      }
      return served && all_have_weights(fleet_, weights_);
    });
  }

  /** Returns a description of each violation, one per line. */
  std::string violations() {
    std::string found = WeightLoads(fleet_).violations(kLeaseTerm);
    if (fleet_.counter("late_requests") > 0) {
      found += "late requests: " + fleet_.call_store("GET", "/counters", nullptr).body + "\n";
    }
    const auto answers = requests_.wait_for_answers();
    for (const auto& [id, runs] : fleet_.run_counts()) {
      if (!id.starts_with("orders")) {
        continue;
      }
      if (runs > 1) {
        found += id + " ran " + std::to_string(runs) + " times\n";
      }
      if (answers.at(id).status == 503) {
        found += id + " was answered as not run, but ran\n";
      }
    }
    return found;
  }

 private:
  Duration random_time(std::int64_t least, std::int64_t most) {
    return {least +
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(most - least)))};
  }

  // Makes up to half of the servers of this round leave.
  void change_servers() {
    for (std::uint64_t count = random_.below(kLeavingPerRound / 2 + 1); count > 0; --count) {
      const Leaving leaving{.server = "orders-" + std::to_string(++left_),
                            .removed = random_.chance(0.5),
                            .stopped = random_.chance(0.3)};
      leave(fleet_, leaving);
      steps_ += " " + leaving.server + (leaving.removed ? " removed" : " drains") +
                (leaving.stopped ? " and stops;" : ";");
    }
  }

  void inject_fault() {
    const std::uint64_t fault = random_.below(5);
    const std::string holder = WeightLoads(fleet_).last_holder();
    const std::string& any = kGateways[random_.below(kGateways.size())];
    faulty_ = holder.empty() ? any : holder;
    all_hear_ = fault < 2;
    if (fault == 1 || fault == 2) {
      fleet_.process(faulty_).kill_now();
      steps_ += " " + faulty_ + " killed;";
    } else if (fault == 3) {
      fleet_.process(faulty_).send_signal(SIGSTOP);
      steps_ += " " + faulty_ + " paused;";
    }
    if (fault == 2 || fault == 4) {
      cut_off(kGateways[random_.below(kGateways.size())]);
    }
  }

  void cut_off(const std::string& gateway) {
    proxies_.at(gateway)->set_fault(random_.chance(0.5) ? ProxyFault::kReset
                                                        : ProxyFault::kUnresponsive);
    steps_ += " " + gateway + " cut off;";
  }

  void end_fault() {
    for (const std::string& gateway : kGateways) {
      proxies_.at(gateway)->set_fault(ProxyFault::kNone);
    }
    fleet_.process(faulty_).send_signal(SIGCONT);
    if (fleet_.process(faulty_).wait_for_exit(Duration{0})) {
      fleet_.start_gateway(faulty_);
    }
    steps_ += " faults end;\n";
  }

  Random random_;
  int weights_ = 1;       // Version that was last named.
  int left_ = 0;          // Number of servers that have left.
  std::string faulty_;    // Gateway that may have been killed or paused.
  bool all_hear_ = true;  // No gateway is paused or cut off from the store.
  std::string steps_;
  std::map<std::string, std::unique_ptr<FaultProxy>> proxies_;  // Of the store, by gateway.
  // Destroyed before the proxies, which then receive no new connections.
  GatewayFleet fleet_{3,
                      {.plain_servers = 3 + kRounds * kLeavingPerRound,
                       .engines = 4,
                       .check_fences = true,
                       .bounds = "  lease_term: " + std::to_string(kLeaseTerm.ms) + "ms\n"}};
  SteadyRequests requests_{fleet_, {"lookups", "orders"}};
};

}  // namespace

// Guards against requests to servers that have left, two holders with one fence, orders that run
// twice, and gateways that do not recover, when the store forgets. The environment variable selects
// the seed.
TEST_CASE("soak: promises hold while the store is restored from older copies", "[.soak]") {
  const char* text = std::getenv("BLUEBELLSTEP_SOAK_SEED");
  const std::uint64_t seed = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  CAPTURE(seed);
  RestoreSoak soak(seed);
  soak.run();
  CHECK(soak.recovers());
  const std::string violations = soak.violations();
  CAPTURE(soak.steps(), violations);
  CHECK(violations.empty());
}

}  // namespace bluebellstep::testing
