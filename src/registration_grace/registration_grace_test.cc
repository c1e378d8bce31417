// Tests of the grace for removed registrations: single cases, and a simulation of the table in
// docs/design/removed-registrations.md.

#include "registration_grace/registration_grace.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "base/random.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{1'000'000};

/** What happened to the way between the gateway, the upstream and the store. */
enum class Fault {
  kStoreAway,    // Nobody reaches the store.
  kZoneCut,      // The gateway and the upstream do not reach it.
  kGatewayCut,   // The gateway alone does not reach it, nor any other gateway.
  kGatewayLost,  // The gateway alone does not reach it; a peer passes answers on.
};

/** Why the registration is removed. */
enum class Removal {
  kExpired,          // The upstream runs and could not renew it.
  kLeftInFault,      // The upstream left without a word while the store was away or cut off.
  kLeftAfterReturn,  // The same, within a second of the return.
};

/** Plays one removal around one fault and records when the upstream was in use. */
class RemovalSimulation {
 public:
  RemovalSimulation(Fault fault, Removal removal, std::uint64_t seed)
      : random_(seed), fault_(fault), removal_(removal) {
    begin_ = kStart + Duration{10'000};
    returned_ = begin_ + between(2400, 8000);
    plan_removal();
    play();
  }

  /** When the store was back for this gateway. */
  Instant returned() const { return returned_; }
  /** When the store accepted the removal; nothing if the registration did not expire. */
  std::optional<Instant> removed_at() const { return removed_at_; }
  /** When the upstream was registered again; nothing if it left. */
  std::optional<Instant> back_at() const { return back_at_; }
  /** The last time at which requests could be sent to the upstream before it was back. */
  Instant last_use() const { return last_use_; }

 private:
  static constexpr Duration kStep{10};
  static constexpr Duration kHeartbeat{1200};
  static constexpr Duration kRetryDelay{400};
  static constexpr Duration kCallTimeout{900};
  static constexpr Duration kAnswerInterval{900};

  Duration between(std::int64_t min_ms, std::int64_t max_ms) {
    return Duration{min_ms + static_cast<std::int64_t>(
                                 random_.below(static_cast<std::uint64_t>(max_ms - min_ms + 1)))};
  }

  void plan_removal() {
    switch (removal_) {
      case Removal::kExpired: {
        const bool renewed = fault_ == Fault::kGatewayCut || fault_ == Fault::kGatewayLost;
        const Instant expires = begin_ - between(0, kHeartbeat.ms) + kHeartbeat * 3;
        back_at_ = returned_ + between(300, 1800);
        if (!renewed && expires < *back_at_) {
          // Some stores expire entries while they are away, others on their return.
          removed_at_ = expires;
        }
        return;
      }
      case Removal::kLeftInFault:
        removed_at_ = begin_ + between(0, (returned_ - begin_).ms);
        return;
      case Removal::kLeftAfterReturn:
        removed_at_ = returned_ + between(1, 1000);
        return;
    }
  }

  // The gateway calls the store again and again, and hears of the removal by the first answer after
  // it. With a peer in touch it hears by the peer.
  void play() {
    Instant call_at = kStart;
    bool heard = false;
    const Instant end = returned_ + Duration{6000};
    for (Instant now = kStart; now < end; now = now + kStep) {
      if (back_at_ && now >= *back_at_) {
        return;
      }
      const bool is_cut = now >= begin_ && now < returned_;
      bool answered = false;
      if (now >= call_at) {
        answered = !is_cut;
        call_at = now + (is_cut ? kCallTimeout + kRetryDelay : kAnswerInterval);
        if (is_cut) {
          failing_call_ = now;
        }
      }
      if (failing_call_ && now >= *failing_call_ + kCallTimeout) {
        grace_.record_failed_call(*failing_call_);
        failing_call_.reset();
      }
      if (answered) {
        grace_.record_store_answer(now, now);
      } else if (fault_ == Fault::kGatewayLost && now.ms % 500 == 0) {
        grace_.record_store_answer(now - Duration{200}, now);
        answered = true;
      }
      if (!heard && answered && removed_at_ && now >= *removed_at_) {
        heard = true;
        is_used_ = grace_.keep("u", now);
      }
      if (is_used_ && !grace_.has_ended("u", now)) {
        last_use_ = now;
      }
    }
  }

  Random random_;
  Fault fault_;
  Removal removal_;
  RegistrationGrace grace_;
  Instant begin_;
  Instant returned_;
  std::optional<Instant> removed_at_;
  std::optional<Instant> back_at_;
  std::optional<Instant> failing_call_;
  bool is_used_ = true;
  Instant last_use_;
};

// Half of the time between two calls of a gateway that cannot reach the store.
constexpr Duration kMaxError{650};

}  // namespace

