// Tests of the choice of cache nodes for fetches and saves.

#include "gateway/cache_directory.h"

#include <catch2/catch.hpp>

#include "cache_isolation/cache_namespaces.h"

namespace bluebellstep {
namespace {

constexpr double kPrefillTokensPerMs = 50;

constexpr Instant kStart{100'000};
constexpr std::string_view kNamespace = "w1/m";
constexpr CacheDirectory::StoreUse kAllUse{};

const std::vector<PromptSegment> kPrompt = {{.id = 0xb1, .tokens = 12'800},
                                            {.id = 0x01, .tokens = 4000}};

const LoadAggregator kNoPeerLoad;

CacheDirectory make_directory() {
  CacheDirectory directory(kNoPeerLoad);
  directory.set_nodes({{.name = "e1", .endpoint = {"10.0.0.1", 80}, .zone = "a"},
                       {.name = "e2", .endpoint = {"10.0.0.2", 80}, .zone = "a"},
                       {.name = "e3", .endpoint = {"10.0.0.3", 80}, .zone = "b"},
                       {.name = "s1",
                        .endpoint = {"10.0.1.1", 80},
                        .zone = "a",
                        .is_store = true,
                        .capacity_tokens = 20'000}});
  return directory;
}

CachePlan plan_of(const CacheDirectory& directory,
                  std::string_view engine,
                  std::string_view cache_namespace,
                  std::span<const PromptSegment> prompt,
                  CacheDirectory::StoreUse use,
                  Instant now) {
  const auto fetch_candidates =
      directory.fetch_candidates(cache_namespace, prompt, use, kPrefillTokensPerMs, 0, now);
  return directory.plan(engine, cache_namespace, prompt, fetch_candidates, use, now);
}

CachePollResult events(std::uint64_t epoch, std::vector<SegmentEvent> list) {
  return {.epoch = epoch, .next = 10, .clock_ms = 5000, .events = std::move(list)};
}

SegmentEvent stored(std::uint64_t segment, std::uint32_t tokens) {
  return {.cache_namespace = std::string(kNamespace), .segment = segment, .tokens = tokens};
}

}  // namespace

// Engines evict a segment within seconds, stores keep it. Guards against fetches that find nothing.
TEST_CASE("a segment is fetched from stores before engines, and from the same zone before others",
          "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("e3", events(1, {stored(0xb1, 12'800)}), kStart);
  REQUIRE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetch_endpoints[0]);
  CHECK(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetch_endpoints[0]->ip ==
        "10.0.0.3");
  directory.on_events("e2", events(1, {stored(0xb1, 12'800)}), kStart);
  CHECK(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetch_endpoints[0]->ip ==
        "10.0.0.2");
  directory.on_events("s1", events(1, {stored(0xb1, 12'800)}), kStart);
  const CachePlan plan = plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart);
  REQUIRE(plan.fetch_endpoints[0]);
  CHECK(plan.fetch_endpoints[0]->ip == "10.0.1.1");
  CHECK(plan.fetched_tokens == 12'800);
  CHECK_FALSE(plan.fetch_endpoints[1]);
}

// Load pattern: engines are full and evict a segment between two polls. Guards against prefilling
// it again because the engine was believed to hold it.
TEST_CASE("a node is named also for a segment that the engine holds", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("e1", events(1, {stored(0xb1, 12'800)}), kStart);
  directory.on_events("e2", events(1, {stored(0xb1, 12'800)}), kStart);
  const CachePlan plan = plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart);
  CHECK_FALSE(plan.fetches());
  CHECK(plan.fetch_endpoints[0]);
}

TEST_CASE("a segment that was partly evicted is not fetched", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("e2", events(1, {stored(0xb1, 12'800)}), kStart);
  directory.on_events("e2", events(1, {stored(0xb1, 128)}), kStart);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetches());
}

// Guards against using blocks of another weight version or of an isolated account.
TEST_CASE("segments of another cache namespace are not fetched", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("e2", events(1, {stored(0xb1, 12'800)}), kStart);
  CHECK_FALSE(plan_of(directory, "e1", "w2/m", kPrompt, kAllUse, kStart).fetches());
  CHECK_FALSE(plan_of(directory, "e1", "w1/m/acme", kPrompt, kAllUse, kStart).fetches());
}

// Guards against fetching a segment that is still being written: a segment sent to a store is
// complete only when an event reports it.
TEST_CASE("a segment that is being saved is neither fetched nor saved again", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("s1", events(1, {}), kStart);
  const Instant later = kStart + CacheDirectory::kSaveDelayAfterRestart;
  directory.on_events("s1", events(1, {}), later);
  const CachePlan first = plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, later);
  REQUIRE(first.save_endpoints[0]);
  CHECK_FALSE(first.save_endpoints[1]);  // The last segment belongs to the request alone.
  directory.record_sent("e1", kNamespace, kPrompt, first, later);
  const CachePlan second = plan_of(directory, "e2", kNamespace, kPrompt, kAllUse, later + 100_ms);
  CHECK_FALSE(second.fetches());
  CHECK_FALSE(second.saves());
  directory.on_events("s1", events(1, {stored(0xb1, 12'800)}), later + 200_ms);
  CHECK(plan_of(directory, "e2", kNamespace, kPrompt, kAllUse, later + 200_ms).fetches());
}

// Guards against fetching a segment while another gateway saves it again after a restart of the
// store.
TEST_CASE("the state of a store expires and saves are delayed after its restart",
          "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("s1", events(1, {stored(0xb1, 12'800)}), kStart);
  CHECK(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart + 1499_ms).fetches());
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart + 1500_ms).fetches());
  const Instant restart = kStart + 60_s;
  directory.on_events("s1", events(2, {}), restart);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, restart).fetches());
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, restart + 1000_ms).saves());
  static_assert(CacheDirectory::kSaveDelayAfterRestart > CacheDirectory::kFetchDeadline);
}

// Guards against freeing a segment while it is fetched: segments of older weights are freed only
// when no gateway fetches them any more.
TEST_CASE("fetches from stores and saves to them can be disabled for a request",
          "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("s1", events(1, {stored(0xb1, 12'800)}), kStart);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, {.fetch = false}, kStart).fetches());
  const Instant later = kStart + CacheDirectory::kSaveDelayAfterRestart;
  directory.on_events("s1", events(1, {stored(0xb1, 0)}), later);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, {.save = false}, later).saves());
}

TEST_CASE("segments of older weights of a model are found in a store", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("s1",
                      events(1, {{CacheNamespaces().shared("m", 1), 1, 100},
                                 {CacheNamespaces::of_account("m", 2, "acme"), 2, 100},
                                 {CacheNamespaces().shared("other", 1), 3, 100},
                                 {CacheNamespaces().shared("m", 3), 4, 100},
                                 {"foreign", 5, 100}}),
                      kStart);
  const auto segments = directory.segments_before_version("s1", "m", 3);
  REQUIRE(segments.size() == 2);
  CHECK(segments[0].segment + segments[1].segment == 3);
}

TEST_CASE("fetches from a store have a deadline on the clock of the store", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("s1", events(1, {stored(0xb1, 12'800)}), kStart);
  const CachePlan plan = plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart + 500_ms);
  CHECK(plan.fetch_deadline_ms == 5000 + CacheDirectory::kFetchDeadline.ms);
}

TEST_CASE("nothing is saved to a full store", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("s1", events(1, {stored(0xb2, 12'000)}), kStart);
  const Instant later = kStart + CacheDirectory::kSaveDelayAfterRestart;
  directory.on_events("s1", events(1, {}), later);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, later).saves());
}

// Load pattern: a store's link becomes slow and short prompts wait behind long transfers. Guards
// against a fetch that takes longer than prefilling the segment again.
TEST_CASE("a node with delayed transfers is used only for large segments, then not at all",
          "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  const std::vector<PromptSegment> quick = {{.id = 0xc1, .tokens = 300}, {.id = 1, .tokens = 80}};
  directory.on_events("s1", events(1, {stored(0xc1, 300), stored(0xb1, 12'800)}), kStart);
  const std::vector<std::optional<Endpoint>> store = {Endpoint{"10.0.1.1", 80}};
  directory.record_fetch_delay(store, 400_ms, kStart);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, quick, kAllUse, kStart).fetches());
  // Prefilling a long segment again costs far more.
  CHECK(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetches());
  for (int i = 0; i < 20; ++i) {
    directory.record_fetch_delay(store, 2000_ms, kStart);
  }
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetches());
  directory.on_events("e2", events(1, {stored(0xb1, 12'800)}), kStart);
  CHECK(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetch_endpoints[0]->ip ==
        "10.0.0.2");
  // The store is tried again after a while.
  directory.on_events("s1", events(1, {}), kStart + 4000_ms);
  CHECK(plan_of(directory, "e3", kNamespace, kPrompt, kAllUse, kStart + 4000_ms)
            .fetch_endpoints[0]
            ->ip == "10.0.1.1");
}

// Load pattern: small segments of many short prompts among long transfers. Guards against short
// prompts that wait for a store whose link is busy, and against small segments in stores with a
// long setup time.
TEST_CASE("transfers in progress and setup times decide where segments are saved and fetched",
          "[gateway][cache][load]") {
  LoadAggregator aggregator;
  CacheDirectory directory(aggregator);
  const CacheNode engine{.name = "e1", .endpoint = {"10.0.0.1", 80}, .zone = "a"};
  const CacheNode quick{.name = "quick",
                        .endpoint = {"10.0.1.1", 80},
                        .zone = "b",
                        .is_store = true,
                        .capacity_tokens = 300'000,
                        .transfer_setup_ms = 0.5,
                        .tokens_per_ms = 450};
  const CacheNode large{.name = "large",
                        .endpoint = {"10.0.1.2", 80},
                        .zone = "b",
                        .is_store = true,
                        .capacity_tokens = 800'000,
                        .transfer_setup_ms = 6,
                        .tokens_per_ms = 280};
  directory.set_nodes({engine, quick, large});
  const std::vector<PromptSegment> small = {{.id = 0xc1, .tokens = 55}, {.id = 1, .tokens = 80}};
  directory.on_events("quick", events(1, {}), kStart);
  directory.on_events("large", events(1, {}), kStart);
  const Instant later = kStart + CacheDirectory::kSaveDelayAfterRestart;
  directory.on_events("quick", events(1, {stored(0xc2, 55)}), later);
  directory.on_events("large", events(1, {stored(0xc2, 55), stored(0xb2, 12'800)}), later);

  CHECK(plan_of(directory, "e1", kNamespace, small, kAllUse, later).save_endpoints[0] ==
        quick.endpoint);
  CHECK(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, later).save_endpoints[0] ==
        large.endpoint);

  const std::vector<PromptSegment> kept = {{.id = 0xc2, .tokens = 55}, {.id = 1, .tokens = 80}};
  const CachePlan plan = plan_of(directory, "e1", kNamespace, kept, kAllUse, later);
  CHECK(plan.fetch_endpoints[0] == quick.endpoint);
  // The load of other gateways counts, then that of this one.
  aggregator.apply({.gateway = "g2",
                    .sequence = 1,
                    .upstream_loads = {{LoadAggregator::key_of("quick"), {.transfer_ms = 20}}}},
                   later);
  CHECK(plan_of(directory, "e1", kNamespace, kept, kAllUse, later).fetch_endpoints[0] ==
        large.endpoint);
  const std::vector<PromptSegment> returning = {{.id = 0xb2, .tokens = 12'800},
                                                {.id = 1, .tokens = 4000}};
  const CachePlan transfer = plan_of(directory, "e1", kNamespace, returning, kAllUse, later);
  REQUIRE(transfer.fetch_endpoints[0] == large.endpoint);
  directory.record_sent("e1", kNamespace, returning, transfer, later);
  CHECK(plan_of(directory, "e1", kNamespace, kept, kAllUse, later).fetch_endpoints[0] ==
        quick.endpoint);
  directory.record_fetch_finished(transfer);
  CHECK(directory.transfer_loads().empty());
  // Prefilling 55 tokens again takes a millisecond.
  aggregator.apply({.gateway = "g2",
                    .sequence = 2,
                    .upstream_loads = {{LoadAggregator::key_of("quick"), {.transfer_ms = 200}},
                                       {LoadAggregator::key_of("large"), {.transfer_ms = 200}}}},
                   later);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kept, kAllUse, later).fetches());
}

// Load pattern: a long prompt is sent through several gateways within a second. Guards against
// several engines that prefill the same shared segment.
TEST_CASE("a segment that another gateway sent is expected at its engine",
          "[gateway][cache][load]") {
  CacheDirectory sender = make_directory();
  const std::vector<PromptSegment> prompt = {
      {.id = 0xc1, .tokens = 55}, {.id = 0xb1, .tokens = 12'800}, {.id = 1, .tokens = 4000}};
  sender.record_sent("e2", kNamespace, prompt,
                     plan_of(sender, "e2", kNamespace, prompt, kAllUse, kStart), kStart);
  const std::vector<SentSegment> segments = sender.take_sent_segments();
  REQUIRE(segments.size() == 1);  // Without the small segment and the request's own.
  CHECK(sender.take_sent_segments().empty());

  CacheDirectory other = make_directory();
  other.record_sent_by_peers(segments, kStart);
  const auto held = [&other](std::string_view engine, Instant now) {
    const auto fetch_candidates =
        other.fetch_candidates(kNamespace, kPrompt, kAllUse, kPrefillTokensPerMs, 0, now);
    return other.coverage(engine, kNamespace, kPrompt, fetch_candidates, now).held_tokens;
  };
  CHECK(held("e2", kStart) == 12'800);
  CHECK(held("e1", kStart) == 0);
  // Its prefill may not have ended, so it is not fetched.
  CHECK_FALSE(plan_of(other, "e1", kNamespace, kPrompt, kAllUse, kStart).fetches());
  CHECK(held("e2", kStart + CacheDirectory::kExpectedSegmentValidity) == 0);
}

TEST_CASE("nothing is fetched for a while from an engine that did not answer", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("e2", events(1, {stored(0xb1, 12'800)}), kStart);
  directory.exclude_from_fetch("e2", kStart + 1000_ms);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetches());
  CHECK(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart + 1000_ms).fetches());
}

// Load pattern: gateways restart while engines hold thousands of segments. Guards against reading
// the complete event history of the engines.
TEST_CASE("engines are polled from their newest event, stores from their oldest",
          "[gateway][cache][load]") {
  CacheDirectory directory = make_directory();
  CHECK(directory.next_event("e1") == CacheDirectory::kFromNewestEvent);
  CHECK(directory.next_event("s1") == 0);
  CachePollResult answer = events(1, {});
  answer.events_lost = true;
  directory.on_events("e1", answer, kStart);
  CHECK(directory.next_event("e1") == 10);
}

// Guards against a late second copy of an earlier answer on a kept connection: it would restore
// segments that were freed since, and renew the validity of an old state.
TEST_CASE("an answer from before the last one is ignored", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  const CachePollResult earlier{
      .epoch = 1, .next = 5, .clock_ms = 5000, .events = {stored(0xb1, 12'800)}};
  directory.on_events("s1", earlier, kStart);
  directory.on_events("s1", {.epoch = 1, .next = 6, .clock_ms = 5100, .events = {stored(0xb1, 0)}},
                      kStart);
  directory.on_events("s1", earlier, kStart + 1000_ms);
  CHECK(directory.next_event("s1") == 6);
  CHECK_FALSE(
      plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart + 1000_ms).fetch_endpoints[0]);
}

TEST_CASE("a restarted engine holds nothing", "[gateway][cache]") {
  CacheDirectory directory = make_directory();
  directory.on_events("e2", events(1, {stored(0xb1, 12'800)}), kStart);
  std::vector<CacheNode> nodes = directory.nodes();
  for (CacheNode& node : nodes) {
    node.started_ms = node.name == "e2" ? 77 : node.started_ms;
  }
  directory.set_nodes(nodes);
  CHECK_FALSE(plan_of(directory, "e1", kNamespace, kPrompt, kAllUse, kStart).fetches());
}

}  // namespace bluebellstep
