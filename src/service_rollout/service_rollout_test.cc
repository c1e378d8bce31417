// Tests of roll-outs by several gateways in front of a simulated store.

#include "service_rollout/service_rollouts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/random.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr RolloutLimits kLimits{.exposure = {.share = 0.1, .slack = 50}};
constexpr Duration kTick{50};
constexpr Duration kReportInterval{250};

/** Five gateways that roll a service out from `v1` to `v2`, and the store between them. */
class RolloutSimulation {
 public:
  struct Gateway {
    std::string name;
    std::unique_ptr<RequestQuota> quota;
    std::unique_ptr<ServiceRollouts> rollouts;
    bool alive = true;
    bool hears_peers = true;
    bool reaches_store = true;
  };

  RolloutSimulation() {
    for (int i = 0; i < 5; ++i) {
      names_.insert("g" + std::to_string(i));
    }
    for (const std::string& name : names_) {
      gateways_.push_back(make_gateway(name, kStart - 60_s));
      gateways_.back().rollouts->set_registered_versions({{"s", {"v1"}}});
      gateways_.back().rollouts->set_orders({}, 0, kStart);
      gateways_.back().rollouts->set_decisions({}, 0);
    }
  }

  /** Writes an order. A new object has a new creation revision. */
  void give_order(std::string to, Duration duration = 12_s, bool new_object = true) {
    const std::uint64_t created = new_object || !order ? revision + 1 : order->id.created;
    order = {.id = {.created = created, .to = std::move(to)},
             .duration = duration,
             .revision = {++revision}};
    statuses.clear();
  }

  void set_versions(const VersionNames& versions) {
    versions_ = versions;
    for (Gateway& gateway : gateways_) {
      gateway.rollouts->set_registered_versions({{"s", versions}});
    }
  }

  void restart(std::size_t index) {
    Gateway& gateway = gateways_[index];
    gateway = make_gateway(gateway.name, now);
    incarnation_ += 1;
    gateway.rollouts->set_registered_versions({{"s", versions_}});
    refresh(gateway);
  }

  void run(Duration duration) {
    for (const Instant end = now + duration; now < end; now = now + kTick) {
      finish_requests();
      for (std::size_t i = 0; i < gateways_.size(); ++i) {
        send_requests(i);
      }
      if ((now - kStart).ms % kReportInterval.ms == 0) {
        exchange();
      }
    }
  }

