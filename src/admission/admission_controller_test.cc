// Tests of admission control: single decisions, and random runs against a simulated upstream.

#include "admission/admission_controller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"

namespace bluebellstep {
namespace {

constexpr ModelId kModel{1};

AdmissionLimits limits_with(std::uint32_t max_running) {
  AdmissionLimits limits;
  limits.max_running = max_running;
  limits.kv_tokens = 100'000;
  return limits;
}

AdmissionRequest request_of(std::uint64_t kv_tokens) {
  return {.model = kModel, .weight_version = "v1", .kv_tokens = kv_tokens};
}

SlotId admit(AdmissionController& controller, Instant now) {
  const Admission admission = controller.try_admit(request_of(10), now);
  REQUIRE(std::holds_alternative<Admitted>(admission));
  return std::get<Admitted>(admission).slot;
}

// Completes requests one by one until slow start is over.
Instant warm_up(AdmissionController& controller, Instant now) {
  while (controller.is_cold(now)) {
    now = now + 100_ms;
    controller.finish(admit(controller, now), now, Outcome::kCompleted);
  }
  return now;
}

}  // namespace

// Guards against an upstream that counts as warm because time has passed without requests, or
// because a burst of short requests completed at once.
TEST_CASE("slow start is the least of its three limits", "[admission]") {
  struct Row {
    std::int64_t at_ms;
    int completed;
    std::uint32_t expected;
  };
  const Row row = GENERATE(Row{0, 0, 2}, Row{0, 100, 2}, Row{1999, 100, 2}, Row{2000, 100, 4},
                           Row{2000, 1, 3}, Row{60'000, 0, 2}, Row{10'000, 50, 52},
                           Row{12'000, 500, 100}, Row{10'000'000, 500, 100});
  SlowStart slow_start({}, {0});
  for (int i = 0; i < row.completed; ++i) {
    slow_start.request_completed();
  }
  CHECK(slow_start.limit(100, {row.at_ms}) == row.expected);
  slow_start.restart({row.at_ms});
  CHECK(slow_start.limit(100, {row.at_ms + 60'000}) == 2);
}

// Guards against admission of requests that the upstream must not run.
TEST_CASE("requests that the upstream must not take are refused as not run", "[admission]") {
  AdmissionController controller(limits_with(32), {0});
  controller.set_weight_version(kModel, "v1");
  AdmissionRequest request = request_of(10);
  Reason expected = Reason::kInternal;
  SECTION("leaving") {
    controller.set_leaving(true);
    expected = Reason::kUpstreamLeaving;
  }
  SECTION("zone out of service") {
    controller.set_zone_out_of_service(true);
    expected = Reason::kZoneOut;
  }
  SECTION("another weight version") {
    request.weight_version = "v0";
    expected = Reason::kWeightVersionChanged;
  }
  // Its blocks would have the same keys before and after a weight swap, so that stale blocks could
  // be reused.
  SECTION("no weight version") {
    request.weight_version = "";
    expected = Reason::kWeightVersionChanged;
  }
  SECTION("unknown model") {
    request.model = ModelId{9};
    expected = Reason::kUnknownModel;
  }
  SECTION("more KV memory than there is") {
    request.kv_tokens = 100'001;
    expected = Reason::kBadRequest;
  }
  SECTION("queue full while cold") {
    request.waiting = 8;
    expected = Reason::kColdUpstream;
  }
  const Admission admission = controller.try_admit(request, {0});
  REQUIRE(std::holds_alternative<Refused>(admission));
  CHECK(std::get<Refused>(admission).verdict.reason() == expected);
  CHECK(std::get<Refused>(admission).verdict.run_state() == RunState::kNotRun);
  CHECK(controller.running() == 0);
}

// Guards against requests admitted with an outdated zone state: a sidecar and an entry instance
// that start at the same time can connect before either has received the notice that the zone is
// out of service.
TEST_CASE("no request starts directly after the start", "[admission]") {
  AdmissionController controller(limits_with(32), {0});
  controller.set_weight_version(kModel, "v1");
  controller.report_alive({0});
  controller.report_alive({1000});
  const Admission first = controller.try_admit(request_of(10), {1499});
  REQUIRE(std::holds_alternative<Refused>(first));
  CHECK(std::get<Refused>(first).verdict.run_state() == RunState::kNotRun);
  CHECK(std::holds_alternative<Admitted>(controller.try_admit(request_of(10), {1500})));
}

// Guards against requests admitted with an outdated zone state: requests that arrived during a
// pause are read before a zone notice that arrived after them.
TEST_CASE("no request starts directly after a pause", "[admission]") {
  AdmissionController controller(limits_with(32), {0});
  controller.set_weight_version(kModel, "v1");
  AdmissionRequest queued = request_of(10);
  queued.from_queue = true;
  for (const std::int64_t ms : {-1000, 0, 1000}) {
    controller.report_alive({ms});
  }
  CHECK(std::holds_alternative<Admitted>(controller.try_admit(request_of(10), {2000})));
  SECTION("pause detected by the request") {}
  SECTION("pause detected by the process") {
    controller.report_alive({3001});
  }
  const Admission first = controller.try_admit(request_of(10), {3001});
  REQUIRE(std::holds_alternative<Refused>(first));
  CHECK(std::get<Refused>(first).verdict.run_state() == RunState::kNotRun);
  CHECK(std::get<Refused>(first).verdict.retry_after().has_value());
  CHECK(std::holds_alternative<Queued>(controller.try_admit(queued, {3500})));
  controller.report_alive({4000});
  CHECK(std::holds_alternative<Refused>(controller.try_admit(request_of(10), {4000})));
  CHECK(std::holds_alternative<Admitted>(controller.try_admit(queued, {4001})));
}

// Guards against new arrivals that overtake queued requests, and against overcommitted KV memory.
TEST_CASE("requests wait for capacity and for queued requests", "[admission]") {
  AdmissionLimits limits = limits_with(32);
  limits.max_prefilling = 2;
  AdmissionController controller(limits, {0});
  controller.set_weight_version(kModel, "v1");
  const Instant now = warm_up(controller, {0});

  AdmissionRequest after_queued = request_of(10);
  after_queued.waiting = 1;
  CHECK(std::holds_alternative<Queued>(controller.try_admit(after_queued, now)));
  after_queued.from_queue = true;
  CHECK(std::holds_alternative<Admitted>(controller.try_admit(after_queued, now)));
  CHECK(std::holds_alternative<Queued>(controller.try_admit(request_of(99'991), now)));

  const SlotId second = admit(controller, now);
  CHECK(std::holds_alternative<Queued>(controller.try_admit(request_of(10), now)));
  controller.first_token(second, now, {});
  CHECK(std::holds_alternative<Admitted>(controller.try_admit(request_of(10), now)));

  AdmissionRequest within_share = request_of(10);
  within_share.waiting = 5;
  CHECK(std::holds_alternative<Queued>(controller.try_admit(within_share, now)));
  within_share.within_share = true;
  CHECK(std::holds_alternative<Admitted>(controller.try_admit(within_share, now)));
  within_share.kv_tokens = 99'991;
  CHECK(std::holds_alternative<Queued>(controller.try_admit(within_share, now)));
}

// Guards against a flood from one account that fills the queue and locks out the others, and
// against an unbounded queue.
TEST_CASE("a full queue still accepts each account's equal share", "[admission]") {
  AdmissionController controller(limits_with(10), {0});
  controller.set_weight_version(kModel, "v1");
  const Instant now = warm_up(controller, {0});
  const auto may_wait = [&](std::size_t waiting, std::size_t account_waiting_count,
                            std::size_t accounts) {
    AdmissionRequest request = request_of(10);
    request.waiting = waiting;
    request.account_waiting = account_waiting_count;
    request.waiting_accounts = accounts;
    return std::holds_alternative<Queued>(controller.try_admit(request, now));
  };
  CHECK(may_wait(39, 39, 1));
  CHECK_FALSE(may_wait(40, 40, 1));
  CHECK(may_wait(40, 0, 1));
  CHECK(may_wait(59, 19, 2));
  CHECK_FALSE(may_wait(60, 20, 2));
  CHECK_FALSE(may_wait(60, 40, 2));
}

// Guards against wrong sums when the end of a request is reported twice or late.
TEST_CASE("a slot is freed once", "[admission]") {
  AdmissionController controller(limits_with(4), {0});
  controller.set_weight_version(kModel, "v1");
  const SlotId slot = admit(controller, {0});
  controller.finish(slot, {1}, Outcome::kCancelled);
  const SlotId other = admit(controller, {2});
  controller.finish(slot, {3}, Outcome::kCompleted);
  controller.first_token(slot, {3}, {});
  CHECK(controller.running() == 1);
  CHECK(controller.kv_tokens_used() == 10);
  controller.finish(other, {4}, Outcome::kCompleted);
  CHECK(controller.running() == 0);
}

// Guards against a cold upstream that is not detected, and against false detections.
TEST_CASE("each cold sign restarts slow start", "[admission]") {
  AdmissionController controller(limits_with(8), {0});
  controller.set_weight_version(kModel, "v1");
  Instant now = warm_up(controller, {0});
  const SlotId old_slot = admit(controller, now);
  controller.first_token(old_slot, now, {.start_id = "a"});
  REQUIRE_FALSE(controller.is_cold(now));

  const FirstTokenReport slow{
      .start_id = "a", .known_blocks = 0, .elapsed = 401_ms, .predicted = 100_ms};
  const FirstTokenReport normal{.start_id = "a",
                                .known_blocks = 3,
                                .reused_blocks = 1,
                                .elapsed = 400_ms,
                                .predicted = 100_ms};
  const auto report = [&](const FirstTokenReport& first_token) {
    const SlotId slot = admit(controller, now);
    const auto signal = controller.first_token(slot, now, first_token);
    controller.finish(slot, now, Outcome::kCompleted);
    return signal;
  };

  SECTION("connection failed") {
    CHECK(controller.finish(admit(controller, now), now, Outcome::kConnectionFailed) ==
          ColdSignal::kConnectionFailed);
    CHECK(controller.limit(now) == 2);
  }
  SECTION("start id changed, then a late answer of the earlier incarnation") {
    CHECK(report({.start_id = "b"}) == ColdSignal::kStartIdChanged);
    CHECK(controller.limit(now) == 2);
    CHECK_FALSE(report({.start_id = "a"}).has_value());
  }
  SECTION("known blocks missing") {
    CHECK(report({.start_id = "a", .known_blocks = 1}) == ColdSignal::kBlocksMissing);
    CHECK(controller.limit(now) == 2);
  }
  SECTION("three slow first tokens in a row") {
    CHECK_FALSE(report(slow).has_value());
    CHECK_FALSE(report(slow).has_value());
    CHECK_FALSE(report(normal).has_value());
    CHECK_FALSE(report(slow).has_value());
    CHECK_FALSE(report(slow).has_value());
    CHECK(report(slow) == ColdSignal::kSlowFirstTokens);
    CHECK(controller.limit(now) == 2);
    // Slow first tokens of a cold upstream must not restart slow start again.
    for (int i = 0; i < 6; ++i) {
      CHECK_FALSE(report(slow).has_value());
    }
  }
  SECTION("requests from before a restart do not count as completed after it") {
    controller.upstream_restarted(now);
    controller.finish(old_slot, now, Outcome::kCompleted);
    CHECK(controller.limit(now + 60_s) == 2);
  }
}

namespace {

// An upstream that sustains only as many requests as it has warmed up for. When overloaded, it
// fails: it breaks all its connections and restarts cold. It does not report its state.
class SimulatedUpstream {
 public:
  SimulatedUpstream(std::uint32_t capacity, Instant now) : capacity_(capacity), start_(now) {}

  struct Run {
    SlotId slot;
    Instant first_token_at;
    Instant end_at;
    std::uint64_t incarnation;
    bool first_token_reported = false;
  };

  void restart_cold(Instant now) {
    ++incarnation_;
    start_ = now;
    completed_ = 0;
  }

  std::uint32_t sustained_requests(Instant now) const {
    const auto doublings = std::min<std::int64_t>((now - start_).ms / 2000, 20);
    return static_cast<std::uint32_t>(
        std::min({std::uint64_t{capacity_}, std::uint64_t{2} << doublings, 2 + completed_}));
  }

  void dispatch(SlotId slot, Random& random, Instant now) {
    const Duration first{20 + static_cast<std::int64_t>(random.below(30))};
    const Duration rest{static_cast<std::int64_t>(random.below(400))};
    runs_.push_back({slot, now + first, now + first + rest, incarnation_});
  }

  /** Restarts the upstream and returns true if it has more requests than it sustains. */
  bool fails_if_overloaded(Instant now) {
    if (runs_.size() <= sustained_requests(now)) {
      return false;
    }
    restart_cold(now);
    return true;
  }

  void count_completed(const Run& run) { completed_ += run.incarnation == incarnation_ ? 1 : 0; }
  std::uint64_t incarnation() const { return incarnation_; }
  std::vector<Run>& runs() { return runs_; }

 private:
  std::uint32_t capacity_;
  Instant start_;
  std::uint64_t completed_ = 0;
  std::uint64_t incarnation_ = 0;
  std::vector<Run> runs_;
};

// Runs one controller and one upstream with requests from many entry instances.
class AdmissionRun {
 public:
  explicit AdmissionRun(std::uint64_t seed)
      : random_(seed), controller_(limits_with(24), now_), upstream_(24, now_) {
    controller_.set_weight_version(kModel, "v1");
  }

  void step() {
    now_ = now_ + 10_ms;
    if (random_.chance(0.001)) {
      upstream_.restart_cold(now_);
      undetected_restart_ = true;
    }
    controller_.set_zone_out_of_service(random_.chance(0.01));
    for (std::uint64_t entry = random_.below(20); entry > 0; --entry) {
      submit();
    }
    finish_runs();
    for (bool admitted = true; admitted && waiting_ > 0;) {
      admitted = try_admit_one(true);
      waiting_ -= admitted ? 1 : 0;
    }
  }

  int unexplained_failures() const { return unexplained_failures_; }
  int detections() const { return detections_; }
  int refusals() const { return refusals_; }

 private:
  void submit() { try_admit_one(false); }

  bool try_admit_one(bool from_queue) {
    AdmissionRequest request = request_of(1 + random_.below(8000));
    request.waiting = waiting_;
    request.from_queue = from_queue;
    const std::uint32_t running_before = controller_.running();
    const Admission admission = controller_.try_admit(request, now_);
    if (const auto* admitted = std::get_if<Admitted>(&admission)) {
      REQUIRE(controller_.running() <= controller_.limit(now_));
      REQUIRE(controller_.kv_tokens_used() <= 100'000);
      upstream_.dispatch(admitted->slot, random_, now_);
      check_load();
      return true;
    }
    // A request that was not admitted must not have been counted.
    REQUIRE(controller_.running() == running_before);
    if (const auto* refused = std::get_if<Refused>(&admission)) {
      REQUIRE(refused->verdict.run_state() == RunState::kNotRun);
      ++refusals_;
    } else if (!from_queue) {
      ++waiting_;
    }
    return false;
  }

  void check_load() {
    REQUIRE(upstream_.runs().size() == controller_.running());
    if (!upstream_.fails_if_overloaded(now_)) {
      return;
    }
    unexplained_failures_ += undetected_restart_ ? 0 : 1;
    for (const auto& run : std::exchange(upstream_.runs(), {})) {
      record(controller_.finish(run.slot, now_, Outcome::kConnectionFailed));
    }
  }

  void finish_runs() {
    auto& runs = upstream_.runs();
    for (std::size_t i = 0; i < runs.size();) {
      auto& run = runs[i];
      if (!run.first_token_reported && run.first_token_at <= now_) {
        run.first_token_reported = true;
        const std::string start_id = std::to_string(upstream_.incarnation());
        record(controller_.first_token(run.slot, now_, {.start_id = start_id}));
      }
      if (run.end_at > now_) {
        ++i;
        continue;
      }
      upstream_.count_completed(run);
      controller_.finish(run.slot, now_, Outcome::kCompleted);
      runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }

  void record(std::optional<ColdSignal> signal) {
    if (signal) {
      undetected_restart_ = false;
      ++detections_;
    }
  }

  Instant now_{0};
  Random random_;
  AdmissionController controller_;
  SimulatedUpstream upstream_;
  std::size_t waiting_ = 0;
  bool undetected_restart_ = false;
  int unexplained_failures_ = 0;
  int detections_ = 0;
  int refusals_ = 0;
};

}  // namespace

// Guards against load above the limit from many entry instances, against a cold upstream that is
// overloaded again after it was detected, and against a refusal after dispatch.
TEST_CASE("an upstream gets no more load than it bears", "[admission]") {
  int detections = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    AdmissionRun run(seed);
    for (int step = 0; step < 6000; ++step) {
      run.step();
    }
    CHECK(run.unexplained_failures() == 0);
    CHECK(run.refusals() > 0);
    detections += run.detections();
  }
  CHECK(detections > 20);
}

}  // namespace bluebellstep
