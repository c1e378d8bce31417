// Tests of bundle adoption and of the election of watchers.

#include <catch2/catch.hpp>

#include "rollout/bundle_tracker.h"
#include "rollout/watcher_election.h"
#include "tests/support/test_bundle.h"

namespace bluebellstep {
namespace {

struct Fixture {
  std::string document(std::uint64_t generation) const {
    return test_document(operators, test_bundle_text(generation));
  }

  TestOperators operators;
  BundleTracker tracker{BundleSigner(operators.keys()), "p"};
};

}  // namespace

TEST_CASE_METHOD(Fixture, "only valid documents of a higher generation are adopted", "[rollout]") {
  CHECK_FALSE(tracker.ready());
  CHECK(tracker.on_platform_document({1}, document(3), {0}) == BundleOfferResult::kAdopted);
  CHECK(tracker.on_platform_document({2}, document(2), {1}) == BundleOfferResult::kNotNewer);
  std::string broken = document(4);
  broken[broken.find("author_signature") + 25] ^= 1;
  CHECK(tracker.on_platform_document({3}, broken, {2}) == BundleOfferResult::kInvalid);
  CHECK_THAT(tracker.last_error(), Catch::Contains("author_signature"));
  CHECK(tracker.generation() == 3);
  // Neither document confirmed that generation 3 is the newest.
  CHECK(tracker.confirmed_age({10}) == 10_ms);
  tracker.on_watch_unchanged({9});
  CHECK(tracker.confirmed_age({10}) == 10_ms);
}

TEST_CASE_METHOD(Fixture, "confirmations come from the platform and from peers", "[rollout]") {
  tracker.on_fetch_started("q", {0});
  tracker.on_fetch_finished("q", document(3), {0});
  CHECK(tracker.ready());
  CHECK_FALSE(tracker.confirmed_age({0}).has_value());
  tracker.on_peer_heartbeat("q", 3, 40_ms, {1000});
  CHECK(tracker.confirmed_age({1000}) == 40_ms + BundleTracker::kConfirmationHopDelay);
  // A peer with a lower or higher generation does not confirm the current bundle.
  tracker.on_peer_heartbeat("r", 2, 0_ms, {1100});
  tracker.on_peer_heartbeat("s", 4, 0_ms, {1100});
  CHECK(tracker.confirmed_age({1000}) == 40_ms + BundleTracker::kConfirmationHopDelay);
  tracker.on_platform_document({1}, document(3), {1200});
  tracker.on_watch_unchanged({3200});
  CHECK(tracker.confirmed_age({3200}) == 0_ms);
}

// Guards against a process that is blocked by a peer that has stopped, does not answer or sends
// unusable documents.
TEST_CASE_METHOD(Fixture,
                 "the bundle is fetched from another peer when a fetch fails",
                 "[rollout]") {
  tracker.on_peer_heartbeat("q", 5, std::nullopt, {0});
  tracker.on_peer_heartbeat("r", 4, std::nullopt, {0});
  CHECK(tracker.peer_to_fetch_from({0}) == "q");
  tracker.on_fetch_started("q", {0});
  CHECK_FALSE(tracker.peer_to_fetch_from({100}).has_value());
  CHECK(tracker.peer_to_fetch_from({1500}) == "r");
  tracker.on_fetch_started("r", {1500});
  CHECK(tracker.on_fetch_finished("r", "nonsense", {1600}) == BundleOfferResult::kInvalid);
  CHECK_FALSE(tracker.peer_to_fetch_from({1700}).has_value());
  tracker.on_peer_heartbeat("q", 5, std::nullopt, {2500});
  CHECK(tracker.peer_to_fetch_from({2500}) == "q");
  tracker.on_fetch_started("q", {2500});
  CHECK(tracker.on_fetch_finished("q", document(4), {2550}) == BundleOfferResult::kAdopted);
  // The peer announced generation 5 but sent 4, so the next fetch from it is delayed.
  CHECK_FALSE(tracker.peer_to_fetch_from({2600}).has_value());
  CHECK_FALSE(tracker.peer_to_fetch_from({9000}).has_value());
}

TEST_CASE("three entry instances watch, and others replace them within two seconds", "[rollout]") {
  std::vector<WatcherElection> entries;
  entries.reserve(8);
  for (int i = 0; i < 8; ++i) {
    entries.emplace_back("e" + std::to_string(i), true, i);
  }
  const auto watchers = [&](Instant now, int first) {
    std::vector<int> found;
    for (int i = first; i < 8; ++i) {
      for (int j = first; j < 8; ++j) {
        entries[i].on_entry_heartbeat("e" + std::to_string(j), true, now);
      }
    }
    for (int i = first; i < 8; ++i) {
      if (entries[i].is_watcher(now)) {
        found.push_back(i);
      }
    }
    return found;
  };
  CHECK(watchers({1000}, 0).size() == WatcherElection::kWatcherCount);
  CHECK(watchers({3001}, 4).size() == WatcherElection::kWatcherCount);
  CHECK_FALSE(WatcherElection("s", false, 1).is_watcher({0}));
  // An entry instance that receives no heartbeats from this process is not ranked: it may not know
  // of this process.
  WatcherElection alone("e0", true, 1);
  for (int i = 1; i < 8; ++i) {
    alone.on_entry_heartbeat("e" + std::to_string(i), false, {0});
  }
  CHECK(alone.is_watcher({0}));
}

// Guards against processes that overload the platform when it fails or has no valid bundle.
TEST_CASE("reads are rate-limited regardless of their outcome", "[rollout]") {
  for (const bool answered : {false, true}) {
    WatcherElection sidecar("s", false, 7);
    int calls = 0;
    for (Instant now{0}; now < Instant{60'000}; now = now + 10_ms) {
      if (sidecar.next_call(now, std::nullopt) == WatcherElection::Call::kRead) {
        ++calls;
        sidecar.on_call_finished(answered, now);
      }
    }
    CHECK(calls >= (answered ? 12 : 120));
    CHECK(calls <= (answered ? 25 : 240));
  }
  WatcherElection sidecar("s", false, 7);
  CHECK(sidecar.next_call({0}, 4999_ms) == WatcherElection::Call::kNone);
  CHECK(sidecar.next_call({0}, 5500_ms) == WatcherElection::Call::kRead);
  CHECK(sidecar.next_call({0}, 9000_ms) == WatcherElection::Call::kNone);
}

}  // namespace bluebellstep