  Gateway& gateway(std::size_t index) { return gateways_[index]; }
  /** Returns the gateway that ranks first: the one that writes first. */
  std::size_t decider() {
    std::size_t first = 0;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      const auto score = [&](std::size_t index) {
        return rendezvous_score(hash64("s"), hash64(gateways_[index].name));
      };
      first = score(i) > score(first) ? i : first;
    }
    return first;
  }

  Instant now = kStart;
  std::uint64_t revision = 10;
  std::optional<RolloutOrder> order;
  RolloutDecision decision;
  std::vector<RolloutState> statuses;  // Written for the last order.
  std::vector<RolloutState> decisions;
  std::optional<Instant> ended_at;
  std::size_t cut_off = 0;     // Requests at old servers when success was written.
  std::size_t disallowed = 0;  // Requests to versions outside `permitted`.
  std::size_t refused = 0;
  std::size_t sent_new = 0;
  std::size_t sent = 0;
  VersionNames permitted{"v1", "v2"};
  bool store_up = true;
  int answers_to_lose = 0;
  // The first gateway that is about to write this state is killed: of the status, or the decision.
  std::optional<std::pair<bool, RolloutState>> killed_before;
  double failure_share = 0;  // Of the answers of `v2`.
  double trial_failure_share = 0;
  double request_share = 0.8;  // Of the gateways, at each tick.

 private:
  struct Request {
    Instant ends_at;
    std::size_t gateway;
    std::string version;
    bool failed;
    RolloutPhase phase;
    ServiceRollouts* owner;
  };

  static Gateway make_gateway(const std::string& name, Instant started_at) {
    Gateway gateway{.name = name, .quota = std::make_unique<RequestQuota>(name, started_at)};
    gateway.quota->set_registered({"g0", "g1", "g2", "g3", "g4"});
    gateway.rollouts = std::make_unique<ServiceRollouts>(name, kLimits, *gateway.quota);
    return gateway;
  }

  void send_requests(std::size_t index) {
    Gateway& gateway = gateways_[index];
    if (!gateway.alive || !random_.chance(request_share)) {
      return;
    }
    std::string version;
    for (const std::string& candidate : versions_) {
      const bool usable = gateway.rollouts->allows("s", candidate);
      const bool preferred = !gateway.rollouts->avoids("s", candidate) && random_.chance(0.5);
      if (usable && (version.empty() || preferred || gateway.rollouts->avoids("s", version))) {
        version = candidate;
      }
    }
    if (version.empty()) {
      ++refused;
      return;
    }
    ++sent;
    sent_new += version == "v2" ? 1 : 0;
    disallowed += permitted.contains(version) ? 0 : 1;
    const RolloutPhase phase = gateway.rollouts->record_sent("s", version);
    const double share = phase == RolloutPhase::kTrial
                             ? std::max(failure_share, trial_failure_share)
                             : failure_share;
    const Duration time{static_cast<std::int64_t>(20 + random_.below(400))};
    requests_.push_back({now + time, index, version, version == "v2" && random_.chance(share),
                         phase, gateway.rollouts.get()});
  }

  void finish_requests() {
    std::erase_if(requests_, [&](const Request& request) {
      Gateway& gateway = gateways_[request.gateway];
      if (!gateway.alive || gateway.rollouts.get() != request.owner) {
        return true;
      }
      if (now < request.ends_at) {
        return false;
      }
      gateway.rollouts->record_finished({.service = "s",
                                         .version = request.version,
                                         .route = "r",
                                         .phase = request.phase,
                                         .outcome = request.failed
                                                        ? ServiceRollouts::Outcome::kFailed
                                                        : ServiceRollouts::Outcome::kAnswered,
                                         .first_byte = 100_ms});
      return true;
    });
  }

  void refresh(Gateway& gateway) {
    if (order) {
      gateway.rollouts->set_orders({{"s", *order}}, 0, now);
    } else {
      gateway.rollouts->set_orders({}, 0, now);
    }
    gateway.rollouts->set_decisions({{"s", decision}}, 0);
  }

  void exchange() {
    ++sequence_;
    for (Gateway& from : gateways_) {
      if (!from.alive) {
        continue;
      }
      if (store_up && from.reaches_store) {
        refresh(from);
      }
      from.rollouts->visit([&](ServiceRollout& rollout) {
        VersionReport report = rollout.make_report(now);
        report.gateway = from.name;
        report.incarnation = incarnation_;
        report.sequence = sequence_;
        for (Gateway& to : gateways_) {
          if (rollout.order() && to.alive && to.hears_peers && from.hears_peers) {
            to.rollouts->on_report(report, now);
          }
        }
        const bool up = store_up && from.reaches_store;
        const auto write = rollout.advance(names_, up, now);
        if (write && up) {
          apply(from, *write);
        }
      });
    }
  }

  void apply(Gateway& from, const RolloutWrite& write) {
    if (killed_before == std::pair(write.is_status, write.decision.state)) {
      killed_before.reset();
      from.alive = false;
      return;
    }
    if (write.is_status) {
      if (!order || order->revision != write.order_revision) {
        return;
      }
      order->status = write.decision.state;
      order->revision = {++revision};
      statuses.push_back(order->status);
      if (is_terminal(order->status)) {
        ended_at = now;
      }
      if (order->status == RolloutState::kSucceeded) {
        for (const Request& request : requests_) {
          cut_off += request.version != order->id.to ? 1 : 0;
        }
      }
    } else {
      if (decision.revision != write.decision.revision) {
        from.rollouts->update_decision("s", decision);
        return;
      }
      decision = write.decision;
      decision.revision = {++revision};
      decisions.push_back(decision.state);
    }
    if (answers_to_lose > 0) {
      --answers_to_lose;
      return;
    }
    refresh(from);
  }

  Random random_{1};
  VersionNames names_;
  std::vector<Gateway> gateways_;
  VersionNames versions_{"v1"};
  std::vector<Request> requests_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
};

using States = std::vector<RolloutState>;
constexpr RolloutState kRunning = RolloutState::kRunning;
constexpr RolloutState kAccepted = RolloutState::kAccepted;
constexpr RolloutState kSucceeded = RolloutState::kSucceeded;
constexpr RolloutState kRolledBack = RolloutState::kRolledBack;

