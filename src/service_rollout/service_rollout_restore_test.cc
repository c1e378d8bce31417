// Tests of roll-outs in front of a store that is restored from an older copy.

#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "service_rollout/service_rollouts.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
constexpr RolloutLimits kLimits{.exposure = {.share = 0.1, .slack = 50}};
constexpr RolloutState kRunning = RolloutState::kRunning;
constexpr RolloutState kAccepted = RolloutState::kAccepted;
constexpr RolloutState kSucceeded = RolloutState::kSucceeded;
constexpr RolloutState kRolledBack = RolloutState::kRolledBack;

RolloutOrder order_of(std::uint64_t created, StoreRevision revision, std::string to = "v2") {
  return {.id = {.created = created, .to = std::move(to)}, .duration = 12_s, .revision = revision};
}

RolloutDecision decision_of(const RolloutOrder& order, RolloutState state, StoreRevision revision) {
  return {.id = order.id, .state = state, .revision = revision};
}

/** The only gateway of a service with servers of `v1` and `v2`, and an order to `v2`. */
class OneGateway {
 public:
  OneGateway() {
    quota_.set_registered({"g1"});
    rollouts.set_registered_versions({{"s", {"v1"}}});
    rollouts.set_orders({}, 1, kStart);
    rollouts.set_decisions({}, 1);
    rollouts.set_registered_versions({{"s", {"v1", "v2"}}});
    rollouts.set_orders({{"s", order}}, 1, kStart);
  }

  void set_decision(RolloutState state, StoreRevision revision) {
    rollouts.set_decisions({{"s", decision_of(order, state, revision)}}, revision.era);
  }

  /** Returns the write that is due, if any. */
  std::optional<RolloutWrite> advance(Instant now) {
    std::optional<RolloutWrite> write;
    rollouts.visit([&](ServiceRollout& rollout) {
      if (rollout.active()) {
        write = rollout.advance({"g1"}, true, now);
      }
    });
    return write;
  }

  RolloutOrder order = order_of(50, {50, 1});

 private:
  RequestQuota quota_{"g1", kStart - 60_s};

 public:
  ServiceRollouts rollouts{"g1", kLimits, quota_};
};

}  // namespace

// Guards against old servers that get requests again, after they were told to stop, because the
// store has lost the decision.
TEST_CASE("service_rollout: a decision that a restore lost is written again") {
  OneGateway gateway;
  const RolloutState state = GENERATE(kAccepted, kSucceeded, kRolledBack);
  CAPTURE(name_of(state));
  gateway.set_decision(kRunning, {55, 1});
  gateway.set_decision(state, {60, 1});
  const bool is_new = state != kRolledBack;
  gateway.rollouts.set_orders({{"s", order_of(50, {50, 2})}}, 2, kStart);
  RolloutDecision expected = decision_of(gateway.order, state, {55, 2});
  SECTION("the copy has an earlier state") {
    gateway.set_decision(kRunning, {55, 2});
    gateway.set_decision(kRunning, {55, 2});
  }
  SECTION("the copy has the decision on an earlier order") {
    const RolloutDecision earlier = decision_of(order_of(20, {}, "v1"), kSucceeded, {55, 2});
    gateway.rollouts.set_decisions({{"s", earlier}}, 2);
    gateway.rollouts.set_decisions({{"s", earlier}}, 2);
  }
  SECTION("the copy has no decision") {
    gateway.rollouts.set_decisions({}, 2);
    expected.revision = {};
  }
  CHECK(gateway.rollouts.allows("s", "v2") == is_new);
  CHECK(gateway.rollouts.allows("s", "v1") != is_new);
  const auto write = gateway.advance(kStart);
  REQUIRE(write);
  CHECK_FALSE(write->is_status);
  CHECK(write->decision == expected);
  expected.revision = {70, 2};
  gateway.rollouts.update_decision("s", expected);
  const auto next = gateway.advance(kStart);
  CHECK((!next || next->is_status || next->decision.state > state));
}

// Guards against a version that is used again after it was rolled back, because neither the order
// nor the decision is in the store any more.
TEST_CASE("service_rollout: the decision on an order that is gone is written again") {
  OneGateway gateway;
  gateway.set_decision(kRolledBack, {60, 1});
  gateway.order.status = kRolledBack;
  gateway.rollouts.set_orders({{"s", gateway.order}}, 1, kStart);
  gateway.rollouts.set_orders({}, 1, kStart);
  gateway.rollouts.set_decisions({}, 2);
  const auto write = gateway.advance(kStart);
  REQUIRE(write);
  CHECK(write->decision == decision_of(gateway.order, kRolledBack, {}));
  CHECK_FALSE(gateway.rollouts.allows("s", "v2"));
}

