// Properties of the decisions under overload, over random loads.

#include "overload/overload_policy.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/random.h"

namespace bluebellstep {
namespace {

struct Case {
  AdmissionInputs inputs;
  OverloadState state;

  bool sent() const { return !OverloadPolicy::retry_delay(inputs, state); }
};

Case random_case(Random& random, bool overloaded) {
  Case result{
      .inputs = {.queue_ms = 1500 * random.uniform(),
                 .own_ms = 30 + 500 * random.uniform(),
                 .latency_goal = Duration{600 + static_cast<int>(random.below(1000))},
                 .time_left = Duration{500 + static_cast<int>(random.below(10'000))}},
      .state = {.standing = {.share_used = 3 * random.uniform(),
                             .refused_share = overloaded ? 0.01 + 0.2 * random.uniform() : 0,
                             .overloaded_for = Duration{1000}},
                .returned = random.chance(0.3),
                .size_sent_share = random.uniform(),
                .urgent_sent_share = random.uniform()}};
  if (random.chance(0.5)) {
    result.inputs.urgent_goal = Duration{300 + static_cast<int>(random.below(300))};
  }
  return result;
}

}  // namespace

TEST_CASE("decisions under overload", "[overload][load]") {
  Random random(1);
  for (int i = 0; i < 20'000; ++i) {
    const Case overloaded = random_case(random, true);
    const AdmissionInputs& inputs = overloaded.inputs;
    const bool in_time_left =
        inputs.queue_ms + inputs.own_ms <=
        AdmissionControl::kMaxTimeLeftShare * static_cast<double>(inputs.time_left.ms);

    // Guards against capacity that is idle while requests are refused.
    Case idle = overloaded;
    idle.inputs.has_idle_slots = true;
    CHECK(idle.sent() == in_time_left);
    Case short_queue = overloaded;
    short_queue.inputs.queue_ms = OverloadPolicy::kMinAccountFactor *
                                  OverloadPolicy::kMinUrgentFactor * AdmissionControl::kMinQueueMs;
    short_queue.inputs.time_left = Duration{5000};
    CHECK(short_queue.sent());

    // Guards against a stream that was begun and is refused while engines could still continue it
    // in time.
    Case resumed = overloaded;
    resumed.inputs.resumes = true;
    const double goal_ms = static_cast<double>(inputs.latency_goal.ms);
    const bool in_resumed_goal =
        inputs.queue_ms + inputs.own_ms <= AdmissionControl::kResumedGoalMultiple * goal_ms;
    CHECK((!overloaded.sent() || resumed.sent()));
    CHECK((!in_resumed_goal || !in_time_left || resumed.sent()));

    // Guards against an urgent request that is refused while a less urgent one with the same work
    // is sent.
    Case urgent = overloaded;
    urgent.inputs.urgent_goal.reset();
    urgent.inputs.latency_goal = inputs.urgent_goal.value_or(Duration{400});
    urgent.state.returned = false;
    Case less_urgent = overloaded;
    less_urgent.inputs.urgent_goal = urgent.inputs.latency_goal;
    CHECK((urgent.sent() || !less_urgent.sent()));

    // Guards against a limit that rises with the load.
    Case less_load = overloaded;
    less_load.inputs.queue_ms *= random.uniform();
    less_load.state.standing.refused_share *= random.uniform();
    less_load.state.standing.share_used *= random.uniform();
    CHECK((less_load.sent() || !overloaded.sent()));

    // Guards against a returning request that gives way to its equals, and against a size that is
    // sent less often the less often it was sent.
    Case favoured = overloaded;
    favoured.state.returned = true;
    favoured.state.size_sent_share *= random.uniform();
    CHECK((favoured.sent() || !overloaded.sent()));

    // Guards against other decisions than before where nothing is refused.
    const Case calm = random_case(random, false);
    CHECK(calm.sent() == !AdmissionControl::retry_delay(calm.inputs));

    // Guards against times that callers do not wait.
    if (const auto delay = OverloadPolicy::retry_delay(inputs, overloaded.state)) {
      CHECK(*delay >= AdmissionControl::kMinRetryDelay);
      CHECK(delay->ms <=
            std::max<std::int64_t>(AdmissionControl::kMinRetryDelay.ms, inputs.time_left.ms / 3));
    }
  }
}

// Guards against mechanisms that have no effect: each of them must change some decision.
TEST_CASE("what is refused first under overload", "[overload]") {
  const Case plain{
      .inputs = {.queue_ms = 500,
                 .own_ms = 300,
                 .latency_goal = Duration{1000},
                 .urgent_goal = Duration{1000},
                 .time_left = Duration{9000}},
      .state = {
          .standing = {.share_used = 1, .refused_share = 0.1, .overloaded_for = Duration{1500}}}};
  CHECK(plain.sent());
  Case changed = plain;
  changed.state.standing.share_used = 1.5;
  CHECK_FALSE(changed.sent());
  CHECK(OverloadPolicy::refusal_reason(changed.inputs, changed.state) == "account_over_share");
  CHECK(OverloadPolicy::retry_delay(changed.inputs, changed.state) == Duration{1500});
  changed = plain;
  changed.state.urgent_sent_share = 0.9;
  CHECK_FALSE(changed.sent());
  changed = plain;
  changed.inputs.queue_ms = 515;
  CHECK_FALSE(changed.sent());
  CHECK(OverloadPolicy::refusal_reason(changed.inputs, changed.state) == "room_for_urgent");
  changed.state.returned = true;
  CHECK(changed.sent());
  changed.inputs.queue_ms = 730;
  CHECK_FALSE(changed.sent());
  CHECK(OverloadPolicy::refusal_reason(changed.inputs, changed.state) == "late");
  changed.state.size_sent_share = 0.3;
  CHECK(changed.sent());
}

// Guards against gateways that do not know a returning request, or an account above its share, of
// which another gateway has told them.
TEST_CASE("gateways learn from each other what was refused", "[overload]") {
  constexpr Instant kNow{100'000};
  OverloadPolicy first;
  OverloadPolicy second;
  const auto exchange = [&](Instant now) {
    for (AccountWorkReport& report : first.take_reports(now)) {
      report.gateway = "g1";
      second.apply(report, now);
    }
  };
  const OverloadRequest request{
      .service = "llm", .account = "a", .priority = 1, .prompt_tokens = 5000, .id_hash = 7};
  first.record_sent(request, {5000}, kNow);
  first.record_refused(request, {100}, kNow);
  exchange(kNow);
  first.record_refused(request, {5000}, kNow);
  first.record_sent(request, {5000}, kNow);
  exchange(kNow + AccountShares::kReportInterval);
  const OverloadState state = second.state(request, kNow + Duration{500});
  CHECK(state.returned);
  CHECK(state.standing.refused_share == Approx(0.5));
  CHECK(state.standing.share_used == Approx(1).margin(0.3));
}

// Guards against a less urgent request that gets more room for its size than an urgent one would.
TEST_CASE("a starved size has no advantage over urgent requests of the same size", "[overload]") {
  constexpr Instant kNow{100'000};
  OverloadPolicy policy;
  const OverloadRequest large{.service = "llm", .priority = 1, .prompt_tokens = 9000};
  const OverloadRequest small{.service = "llm", .priority = 1, .prompt_tokens = 2000};
  OverloadRequest urgent = large;
  urgent.priority = 0;
  policy.record_refused(large, {9000}, kNow);
  policy.record_sent(small, {2000}, kNow);
  CHECK(policy.state(large, kNow).size_sent_share == 0);
  policy.record_sent(urgent, {9000}, kNow);
  CHECK(policy.state(large, kNow).size_sent_share == 1);
}

}  // namespace bluebellstep