struct Case {
  std::string name;
  // Changes the simulation, `kPrepared` after the order.
  std::function<void(RolloutSimulation&)> disturb;
  States statuses;  // That are expected.
};
constexpr Duration kPrepared{3000};

}  // namespace

// Guards against a status that is missing, written twice or changed after the end, whatever happens
// to the gateways and to the store's answers, and against requests that are cut off at the change.
TEST_CASE("service_rollout: each disturbance ends in the right status") {
  const States good{kRunning, kSucceeded};
  const States bad{kRunning, kRolledBack};
  const std::vector<Case> cases{
      {"undisturbed", [](auto&) {}, good},
      {"bad version", [](auto& sim) { sim.failure_share = 0.6; }, bad},
      {"version that is bad in the trial only", [](auto& sim) { sim.trial_failure_share = 0.6; },
       bad},
      {"answers of the store are lost", [](auto& sim) { sim.answers_to_lose = 9; }, good},
      {"decider is killed before it writes its decision",
       [](auto& sim) {
         sim.killed_before = {false, kAccepted};
       },
       good},
      {"decider is killed before it writes the status",
       [](auto& sim) {
         sim.killed_before = {true, kSucceeded};
       },
       good},
      {"two deciders", [](auto& sim) { sim.gateway(sim.decider()).hears_peers = false; }, good},
      {"store is down for a while",
       [](auto& sim) {
         sim.store_up = false;
         sim.run(3000_ms);
         sim.store_up = true;
       },
       good},
      {"gateway restarts", [](auto& sim) { sim.restart(2); }, good},
      {"few requests", [](auto& sim) { sim.request_share = 0.01; }, good},
      {"servers of the version are lost after its acceptance",
       [](auto& sim) {
         sim.run(6750_ms);
         sim.set_versions({"v1"});
         sim.run(500_ms);
         sim.refused = 0;
       },
       bad},
      {"no servers of the version", [](auto& sim) { sim.set_versions({"v1"}); }, bad},
  };
  for (const Case& test : cases) {
    INFO(test.name);
    RolloutSimulation sim;
    sim.give_order("v2");
    if (test.name != "no servers of the version") {
      sim.set_versions({"v1", "v2"});
    }
    sim.run(kPrepared);
    test.disturb(sim);
    sim.run(kStart + 11'900_ms - sim.now);
    CHECK(sim.statuses == test.statuses);
    CHECK(sim.cut_off == 0);
    CHECK(sim.refused == 0);
    sim.run(5_s);
    CHECK(sim.statuses == test.statuses);
    if (test.statuses == bad) {
      CHECK(static_cast<double>(sim.sent_new) <= 0.1 * static_cast<double>(sim.sent) + 50);
    }
  }
}

// Guards against a version that is used again after it was rolled back: by a gateway that starts
// later, and after the order was removed or replaced.
TEST_CASE("service_rollout: a version that was rolled back is not used again") {
  RolloutSimulation sim;
  sim.failure_share = 0.6;
  sim.give_order("v2");
  sim.set_versions({"v1", "v2"});
  sim.run(8_s);
  REQUIRE(sim.statuses == States{kRunning, kRolledBack});
  sim.permitted = {"v1", "v3"};
  sim.restart(1);
  sim.run(1_s);
  sim.order.reset();
  sim.run(1_s);
  sim.restart(2);
  sim.run(1_s);
  sim.give_order("v3");
  sim.set_versions({"v1", "v2", "v3"});
  sim.run(3_s);
  sim.restart(3);
  sim.run(9_s);
  CHECK(sim.statuses == States{kRunning, kSucceeded});
  sim.restart(4);
  sim.run(1_s);
  CHECK(sim.disallowed == 0);
}

// Guards against an order whose version stays in use after the order was withdrawn, and against a
// decision that stays open for ever.
TEST_CASE("service_rollout: a withdrawn order is rolled back") {
  RolloutSimulation sim;
  sim.give_order("v2");
  sim.set_versions({"v1", "v2"});
  sim.run(4_s);
  sim.order.reset();
  sim.run(kReportInterval);
  sim.permitted = {"v1"};
  sim.restart(1);
  sim.run(6_s);
  CHECK(sim.decision.state == kRolledBack);
  CHECK(sim.disallowed == 0);
  CHECK(sim.refused == 0);
}

// Guards against two versions on trial at the same time.
TEST_CASE("service_rollout: a second order ends the first one") {
  RolloutSimulation sim;
  sim.give_order("v2");
  sim.set_versions({"v1", "v2", "v3"});
  sim.run(4_s);
  sim.permitted = {"v1", "v2", "v3"};
  sim.give_order("v3", 12_s, false);
  sim.run(kReportInterval);
  sim.permitted = {"v1", "v3"};
  sim.run(12_s);
  CHECK(sim.statuses == States{kRunning, kSucceeded});
  CHECK(sim.decision.rejected_versions == VersionNames{"v2"});
  CHECK(sim.disallowed == 0);
}

// Guards against an order to the version in use that limits or refuses the service's requests.
TEST_CASE("service_rollout: an order to the present version succeeds at once") {
  RolloutSimulation sim;
  sim.give_order("v1");
  sim.run(3_s);
  CHECK(sim.decisions == States{kAccepted, kSucceeded});
  CHECK(sim.statuses == States{kSucceeded});
  CHECK(sim.refused == 0);
}

// Guards against requests to a version that no order names, for example because its servers
// registered before the order was seen, and against a service that stays without upstreams when
// all of them were replaced without an order.
TEST_CASE("service_rollout: versions without an order are not used beside the present one") {
  RolloutSimulation sim;
  sim.permitted = {"v1"};
  sim.set_versions({"v1", "v2"});
  sim.run(2_s);
  CHECK(sim.disallowed == 0);
  sim.permitted = {"v2"};
  sim.set_versions({"v2"});
  sim.run(1_s);
  CHECK(sim.disallowed == 0);
  CHECK(sim.refused == 0);
}

// Guards against a gateway that has lost the store and goes on sending to a version that another
// gateway has found bad, and against old servers that are stopped under a gateway that is slow.
TEST_CASE("service_rollout: gateways without the store follow the reports of others") {
  RolloutSimulation sim;
  sim.failure_share = 0.6;
  sim.give_order("v2");
  sim.set_versions({"v1", "v2"});
  sim.run(1_s);
  sim.gateway(3).reaches_store = false;
  sim.run(6_s);
  CHECK(sim.statuses == States{kRunning, kRolledBack});
  CHECK_FALSE(sim.gateway(3).rollouts->allows("s", "v2"));
}

// Guards against a starting gateway that uses a version before it knows whether it may.
TEST_CASE(
    "service_rollout: nothing is sent to a service of two versions before the lists are read") {
  RequestQuota quota("g1", kStart);
  ServiceRollouts rollouts("g1", kLimits, quota);
  rollouts.set_registered_versions({{"s", {"v1", "v2"}}, {"t", {"v1"}}});
  CHECK_FALSE(rollouts.allows("s", "v1"));
  CHECK(rollouts.allows("t", "v1"));
  rollouts.set_orders({}, 0, kStart);
  CHECK_FALSE(rollouts.allows("s", "v1"));
  rollouts.set_decisions(
      {{"s", {.id = {.created = 1, .to = "v2"}, .state = kRolledBack, .revision = {2}}}}, 0);
  CHECK(rollouts.allows("s", "v1"));
  CHECK_FALSE(rollouts.allows("s", "v2"));
}

// Guards against a gateway that starts without the store, reads an old list from another gateway
// and uses a version that was rolled back since, and against one that goes on although another
// gateway has found the version bad.
TEST_CASE("service_rollout: a gateway without the store does not begin to use a version") {
  RequestQuota quota("g1", kStart);
  ServiceRollouts rollouts("g1", kLimits, quota);
  const RolloutOrder order{.id = {.created = 1, .to = "v2"}, .duration = 12_s, .revision = {1}};
  rollouts.set_registered_versions({{"s", {"v1", "v2"}}});
  rollouts.set_decisions({}, 0);
  rollouts.set_orders({{"s", order}}, 0, kStart);
  for (int i = 0; i < 1000; ++i) {
    rollouts.record_sent("s", "v1");
  }
  const auto advance = [&](bool store_current) {
    rollouts.visit(
        [&](ServiceRollout& rollout) { (void)rollout.advance({"g1"}, store_current, kStart); });
  };
  advance(false);
  CHECK_FALSE(rollouts.allows("s", "v2"));
  advance(true);
  CHECK(rollouts.allows("s", "v2"));
  rollouts.on_report({.gateway = "g2", .service = "s", .id = order.id, .rolls_back = true}, kStart);
  CHECK_FALSE(rollouts.allows("s", "v2"));
}

}  // namespace bluebellstep
