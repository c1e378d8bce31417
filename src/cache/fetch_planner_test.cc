// Tests of the fetch planner, the link scheduler and the store selector.

#include "cache/fetch_planner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "cache/link_scheduler.h"
#include "cache/store_selector.h"

namespace bluebellstep {
namespace {

constexpr std::uint32_t kBlockBytes = 1'000'000;

BlockLocations in_memory() {
  return {.in_memory = true, .bytes = kBlockBytes};
}

FetchQuery query_of(std::span<const BlockLocations> blocks) {
  FetchQuery query;
  query.blocks = blocks;
  query.tokens = 10'000;
  query.prefill_tokens_per_s = 10'000;
  query.links = {LinkState{100e6, 0}, LinkState{20e6, 0}};
  query.deadline = {10'000};
  return query;
}

}  // namespace

// Guards against fetching blocks that are computed sooner, and against computing blocks that are
// fetched sooner.
TEST_CASE("the planner selects the prefix with the earliest end of prefill", "[cache]") {
  const std::vector<BlockLocations> blocks(8, in_memory());
  FetchQuery query = query_of(blocks);
  std::size_t expected = 8;
  SECTION("a fast link") {}
  SECTION("a long queue at the link") {
    query.links[0].queued_bytes = 200'000'000;
    expected = 0;
  }
  SECTION("a queue at the engine hides the queue at the link") {
    query.links[0].queued_bytes = 100'000'000;
    query.engine_queue = 2_s;
  }
  SECTION("a link without bandwidth") {
    query.links[0].bytes_per_s = 0;
    expected = 0;
  }
  SECTION("a deadline that allows three blocks") {
    query.deadline = {35};
    expected = 3;
  }
  SECTION("no time left") {
    query.deadline = {0};
    expected = 0;
  }
  const FetchPlan plan = FetchPlanner().plan(query, {0});
  CHECK(plan.blocks == expected);
  CHECK(plan.give_up_at <= query.deadline);
}

TEST_CASE("blocks are fetched from the tier that delivers them sooner", "[cache]") {
  std::vector<BlockLocations> blocks(6, in_memory());
  for (BlockLocations& block : blocks) {
    block.in_disk = true;
  }
  FetchQuery query = query_of(blocks);
  query.links[0].queued_bytes = 10'000'000;
  // Memory alone would take 160 ms. In the best split, two blocks come from disk in 100 ms and four
  // from memory in 140 ms.
  CHECK(FetchPlanner().plan(query, {0}).fetch_time == 140_ms);
}

// Guards against a run that waits beyond its deadline, whatever the estimates and the actual
// duration of the fetch, and against a plan that by its own estimate is slower than computing all
// blocks.
TEST_CASE("the planner never waits beyond the deadline", "[cache]") {
  Random random(9);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<BlockLocations> blocks(random.below(20));
    for (BlockLocations& block : blocks) {
      block.in_memory = random.chance(0.6);
      block.in_disk = random.chance(0.8);
      block.bytes = static_cast<std::uint32_t>(random.below(1u << 31));
    }
    FetchQuery query = query_of(blocks);
    query.tokens = random.below(40'000);
    query.prefill_tokens_per_s = random.chance(0.05) ? 0 : random.uniform() * 50'000;
    query.engine_queue = {static_cast<std::int64_t>(random.below(3000))};
    for (LinkState& link : query.links) {
      link.bytes_per_s = random.chance(0.1) ? 0 : random.uniform() * 1e9;
      link.queued_bytes = random.below(1'000'000'000);
    }
    const Instant now{static_cast<std::int64_t>(random.below(1000))};
    query.deadline = {static_cast<std::int64_t>(random.below(5000))};
    const FetchPlan plan = FetchPlanner().plan(query, now);
    REQUIRE(plan.give_up_at <= query.deadline);
    REQUIRE(plan.blocks <= blocks.size());
    REQUIRE((plan.blocks == 0 || now + plan.fetch_time <= query.deadline));
    FetchQuery without = query;
    without.blocks = {};
    REQUIRE(plan.total_time <= FetchPlanner().plan(without, now).total_time);
    for (std::size_t k = 0; k < plan.blocks; ++k) {
      REQUIRE((blocks[k].in_memory || blocks[k].in_disk));
    }
  }
}

// Guards against one account that monopolizes a link, and against idle links while transfers wait.
TEST_CASE("links are shared by weight and never idle while transfers wait", "[cache]") {
  LinkScheduler scheduler(2);
  scheduler.set_weight({1}, 3);
  std::uint64_t next = 0;
  const auto push = [&](AccountId account, std::uint64_t bytes) {
    scheduler.push({.id = {++next}, .account = account, .bytes = bytes, .deadline = {1'000'000}});
  };
  for (int i = 0; i < 4000; ++i) {
    push({0}, 5000);
    push({1}, 1000);
    push({1}, 1000);
    push({1}, 1000);
  }
  const std::uint64_t queued = scheduler.queued_bytes(Tier::kMemory);
  CHECK(queued == 32'000'000);
  CHECK(scheduler.queued_bytes(Tier::kDisk) == 0);
  std::map<std::uint32_t, double> served;
  std::vector<TransferId> running;
  for (int i = 0; i < 4000; ++i) {
    while (const auto started = scheduler.start_next(Tier::kMemory, {0})) {
      running.push_back(started->id);
      served[started->account.value] += static_cast<double>(started->bytes);
    }
    REQUIRE(running.size() == 2);
    scheduler.finish(running.front());
    running.erase(running.begin());
  }
  CHECK(served[1] / (served[0] + served[1]) == Approx(0.75).epsilon(0.05));
  CHECK(scheduler.queued_bytes(Tier::kMemory) < queued);
}

// Guards against transfers that start too late to be useful, and against transfers that are neither
// started nor reported as expired.
TEST_CASE("transfers past their deadline expire once and are never started", "[cache]") {
  Random random(2);
  LinkScheduler scheduler(1);
  std::map<TransferId, Instant> waiting;
  TransferId running;  // 0 for none.
  std::uint64_t next = 0;
  for (Instant now{0}; now < Instant{20'000}; now = now + 1_ms) {
    const Instant deadline = now + Duration{static_cast<std::int64_t>(random.below(50))};
    const Tier tier = random.chance(0.5) ? Tier::kMemory : Tier::kDisk;
    waiting[{++next}] = deadline;
    scheduler.push({.id = {next},
                    .account = {static_cast<std::uint32_t>(random.below(3))},
                    .tier = tier,
                    .bytes = 1 + random.below(100),
                    .deadline = deadline});
    if (random.chance(0.5)) {
      scheduler.finish(running);
      running = {0};
    }
    if (const auto started = scheduler.start_next(Tier::kMemory, now)) {
      REQUIRE(running == TransferId{0});
      REQUIRE(waiting.at(started->id) > now);
      waiting.erase(started->id);
      running = started->id;
    }
    if (random.chance(0.05)) {
      const TransferId dropped = waiting.rbegin()->first;
      scheduler.finish(dropped);
      waiting.erase(dropped);
    }
    for (const TransferId id : scheduler.take_expired(now)) {
      REQUIRE(waiting.at(id) <= now);
      waiting.erase(id);
    }
    REQUIRE(std::ranges::all_of(waiting, [&](const auto& each) { return each.second > now; }));
  }
  for (const TransferId id : scheduler.take_expired({30'000})) {
    waiting.erase(id);
  }
  scheduler.finish(running);
  CHECK(waiting.empty());
  CHECK(scheduler.queued_bytes(Tier::kMemory) + scheduler.queued_bytes(Tier::kDisk) == 0);
}

// Guards against a failed store that delays every run, and against a recovered store that is never
// used again.
TEST_CASE("a failing store is ejected, then probed once", "[cache]") {
  StoreSelector selector;
  const StoreId first = selector.add("s0");
  const StoreId second = selector.add("s1");
  Random random(6);
  BlockKey key;  // Key of a block of the first store.
  do {
    key.low = random.next();
  } while (selector.select(key, {0}) != first);

  selector.report_failure(first, {0});
  selector.report_failure(first, {0});
  selector.report_success(first);
  selector.report_failure(first, {10});
  selector.report_failure(first, {20});
  CHECK(selector.select(key, {20}) == first);
  selector.report_failure(first, {30});
  CHECK_FALSE(selector.is_available(first));
  CHECK(selector.select(key, {5029}) == second);

  CHECK(selector.select(key, {5030}) == first);
  CHECK(selector.select(key, {5030}) == second);
  selector.report_failure(first, {5040});
  CHECK(selector.select(key, {10'039}) == second);
  CHECK(selector.select(key, {10'040}) == first);
  // After a probe without an answer, the store is probed again later.
  CHECK(selector.select(key, {15'039}) == second);
  CHECK(selector.select(key, {15'040}) == first);
  selector.report_success(first);
  CHECK(selector.is_available(first));
  CHECK(selector.select(key, {15'041}) == first);

  for (int i = 0; i < 3; ++i) {
    selector.report_failure(first, {16'000});
    selector.report_failure(second, {16'000});
  }
  CHECK_FALSE(selector.select(key, {16'001}).has_value());
}

// Guards against blocks that are reassigned although their store is available.
TEST_CASE("ejection of a store reassigns only its own blocks", "[cache]") {
  StoreSelector selector;
  for (const std::string name : {"s0", "s1", "s2"}) {
    selector.add(name);
  }
  Random random(8);
  std::map<std::uint64_t, StoreId> before;
  std::map<std::uint32_t, int> counts;
  for (int i = 0; i < 3000; ++i) {
    const std::uint64_t low = random.next();
    before[low] = *selector.select({0, low}, {0});
    ++counts[before[low].value];
  }
  for (const auto& [store, count] : counts) {
    CHECK(count == Approx(1000).epsilon(0.15));
  }
  for (int i = 0; i < 3; ++i) {
    selector.report_failure({1}, {0});
  }
  for (const auto& [low, store] : before) {
    const auto selected = selector.select({0, low}, {1});
    REQUIRE((store == StoreId{1} ? selected != store : selected == store));
  }
}

}  // namespace bluebellstep
