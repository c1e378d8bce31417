// Tests of the tiers, transfers and injected faults of the store model.

#include "standins/store_model.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace bluebellstep::standins {
namespace {

constexpr Instant kStart{1'000};

/** Creates a store with a memory tier of 1,000 bytes at 1,000 bytes/s and a disk tier of 10,000
 * bytes at 100 bytes/s. */
StoreModel make_store() {
  return {{.memory = {1'000, 1'000}, .disk = {10'000, 100}}, kStart};
}

std::vector<StoreResult> run_to(StoreModel& store, Duration since_start) {
  store.advance(kStart + since_start);
  return store.take_results();
}

}  // namespace

// Guards against tiers that share their values.
TEST_CASE("a value is readable only from its own tier", "[standins]") {
  StoreModel store = make_store();
  const auto [own, other] = GENERATE(table<StoreTier, StoreTier>(
      {{StoreTier::kMemory, StoreTier::kDisk}, {StoreTier::kDisk, StoreTier::kMemory}}));
  store.put(own, "k", "value", kStart);
  run_to(store, 1_s);
  store.get(own, "k", kStart + 1_s);
  store.get(other, "k", kStart + 1_s);
  auto results = run_to(store, 2_s);
  REQUIRE(results.size() == 2);
  CHECK(results[0].status == StoreStatus::kMissing);
  CHECK(results[1].bytes == "value");
  store.remove(own, "k", kStart + 2_s);
  store.get(own, "k", kStart + 2_s);
  results = run_to(store, 3_s);
  CHECK(results[0].status == StoreStatus::kOk);
  CHECK(results[1].status == StoreStatus::kMissing);
  CHECK(store.status(own, kStart + 3_s)->used == 0);
}

// Guards against a link that exceeds its rate.
TEST_CASE("a link performs one transfer at a time at its rate", "[standins]") {
  StoreModel store = make_store();
  const auto [tier, factor, first_ms] = GENERATE(table<StoreTier, double, std::int64_t>(
      {{StoreTier::kMemory, 1, 200}, {StoreTier::kMemory, 4, 800}, {StoreTier::kDisk, 1, 2'000}}));
  store.set_faults({.slowdown_factor = factor}, kStart);
  store.put(tier, "a", std::string(200, 'a'), kStart);
  store.put(tier, "b", std::string(200, 'b'), kStart);
  CHECK(store.next_event() == kStart + Duration{first_ms});
  CHECK(store.status(tier, kStart + Duration{first_ms / 2})->queued_bytes == 300);
  const auto results = run_to(store, 60_s);
  REQUIRE(results.size() == 2);
  CHECK(results[0].at == kStart + Duration{first_ms});
  CHECK(results[1].at == kStart + Duration{2 * first_ms});
  CHECK(store.status(tier, kStart + 60_s)->queued_bytes == 0);
  CHECK_FALSE(store.next_event().has_value());
}

// Guards against transfers of the slow disk tier that delay those of the memory tier.
TEST_CASE("the tiers' links do not delay each other", "[standins]") {
  StoreModel store = make_store();
  store.put(StoreTier::kDisk, "a", std::string(200, 'a'), kStart);
  store.put(StoreTier::kMemory, "b", std::string(200, 'b'), kStart);
  CHECK(run_to(store, 200_ms).size() == 1);
}

// Guards against a value that can be read before it is complete.
TEST_CASE("a write is readable only when it is complete", "[standins]") {
  StoreModel store = make_store();
  store.put(StoreTier::kMemory, "k", std::string(200, 'a'), kStart);
  store.get(StoreTier::kMemory, "k", kStart + 100_ms);
  CHECK(store.take_results().at(0).status == StoreStatus::kMissing);
}

// Guards against queued writes that overfill a tier.
TEST_CASE("a full tier refuses writes, queued ones counted", "[standins]") {
  StoreModel store = make_store();
  store.put(StoreTier::kMemory, "a", std::string(600, 'a'), kStart);
  store.put(StoreTier::kMemory, "b", std::string(600, 'b'), kStart);
  CHECK(store.take_results().at(0).status == StoreStatus::kFull);
  store.put(StoreTier::kMemory, "c", std::string(400, 'c'), kStart);
  CHECK(run_to(store, 10_s).size() == 2);
  store.set_faults({.full = true}, kStart + 10_s);
  store.put(StoreTier::kDisk, "d", "d", kStart + 10_s);
  CHECK(store.take_results().at(0).status == StoreStatus::kFull);
  CHECK(store.counters().full == 2);
}

// Guards against calls that succeed or hang while the store is down.
TEST_CASE("a store that is down breaks all calls and keeps its values", "[standins]") {
  StoreModel store = make_store();
  store.put(StoreTier::kMemory, "k", "value", kStart);
  run_to(store, 1_s);
  store.put(StoreTier::kMemory, "in flight", std::string(200, 'x'), kStart + 1_s);
  store.set_faults({.down = true}, kStart + 1'100_ms);
  store.get(StoreTier::kMemory, "k", kStart + 1'100_ms);
  for (const StoreResult& result : run_to(store, 5_s)) {
    CHECK(result.status == StoreStatus::kBroken);
  }
  CHECK(store.counters().broken == 2);
  CHECK_FALSE(store.status(StoreTier::kMemory, kStart + 5_s).has_value());
  store.set_faults({}, kStart + 5_s);
  CHECK(store.status(StoreTier::kMemory, kStart + 5_s)->used == 5);
  store.get(StoreTier::kMemory, "k", kStart + 5_s);
  store.get(StoreTier::kMemory, "in flight", kStart + 5_s);
  CHECK(run_to(store, 6_s).size() == 2);
  CHECK(store.counters().misses == 1);
  store.put(StoreTier::kMemory, "rest", std::string(995, 'x'), kStart + 6_s);
  CHECK(run_to(store, 8_s).at(0).status == StoreStatus::kOk);
}

// Guards against a tier that fills up when values are overwritten.
TEST_CASE("a write replaces the earlier value", "[standins]") {
  StoreModel store = make_store();
  store.put(StoreTier::kMemory, "k", std::string(400, 'a'), kStart);
  store.put(StoreTier::kMemory, "k", std::string(300, 'b'), kStart);
  run_to(store, 1_s);
  CHECK(store.status(StoreTier::kMemory, kStart + 1_s)->used == 300);
  store.get(StoreTier::kMemory, "k", kStart + 1_s);
  CHECK(run_to(store, 2_s).at(0).bytes == std::string(300, 'b'));
}

// Guards against tests of block frames in which the injected faults have no effect.
TEST_CASE("faulty reads and writes return other bytes", "[standins]") {
  StoreModel store = make_store();
  const std::string right(100, 'a');
  const auto [faults, expected] = GENERATE_COPY(table<StoreFaults, std::string>(
      {{StoreFaults{}, right},
       {StoreFaults{.partial_writes = true}, right.substr(0, 50)},
       {StoreFaults{.corrupt_reads = true}, right.substr(0, 50) + '`' + right.substr(51)},
       {StoreFaults{.wrong_block = true}, "other"}}));
  store.put(StoreTier::kMemory, "other", "other", kStart);
  run_to(store, 1_s);
  store.set_faults(faults, kStart + 1_s);
  store.put(StoreTier::kMemory, "k", right, kStart + 1_s);
  const auto written = run_to(store, 2_s);
  CHECK(written.at(0).status == (faults.partial_writes ? StoreStatus::kBroken : StoreStatus::kOk));
  store.get(StoreTier::kMemory, "k", kStart + 2_s);
  CHECK(run_to(store, 3_s).at(0).bytes == expected);
}

}  // namespace bluebellstep::standins
