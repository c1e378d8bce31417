// Tests of the cache, the cache events and the commands of the engine model.

#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "standins/block_payload.h"
#include "standins/engine_model.h"

namespace bluebellstep::standins {
namespace {

constexpr Instant kStart{1'000};

/** An engine and its time; runs one request after the other. */
struct Fixture {
  explicit Fixture(EngineOptions options = {}) : engine(std::move(options), kStart) {}

  /** Runs a prompt of `blocks` blocks of text filled with `fill`; returns its first event. */
  StreamStarted run(char fill, std::size_t blocks, const std::string& version = "1") {
    engine.take_events();
    engine.submit(make(fill, blocks, version), now);
    now = now + 10_s;
    engine.advance(now);
    for (const StreamEvent& event : engine.take_events()) {
      if (const auto* started = std::get_if<StreamStarted>(&event.payload)) {
        return *started;
      }
    }
    FAIL("no first token");
    return {};
  }

  static BlockKey seed(const std::string& version) { return cache_seed("a", "clerk", version); }

  static CompletionRequest make(char fill, std::size_t blocks, const std::string& version = "1") {
    CompletionRequest request;
    request.request_id = fill + version;
    request.model = "clerk";
    request.prompt = std::string(blocks * kBlockTextBytes + 10, fill);
    request.max_tokens = 8;
    request.cache_salt = seed(version);
    return request;
  }

  /** Loads `version` to the end. */
  void load(const std::string& version) {
    REQUIRE(std::holds_alternative<WeightLoadId>(engine.load_weights("clerk", version, 1, now)));
    now = now + 2_s;
    engine.advance(now);
  }

  EngineModel engine;
  Instant now = kStart;
};

}  // namespace

// Guards against prefixes that are computed again or survive a cold start.
TEST_CASE("a returning prompt reads its cached prefix", "[standins]") {
  Fixture fixture;
  CHECK(fixture.run('x', 3).computed_blocks == 3);
  const StreamStarted again = fixture.run('x', 4);
  CHECK(again.cached_blocks == 3);
  CHECK(again.computed_blocks == 1);
  fixture.engine.go_cold(fixture.now);
  CHECK(fixture.run('x', 4).cached_blocks == 0);
}

// Guards against eviction of a head, which makes the rest of the prompt useless.
TEST_CASE("the least recently used blocks are evicted, the tail of a prompt first", "[standins]") {
  EngineOptions options;
  options.cache_blocks = 6;
  Fixture fixture(options);
  fixture.run('x', 3);
  fixture.run('y', 3);
  fixture.run('x', 3);
  fixture.run('z', 2);
  CHECK(fixture.run('x', 3).cached_blocks == 3);
  CHECK(fixture.run('y', 3).cached_blocks == 1);
  CHECK(fixture.engine.cached_keys(fixture.now).size() == 6);
}

// Guards against eviction of a block that a run reads.
TEST_CASE("blocks that a run holds are not evicted", "[standins]") {
  EngineOptions options;
  options.cache_blocks = 2;
  EngineModel engine(options, kStart);
  engine.submit(Fixture::make('x', 2), kStart);
  engine.advance(kStart + 120_ms);  // After the first token; the run holds all of the memory.
  const BlockKey other{1, 2};
  CHECK_FALSE(engine.import_block(other, block_payload(other, options.block_bytes), kStart));
  engine.advance(kStart + 10_s);
  CHECK(engine.import_block(other, block_payload(other, options.block_bytes), kStart + 10_s));
}

// Guards against right blocks being counted as corrupt.
TEST_CASE("an exported block can be imported elsewhere", "[standins]") {
  Fixture from;
  Fixture to;
  from.run('x', 2);
  const auto keys = block_keys(Fixture::seed("1"), std::string(2 * kBlockTextBytes, 'x'));
  for (const BlockKey key : keys) {
    auto bytes = from.engine.export_block(key, from.now);
    REQUIRE(bytes.has_value());
    CHECK(bytes->size() == 65'536);
    CHECK(to.engine.import_block(key, *bytes, to.now));
  }
  CHECK(to.run('x', 2).cached_blocks == 2);
  CHECK(to.engine.counters().corrupt_imports == 0);
  CHECK(to.engine.counters().corrupt_reads == 0);
  CHECK_FALSE(to.engine.export_block(BlockKey{1, 1}, to.now).has_value());
}

// Guards against a freed or partly written block going unnoticed in a test.
TEST_CASE("an import of wrong bytes is counted, and so is its use", "[standins]") {
  Fixture fixture;
  const BlockKey key = block_keys(Fixture::seed("1"), std::string(kBlockTextBytes, 'x')).front();
  const std::string complete_block = block_payload(key, 65'536);
  const std::string bytes = GENERATE_COPY(complete_block.substr(0, 100),
                                          block_payload(BlockKey{1, 1}, 65'536), std::string());
  CHECK(fixture.engine.import_block(key, bytes, fixture.now));
  CHECK(fixture.engine.counters().corrupt_imports == 1);
  CHECK(fixture.engine.export_block(key, fixture.now) == bytes);
  fixture.run('y', 1);
  CHECK(fixture.engine.counters().corrupt_reads == 0);
  fixture.run('x', 2);
  CHECK(fixture.engine.counters().corrupt_reads == 1);
  CHECK(fixture.engine.import_block(key, complete_block, fixture.now));
  fixture.run('x', 2);
  CHECK(fixture.engine.counters().corrupt_reads == 1);
}

// Guards against events that are fresher than those of real engines.
TEST_CASE("cache events come late and in order", "[standins]") {
  EngineOptions options;
  options.cache_blocks = 2;
  options.events_lag = 20_s;
  Fixture fixture(options);
  fixture.run('x', 2);
  CHECK(fixture.engine.cache_events(1, fixture.now).events.empty());
  CHECK(fixture.engine.cache_events(1, fixture.now).next == 1);
  fixture.run('y', 1);
  fixture.now = fixture.now + 20_s;
  const CacheEventPage page = fixture.engine.cache_events(1, fixture.now);
  REQUIRE(page.events.size() == 3);
  CHECK(page.next == 4);
  CHECK(page.next == fixture.engine.last_cache_event_number());
  CHECK(page.events[0].type == CacheEventType::kStored);
  CHECK(page.events[0].keys.size() == 2);
  CHECK(page.events[1].type == CacheEventType::kEvicted);
  CHECK(page.events[1].keys.size() == 1);
  CHECK(page.events[2].type == CacheEventType::kStored);
  CHECK(fixture.engine.cache_events(4, fixture.now).events.empty());
}

// Guards against a lost event that a follower cannot detect.
TEST_CASE("a lost cache event leaves a gap", "[standins]") {
  Fixture fixture;
  fixture.engine.set_faults({.drop_event_every = 3});
  for (const char fill : {'a', 'b', 'c', 'd'}) {
    fixture.run(fill, 1);
  }
  std::vector<std::uint64_t> numbers;
  for (const CacheEvent& event : fixture.engine.cache_events(0, fixture.now).events) {
    numbers.push_back(event.sequence_number);
  }
  CHECK(numbers == std::vector<std::uint64_t>{1, 2, 4, 5});
  // A poll that ends before the lost event does not skip it.
  fixture.run('e', 1);
  CHECK(fixture.engine.last_cache_event_number() == 6);
  CHECK(fixture.engine.cache_events(5, fixture.now).next == 5);
  CHECK(fixture.engine.cache_events(0, fixture.now).next == 5);
}

// Guards against an index that mixes events of two incarnations.
TEST_CASE("a fall over restarts the cache events", "[standins]") {
  Fixture fixture;
  fixture.run('x', 2);
  fixture.engine.crash(fixture.now);
  fixture.now = fixture.now + 1_s;
  const CacheEventPage page = fixture.engine.cache_events(0, fixture.now);
  REQUIRE(page.events.size() == 1);
  CHECK(page.events[0].sequence_number == 1);
  CHECK(page.events[0].type == CacheEventType::kCleared);
  CHECK(fixture.engine.cached_keys(fixture.now).empty());
}

// Guards against a stale command holder being refused by an engine that cannot check.
TEST_CASE("fencing numbers are checked or ignored by option", "[standins]") {
  EngineOptions options;
  options.checks_fencing_numbers = GENERATE(true, false);
  const bool checks = options.checks_fencing_numbers;
  EngineModel engine(options, kStart);
  CHECK(std::holds_alternative<CommandDone>(engine.set_role("prefill", 7)));
  CHECK(std::holds_alternative<CommandDone>(engine.load_adapter("clerk", "lora", 7, kStart)));
  const CommandResult role = engine.set_role("decode", 6);
  const CommandResult load = engine.load_weights("clerk", "2", 6, kStart);
  if (checks) {
    REQUIRE(std::holds_alternative<StaleFencingNumber>(role));
    CHECK(std::get<StaleFencingNumber>(role).highest == 7);
    CHECK(std::holds_alternative<StaleFencingNumber>(load));
  } else {
    CHECK(std::holds_alternative<WeightLoadId>(load));
  }
  CHECK(engine.role() == (checks ? "prefill" : "decode"));
  CHECK(engine.counters().stale_commands == 2);
  CHECK(engine.load_report(kStart + 10_s).models.at("clerk:lora") == (checks ? "1" : "2"));
}

// Guards against load gates being tested without the cost that they avoid.
TEST_CASE("a weight load takes its time, more when over two servers load", "[standins]") {
  EngineOptions options;
  options.weight_load_group = std::make_shared<WeightLoadGroup>();
  options.weight_load_group->loading_servers = GENERATE(0, 1, 2);
  const Duration span = options.weight_load_group->loading_servers == 2 ? 1600_ms : 800_ms;
  EngineModel engine(options, kStart);
  const CommandResult load = engine.load_weights("clerk", "2", 1, kStart);
  REQUIRE(std::holds_alternative<WeightLoadId>(load));
  CHECK(std::get<CommandError>(engine.load_weights("clerk", "3", 1, kStart)) ==
        CommandError::kLoadInProgress);
  engine.advance(kStart + span - 1_ms);
  CHECK(engine.take_finished_weight_loads().empty());
  engine.advance(kStart + span);
  const auto finished = engine.take_finished_weight_loads();
  REQUIRE(finished.size() == 1);
  CHECK(finished[0].load == std::get<WeightLoadId>(load));
  CHECK(finished[0].loaded);
  CHECK(engine.load_report(kStart + 10_s).models.at("clerk") == "2");
}

// Guards against a lost load that counts as done or keeps its place in the group.
TEST_CASE("a fall over aborts a weight load", "[standins]") {
  EngineOptions options;
  options.weight_load_group = std::make_shared<WeightLoadGroup>();
  EngineModel engine(options, kStart);
  engine.load_weights("clerk", "2", 1, kStart);
  engine.crash(kStart + 1_ms);
  CHECK_FALSE(engine.take_finished_weight_loads().at(0).loaded);
  CHECK(options.weight_load_group->loading_servers == 0);
  CHECK(engine.load_report(kStart + 10_s).models.at("clerk") == "1");
}

// Guards against a run that loses its blocks in a swap, and against reuse of them afterwards.
TEST_CASE("a run across a swap keeps its blocks until it ends", "[standins]") {
  EngineOptions options;
  options.weight_load_time = 300_ms;
  options.prefill_tokens_per_s = 10'000;
  EngineModel engine(options, kStart);
  const bool swap_in_prefill = GENERATE(true, false);
  engine.load_weights("clerk", "2", 1, kStart);
  // The prompt takes about 200 ms and the answer another 60 ms.
  const Instant begin = kStart + (swap_in_prefill ? 200_ms : 70_ms);
  engine.submit(Fixture::make('x', 2), begin);
  engine.advance(kStart + 299_ms);
  CHECK(engine.cached_keys(kStart + 299_ms).size() == (swap_in_prefill ? 0 : 2));
  engine.advance(begin + 225_ms);
  CHECK(engine.cached_keys(begin + 225_ms).size() == 2);
  engine.advance(kStart + 10_s);
  CHECK(engine.counters().completed == 1);
  for (const StreamEvent& event : engine.take_events()) {
    if (const auto* started = std::get_if<StreamStarted>(&event.payload)) {
      CHECK(started->weight_version == "1");
    }
  }
  CHECK(engine.cached_keys(kStart + 10_s).empty());
}

// Guards against blocks of old weights that stay readable after a swap.
TEST_CASE("a swap evicts the blocks of the old weights", "[standins]") {
  Fixture fixture;
  fixture.run('x', 2);
  fixture.load("2");
  CHECK(fixture.engine.cached_keys(fixture.now).empty());
  CHECK(fixture.run('x', 2, "2").weight_version == "2");
  CHECK(fixture.engine.counters().wrong_version_reads == 0);
}

// Guards against a request with an old seed after a swap going unnoticed in a test.
TEST_CASE("a read of a block of replaced weights is counted", "[standins]") {
  EngineOptions options;
  options.weight_load_time = 100_ms;
  EngineModel engine(options, kStart);
  CompletionRequest holder = Fixture::make('x', 2);  // Runs for 370 ms and holds its blocks.
  holder.max_tokens = 32;
  engine.submit(std::move(holder), kStart);
  engine.load_weights("clerk", "2", 1, kStart + 50_ms);
  CompletionRequest late = Fixture::make('x', 2);
  late.request_id = "late";
  engine.submit(std::move(late), kStart + 200_ms);
  CHECK(engine.counters().cached_blocks == 2);
  CHECK(engine.counters().wrong_version_reads == 1);
}

}  // namespace bluebellstep::standins