// Guards against requests to an upstream that left around an outage: the grace was counted from
// when the gateway heard of the store again, and lasted longer than servers serve on.
TEST_CASE("the grace ends two seconds after the return of the store", "[registration_grace]") {
  RegistrationGrace grace;
  grace.record_store_answer(kStart, kStart);
  grace.record_failed_call(kStart + 2000_ms);
  const Instant heard = kStart + 3000_ms;
  grace.record_store_answer(heard, heard);
  CHECK(grace.keep("u", heard));
  CHECK(grace.kept_until("u") == kStart + 2500_ms + 2000_ms);
  grace.record_store_answer(kStart + 4000_ms, kStart + 4000_ms);
  CHECK_FALSE(grace.has_ended("u", kStart + 4499_ms));
  CHECK(grace.has_ended("u", kStart + 4500_ms));
  CHECK_FALSE(grace.keep("other", kStart + 4500_ms));
}

// Guards against a return that is dated before the last answer, by a watch that was sent before the
// outage.
TEST_CASE("a call from before the last answer does not date the return", "[registration_grace]") {
  RegistrationGrace grace;
  grace.record_store_answer(kStart, kStart);
  grace.record_failed_call(kStart - 100_ms);
  grace.record_store_answer(kStart + 3000_ms, kStart + 3000_ms);
  REQUIRE(grace.keep("u", kStart + 3000_ms));
  CHECK(grace.kept_until("u") == kStart + 5000_ms);
}

// Guards against a grace that an answer passed on by a slow peer extends.
TEST_CASE("the grace counts from the store's answer, not from its receipt",
          "[registration_grace]") {
  RegistrationGrace grace;
  grace.record_store_answer(kStart, kStart);
  grace.record_store_answer(kStart + 3000_ms, kStart + 3700_ms);
  REQUIRE(grace.keep("u", kStart + 3700_ms));
  CHECK(grace.kept_until("u") == kStart + 5000_ms);
}

// Guards against upstreams that have left and get requests, whatever fault hides their leaving.
TEST_CASE("an upstream that left around a fault is soon unused", "[registration_grace]") {
  const Fault fault =
      GENERATE(Fault::kStoreAway, Fault::kZoneCut, Fault::kGatewayCut, Fault::kGatewayLost);
  const Removal removal = GENERATE(Removal::kLeftInFault, Removal::kLeftAfterReturn);
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    const RemovalSimulation run(fault, removal, seed);
    CAPTURE(fault, removal, seed, (run.last_use() - run.returned()).ms);
    // An upstream serves for two seconds after its removal. A gateway that was out of touch then
    // has until two seconds after the return.
    const Instant bound = std::max(*run.removed_at(), run.returned()) + 2000_ms + kMaxError;
    REQUIRE(run.last_use() <= bound);
    if (fault == Fault::kGatewayLost) {
      REQUIRE(run.last_use() <= *run.removed_at() + kMaxError);
    }
  }
}

// Guards against the loss of upstreams that run, since their registrations could not be renewed.
TEST_CASE("an upstream whose registration expired in a fault stays in use",
          "[registration_grace]") {
  const Fault fault = GENERATE(Fault::kStoreAway, Fault::kZoneCut, Fault::kGatewayCut);
  int kept = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    const RemovalSimulation run(fault, Removal::kExpired, seed);
    CAPTURE(fault, seed, (run.last_use() - run.returned()).ms);
    const Instant bound = std::min(*run.back_at(), run.returned() + 2000_ms - kMaxError);
    REQUIRE(run.last_use() >= bound - 20_ms);
    kept += run.removed_at() ? 1 : 0;
  }
  CHECK((kept > 100) == (fault != Fault::kGatewayCut));
}

}  // namespace bluebellstep
