// Tests of the cache, cache events, weight loads and commands of the engine model.

#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "standins/block_payload.h"
#include "standins/engine_model.h"

namespace bluebellstep::standins {
namespace {

constexpr Instant kStart{1'000};

/** An engine and its current time. Runs one request at a time. */
struct Fixture {
  explicit Fixture(EngineOptions options = {}) : engine(std::move(options), kStart) {}

  /** Runs a prompt of `blocks` blocks of the character `fill` and a remainder. Returns the first
   * event of its stream. */
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

  /** Loads the weights of `version` and waits until the load is finished. */
  void load(const std::string& version) {
    REQUIRE(std::holds_alternative<WeightLoadId>(engine.load_weights("clerk", version, 1, now)));
    now = now + 2_s;
    engine.advance(now);
  }

  EngineModel engine;
  Instant now = kStart;
};

}  // namespace

// Guards against cached prefixes that are recomputed, and against a cache that survives a cold
// start.
TEST_CASE("a repeated prompt reads its cached prefix", "[standins]") {
  Fixture fixture;
  CHECK(fixture.run('x', 3).computed_blocks == 3);
  const StreamStarted again = fixture.run('x', 4);
  CHECK(again.cached_blocks == 3);
  CHECK(again.computed_blocks == 1);
  fixture.engine.go_cold(fixture.now);
  CHECK(fixture.run('x', 4).cached_blocks == 0);
}

// Guards against eviction of the first blocks of a prompt, without which its other blocks are
// unusable.
TEST_CASE("the least recently used blocks are evicted, the last blocks of a prompt first",
          "[standins]") {
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

// Guards against eviction of a block that a run uses.
TEST_CASE("blocks that a run holds are not evicted", "[standins]") {
  EngineOptions options;
  options.cache_blocks = 2;
  EngineModel engine(options, kStart);
  engine.submit(Fixture::make('x', 2), kStart);
  engine.advance(kStart + 120_ms);  // After the first token; the run holds all cache blocks.
  const BlockKey other{1, 2};
  CHECK_FALSE(engine.import_block(other, block_payload(other, options.block_bytes), kStart));
  engine.advance(kStart + 10_s);
  CHECK(engine.import_block(other, block_payload(other, options.block_bytes), kStart + 10_s));
}

// Guards against correct blocks that are counted as corrupt.
TEST_CASE("an exported block can be imported into another engine", "[standins]") {
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

// Guards against tests that fail to detect a freed or partly written block.
TEST_CASE("imports of wrong bytes and reads of such blocks are counted", "[standins]") {
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

// Guards against cache events that become visible earlier than those of real engines.
TEST_CASE("cache events become visible in order after the configured lag", "[standins]") {
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

// Guards against a dropped event that a reader of the cache events cannot detect.
TEST_CASE("a dropped cache event leaves a gap in the sequence numbers", "[standins]") {
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
  // If the last event is dropped, `next` does not advance past it.
  fixture.run('e', 1);
  CHECK(fixture.engine.last_cache_event_number() == 6);
  CHECK(fixture.engine.cache_events(5, fixture.now).next == 5);
  CHECK(fixture.engine.cache_events(0, fixture.now).next == 5);
}

// Guards against a block index that combines events of two incarnations.
TEST_CASE("a crash restarts the cache event sequence", "[standins]") {
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

// Guards against an engine without fencing checks that refuses stale commands all the same.
TEST_CASE("fencing numbers are checked or ignored according to the option", "[standins]") {
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

// Guards against tests of limits on concurrent weight loads in which concurrent loads cost no extra
// time.
TEST_CASE("a weight load takes longer if more than two servers load", "[standins]") {
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

// Guards against an aborted load that is reported as successful or still counts in its load group.
TEST_CASE("a crash aborts a weight load", "[standins]") {
  EngineOptions options;
  options.weight_load_group = std::make_shared<WeightLoadGroup>();
  EngineModel engine(options, kStart);
  engine.load_weights("clerk", "2", 1, kStart);
  engine.crash(kStart + 1_ms);
  CHECK_FALSE(engine.take_finished_weight_loads().at(0).loaded);
  CHECK(options.weight_load_group->loading_servers == 0);
  CHECK(engine.load_report(kStart + 10_s).models.at("clerk") == "1");
}

// Guards against a run that loses its blocks during a weight swap, and against reuse of these
// blocks after the run.
TEST_CASE("a run keeps its blocks during a weight swap until it ends", "[standins]") {
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

// Guards against blocks of replaced weights that stay readable after a weight swap.
TEST_CASE("a weight swap evicts the blocks of the replaced weights", "[standins]") {
  Fixture fixture;
  fixture.run('x', 2);
  fixture.load("2");
  CHECK(fixture.engine.cached_keys(fixture.now).empty());
  CHECK(fixture.run('x', 2, "2").weight_version == "2");
  CHECK(fixture.engine.counters().wrong_version_reads == 0);
}

// Guards against tests that fail to detect a request with the cache seed of the replaced weights.
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