// Guards against a second trial of a bad version: the operator writes the order again that the
// restore lost, and it has another creation revision.
TEST_CASE("service_rollout: an order that is written again after a restore is the same order") {
  OneGateway gateway;
  gateway.set_decision(kRunning, {55, 1});
  gateway.set_decision(kRolledBack, {60, 1});
  gateway.rollouts.set_decisions({}, 2);
  if (GENERATE(false, true)) {
    gateway.rollouts.set_orders({}, 2, kStart);
  }
  const RolloutOrder rewritten = order_of(48, {48, 2});
  gateway.rollouts.set_orders({{"s", rewritten}}, 2, kStart + 3_s);
  CHECK_FALSE(gateway.rollouts.allows("s", "v2"));
  auto write = gateway.advance(kStart + 3_s);
  REQUIRE(write);
  CHECK(write->decision == decision_of(rewritten, kRolledBack, {}));
  gateway.rollouts.update_decision("s", decision_of(rewritten, kRolledBack, {70, 2}));
  write = gateway.advance(kStart + 3_s);
  REQUIRE(write);
  CHECK(write->is_status);
  CHECK(write->decision.state == kRolledBack);
  // In the same era, it is an order of its own.
  gateway.rollouts.set_orders({{"s", order_of(80, {80, 2})}}, 2, kStart + 4_s);
  write = gateway.advance(kStart + 4_s);
  REQUIRE(write);
  CHECK(write->decision.state == kRunning);
}

// Guards against a running roll-out that counts as withdrawn because a restore lost its order, or
// gives way to the order before it.
TEST_CASE("service_rollout: an order that a restore lost is kept for some time") {
  OneGateway gateway;
  const RolloutOrder second = order_of(58, {58, 1}, "v3");
  gateway.rollouts.set_registered_versions({{"s", {"v1", "v2", "v3"}}});
  gateway.rollouts.set_orders({{"s", second}}, 1, kStart);
  gateway.rollouts.set_decisions({{"s", decision_of(second, kAccepted, {60, 1})}}, 1);
  const bool has_first = GENERATE(false, true);
  const auto list = [&](Instant now) {
    if (has_first) {
      gateway.rollouts.set_orders({{"s", order_of(50, {50, 2})}}, 2, now);
    } else {
      gateway.rollouts.set_orders({}, 2, now);
    }
  };
  for (Instant now = kStart; now < kStart + ServiceRollout::kLostOrderTime; now = now + 500_ms) {
    list(now);
    CHECK(gateway.rollouts.allows("s", "v3"));
    const auto write = gateway.advance(now);
    CHECK((!write || write->decision.state != kRolledBack));
  }
  const Instant end = kStart + ServiceRollout::kLostOrderTime;
  list(end);
  (void)gateway.advance(end);
  const auto write = gateway.advance(end + ServiceRollout::kWithdrawalDelay);
  REQUIRE(write);
  CHECK(write->decision.state == (has_first ? kRunning : kRolledBack));
}

// Guards against a gateway without the store that goes on with a bad version, since the others know
// the order by the creation revision that it got after a restore.
TEST_CASE("service_rollout: reports name the order also as it was before a restore") {
  OneGateway gateway;
  gateway.set_decision(kAccepted, {60, 1});
  OneGateway other;
  other.set_decision(kAccepted, {60, 1});
  other.rollouts.set_orders({{"s", order_of(48, {48, 2})}}, 2, kStart);
  other.rollouts.on_report(
      {.gateway = "g3", .service = "s", .id = {.created = 48, .to = "v2"}, .rolls_back = true},
      kStart);
  std::string datagram;
  other.rollouts.visit([&](ServiceRollout& rollout) {
    VersionReport report = rollout.make_report(kStart);
    report.gateway = "g2";
    datagram = encode_version_report(report);
  });
  const auto report = decode_version_report(
      {reinterpret_cast<const std::uint8_t*>(datagram.data()), datagram.size()});
  REQUIRE(report);
  gateway.rollouts.on_report(*report, kStart);
  const auto write = gateway.advance(kStart);
  REQUIRE(write);
  CHECK(write->decision.state == kRolledBack);
}

// Guards against the end of an order by late reports on an earlier one to the same version.
TEST_CASE("service_rollout: a report on an earlier order to the same version is ignored") {
  OneGateway gateway;
  gateway.rollouts.on_report({.gateway = "g2",
                              .service = "s",
                              .id = {.created = 40, .to = "v2"},
                              .state = kRolledBack,
                              .rolls_back = true},
                             kStart);
  const auto write = gateway.advance(kStart);
  REQUIRE(write);
  CHECK(write->decision.state == kRunning);
}

}  // namespace bluebellstep
