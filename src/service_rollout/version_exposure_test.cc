// Tests of the limit on requests to a version that is not accepted yet.

#include "service_rollout/version_exposure.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "service_rollout/service_rollouts.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr RolloutLimits kLimits{.exposure = {.share = 0.1, .slack = 50}};
const RolloutOrder kOrder{.id = {.created = 7, .to = "v2"}, .duration = 12_s, .revision = {7}};

/** Gateways that disagree about a roll-out: they learn of the order and of each other at different
 * times, some never learn of the trial, and some restart. */
class DisagreeingGateways {
 public:
  /** If not `divided`, each gateway takes the whole slack for its part, and none restarts. */
  DisagreeingGateways(std::uint64_t seed, std::size_t count, bool divided)
      : random_(seed), divided_(divided), gateways_(count) {
    for (std::size_t i = 0; i < count; ++i) {
      start(i, kStart - 60_s);
      learn_order(i, kStart);
    }
  }

  /** Sends `requests` and returns by how much those to the new version exceed the bound. */
  double excess(std::size_t requests) {
    double sent = 0;
    for (std::size_t i = 0; i < requests; ++i) {
      const Instant now = kStart + Duration{static_cast<std::int64_t>(12'000 * i / requests)};
      // A few gateways receive most requests.
      const std::size_t index = random_.below(1 + random_.below(gateways_.size()));
      if (divided_ && random_.chance(0.03)) {
        start(index, now);
        // Its part of the slack is known by then, but may have been used before the restart.
        learn_order(index, now + RequestQuota::kRestartDelay * 2);
      }
      sent += send(index, now) ? 1 : 0;
    }
    return sent - kLimits.exposure.share * static_cast<double>(requests) - kLimits.exposure.slack;
  }

 private:
  struct Gateway {
    std::unique_ptr<RequestQuota> quota;
    std::unique_ptr<ServiceRollouts> rollouts;
    VersionNames names;
  };

  void start(std::size_t index, Instant now) {
    Gateway& gateway = gateways_[index];
    const std::string name = "g" + std::to_string(index);
    gateway.names = {name};
    for (std::size_t i = 0; divided_ && i < gateways_.size(); ++i) {
      // A gateway that joined last may not be known yet.
      if (i + 1 < gateways_.size() || random_.chance(0.5)) {
        gateway.names.insert("g" + std::to_string(i));
      }
    }
    gateway.quota = std::make_unique<RequestQuota>(name, now);
    gateway.quota->set_registered(gateway.names);
    gateway.rollouts = std::make_unique<ServiceRollouts>(name, kLimits, *gateway.quota);
    gateway.rollouts->set_registered_versions({{"s", {"v1", "v2"}}});
    gateway.rollouts->set_decisions({}, 0);
    if (now < kStart) {
      gateway.rollouts->set_orders({}, 0, now);
    }
  }

  void learn_order(std::size_t index, Instant now) {
    Gateway& gateway = gateways_[index];
    gateway.rollouts->set_orders({{"s", kOrder}}, 0, now);
    if (random_.chance(0.8)) {
      gateway.rollouts->update_decision(
          "s", {.id = kOrder.id, .state = RolloutState::kRunning, .revision = {8}});
    }
  }

  bool send(std::size_t index, Instant now) {
    Gateway& gateway = gateways_[index];
    gateway.rollouts->visit(
        [&](ServiceRollout& rollout) { (void)rollout.advance(gateway.names, true, now); });
    const bool to_new = gateway.rollouts->allows("s", "v2");
    gateway.rollouts->record_sent("s", to_new ? "v2" : "v1");
    return to_new;
  }

  Random random_;
  bool divided_;
  std::vector<Gateway> gateways_;
};

}  // namespace

// Guards against a bad version that gets more than its share because gateways disagree, restart or
// are many, at little and at much traffic. Without the division of the slack the bound must fail.
TEST_CASE("version_exposure: the sum over disagreeing gateways keeps the bound") {
  for (const std::size_t gateways : {5u, 23u, 100u, 300u}) {
    for (const std::size_t requests : {400u, 6000u}) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("gateways " << gateways << " requests " << requests << " seed " << seed);
        CHECK(DisagreeingGateways(seed, gateways, true).excess(requests) <= 0);
      }
    }
    CHECK(DisagreeingGateways(1, gateways, false).excess(gateways * 60) > 0);
  }
}

// Guards against a new version that uses up its allowance before the trial, and against one that is
// charged for requests that never reached it.
TEST_CASE("version_exposure: a part of the allowance is kept for the trial") {
  VersionExposure exposure(0.1, 10);
  while (exposure.permits(0.4, 1)) {
    exposure.record_sent(true, false);
  }
  CHECK(exposure.new_requests() == 4);
  CHECK(exposure.permits(1, 1));
  exposure.record_not_reached(true);
  CHECK(exposure.permits(0.4, 1));
}

}  // namespace bluebellstep
