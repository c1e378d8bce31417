// Tests of the quarantine with one gateway and with fleets whose reports get lost.

#include "gateway/segment_quarantine.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"

namespace bluebellstep {
namespace {

constexpr std::uint64_t kDeadly = 666;
constexpr std::uint64_t kShared = 1;
constexpr Duration kTimeToCrash{300};

std::vector<PromptSegment> prompt(std::uint64_t first, std::uint64_t second, std::uint64_t own) {
  return {{.id = first, .tokens = 100}, {.id = second, .tokens = 50}, {.id = own, .tokens = 10}};
}

std::span<const std::uint8_t> bytes_of(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

/** Sends prompts one after the other and lets each crash its upstream. */
void crash_one_after_the_other(SegmentQuarantine& quarantine,
                               const std::vector<std::vector<PromptSegment>>& prompts,
                               Instant& now) {
  std::uint64_t upstream = 100;
  for (const auto& segments : prompts) {
    const Instant sent_at = now;
    now = now + kTimeToCrash;
    quarantine.record_crash(segments, ++upstream, sent_at, now, now);
  }
}

}  // namespace

// Guards against a segment that crashes one upstream after the other.
TEST_CASE("successive crashes quarantine the prompts that have all their common segments",
          "[gateway][quarantine]") {
  SegmentQuarantine quarantine;
  Instant now{1000};
  const auto deadly = prompt(kShared, kDeadly, 10);
  crash_one_after_the_other(quarantine, {deadly, deadly}, now);
  CHECK_FALSE(quarantine.contains(deadly, now));
  crash_one_after_the_other(quarantine, {deadly}, now);
  CHECK(quarantine.contains(deadly, now));
  CHECK(quarantine.contains(prompt(kShared, kDeadly, 11), now));
  CHECK_FALSE(quarantine.contains(deadly, now + SegmentQuarantine::kQuarantineTime));
}

// Guards against the loss of sound prompts that share a segment with deadly ones.
TEST_CASE("prompts with other companions of a deadly segment are served", "[gateway][quarantine]") {
  SegmentQuarantine quarantine;
  Instant now{1000};
  const auto deadly = prompt(kShared, kDeadly, 10);
  crash_one_after_the_other(quarantine, {deadly, deadly, deadly, deadly}, now);
  const auto sound = prompt(kShared, 2, 12);
  CHECK_FALSE(quarantine.contains(sound, now));
  // An answer shows that the shared segment is sound, so the deadly one alone is quarantined.
  quarantine.record_answer(sound, now + Duration{1});
  CHECK(quarantine.contains(prompt(3, kDeadly, 13), now + Duration{1}));
}

// Guards against a deadly segment that escapes since it appears with another one.
TEST_CASE("a crash with another companion narrows the quarantine", "[gateway][quarantine]") {
  SegmentQuarantine quarantine;
  Instant now{1000};
  const auto deadly = prompt(kShared, kDeadly, 10);
  crash_one_after_the_other(quarantine, {deadly, deadly, deadly}, now);
  CHECK_FALSE(quarantine.contains(prompt(3, kDeadly, 11), now));
  crash_one_after_the_other(quarantine, {prompt(3, kDeadly, 11)}, now);
  CHECK(quarantine.contains(prompt(4, kDeadly, 12), now));
}

// Guards against suspicion when a zone is lost: all prompts in flight there fail at once.
TEST_CASE("the loss of many upstreams at once quarantines nothing", "[gateway][quarantine]") {
  SegmentQuarantine quarantine;
  const Instant sent_at{1000};
  for (std::uint64_t upstream = 0; upstream < 30; ++upstream) {
    const auto offset = static_cast<std::int64_t>(upstream);
    const Instant crashed_at = sent_at + Duration{200 + offset};
    quarantine.record_crash(prompt(kShared, 2, upstream), upstream, sent_at, crashed_at,
                            crashed_at);
  }
  CHECK_FALSE(quarantine.contains(prompt(kShared, 2, 99), sent_at + Duration{300}));
}

// Guards against a quarantine by unrelated crashes over time.
TEST_CASE("an answer ends the suspicion of all earlier crashes", "[gateway][quarantine]") {
  SegmentQuarantine quarantine;
  Instant now{1000};
  const auto sound = prompt(kShared, 2, 10);
  for (int round = 0; round < 5; ++round) {
    crash_one_after_the_other(quarantine, {sound, sound}, now);
    now = now + Duration{1};
    quarantine.record_answer(sound, now);
  }
  CHECK_FALSE(quarantine.contains(sound, now));
  CHECK(quarantine.make_reminder(now).empty());
}

// Guards against the quarantine of requests whose own, last segment has nothing in common.
TEST_CASE("the last segment of a prompt is not suspected", "[gateway][quarantine]") {
  SegmentQuarantine quarantine;
  Instant now{1000};
  const std::vector<PromptSegment> own = {{.id = 5, .tokens = 10}};
  crash_one_after_the_other(quarantine, {own, own, own, own}, now);
  CHECK_FALSE(quarantine.contains(own, now));
}

// Guards against gateways that learn from an answer too late: another one has had it before it
// heard of the crash.
TEST_CASE("a gateway that had a later answer clears the segment at the others",
          "[gateway][quarantine]") {
  SegmentQuarantine crashed;
  SegmentQuarantine answered;
  Instant now{1000};
  const auto sound = prompt(kShared, 2, 10);
  crash_one_after_the_other(crashed, {sound, sound, sound}, now);
  answered.record_answer(sound, now + Duration{20});
  const Instant received_at = now + Duration{50};
  answered.apply(crashed.make_report(received_at), received_at);
  CHECK_FALSE(answered.contains(sound, received_at));
  crashed.apply(answered.make_report(received_at), received_at);
  CHECK_FALSE(crashed.contains(sound, received_at));
}

TEST_CASE("quarantine reports are encoded and decoded", "[gateway][quarantine]") {
  QuarantineReport report;
  report.crashes.push_back({.id = 7,
                            .sent_ago = Duration{900},
                            .crashed_ago = Duration{600},
                            .segments = {kShared, kDeadly}});
  report.clearances.push_back({.segment = 3, .answered_ago = Duration{40}});
  const auto decoded = decode_quarantine_report(bytes_of(encode_quarantine_report(report)));
  REQUIRE(decoded.has_value());
  REQUIRE(decoded->crashes.size() == 1);
  CHECK(decoded->crashes[0].id == 7);
  CHECK(decoded->crashes[0].sent_ago == Duration{900});
  CHECK(decoded->crashes[0].crashed_ago == Duration{600});
  CHECK(decoded->crashes[0].segments == std::vector<std::uint64_t>{kShared, kDeadly});
  REQUIRE(decoded->clearances.size() == 1);
  CHECK(decoded->clearances[0].segment == 3);
  CHECK_FALSE(decode_quarantine_report(bytes_of("\x93\xa5"
                                                "cache\x90\x90"))
                  .has_value());
}

// Guards against a fleet in which each gateway sees too few crashes to find the segment. The bounds
// are the users': at most three requests reach upstreams later than 3 s after the fifth crash.
TEST_CASE("gateways with lost reports keep a deadly segment from further upstreams",
          "[gateway][quarantine]") {
  constexpr Duration kStep{100};
  constexpr Duration kContactTime{3000};
  constexpr int kSteps = 300;
  for (const std::size_t gateways : {5u, 30u, 100u}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Random random(seed);
      std::vector<SegmentQuarantine> fleet(gateways);
      struct InFlight {
        std::size_t gateway = 0;
        std::vector<PromptSegment> segments;
        Instant sent_at;
      };
      std::vector<InFlight> in_flight;
      std::optional<Instant> fifth_crash_at;
      int crashes = 0;
      int late = 0;
      int sound_refused = 0;
      Instant now{10'000};
      for (int step = 0; step < kSteps; ++step) {
        now = now + kStep;
        std::erase_if(in_flight, [&](const InFlight& request) {
          if (now < request.sent_at + kTimeToCrash) {
            return false;
          }
          if (request.segments[1].id == kDeadly) {
            fleet[request.gateway].record_crash(request.segments, random.below(1000),
                                                request.sent_at, now, now);
            fifth_crash_at = ++crashes == 5 ? std::optional(now) : fifth_crash_at;
          } else {
            fleet[request.gateway].record_answer(request.segments, now);
          }
          return true;
        });
        // One deadly prompt in two steps and a sound one in each, at any gateway.
        for (const bool deadly : {step % 2 == 0, false}) {
          const std::size_t gateway = random.below(gateways);
          const auto segments =
              prompt(1 + random.below(3), deadly ? kDeadly : 1000 + random.below(50),
                     10'000 + random.below(100'000));
          if (fleet[gateway].contains(segments, now)) {
            sound_refused += deadly ? 0 : 1;
            continue;
          }
          late += deadly && fifth_crash_at && now > *fifth_crash_at + kContactTime ? 1 : 0;
          in_flight.push_back({gateway, segments, now});
        }
        for (std::size_t sender = 0; sender < gateways; ++sender) {
          const QuarantineReport report = fleet[sender].make_report(now);
          for (std::size_t receiver = 0; receiver < gateways && !report.empty(); ++receiver) {
            constexpr std::size_t kPercentLost = 30;
            if (receiver != sender && random.below(100) >= kPercentLost) {
              fleet[receiver].apply(report, now);
            }
          }
        }
      }
      INFO(gateways << " gateways, seed " << seed << ", " << crashes << " crashes");
      CHECK(late <= 3);
      CHECK(sound_refused == 0);
    }
  }
}

}  // namespace bluebellstep
