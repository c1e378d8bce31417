// Benchmarks of the order ledger: time of a claim and memory per claim, by number of claims held.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "orders/order_ledger.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{1'733'000'000'000};
constexpr Instant kNow = kStart + Duration{3'600'000};

std::vector<OrderKey> make_keys(std::int64_t count) {
  std::vector<OrderKey> keys;
  keys.reserve(static_cast<std::size_t>(count));
  for (std::int64_t i = 0; i < count; ++i) {
    const std::string creation_time = std::to_string(kNow.ms - i % 3'000'000);
    keys.push_back(OrderKey::parse("parts", "a", creation_time + "-" + std::to_string(i)).value());
  }
  return keys;
}

// One iteration claims a new key and abandons the claim, so that the number of held claims is
// constant.
void claim_step(benchmark::State& state) {
  const std::vector<OrderKey> keys = make_keys(state.range(0));
  const std::vector<OrderKey> new_keys = make_keys(state.range(0) + 1024);
  OrderLedger ledger({.max_claims = keys.size() + 1}, kStart);
  for (const OrderKey& key : keys) {
    ledger.claim(key, 1, kNow);
  }
  std::size_t next = 0;
  for (auto _ : state) {
    const OrderKey& key = new_keys[keys.size() + next++ % 1024];
    const ClaimDecision decision = ledger.claim(key, 1, kNow);
    ledger.abandon_before_dispatch(std::get<ClaimAcquired>(decision).claim);
  }
  state.counters["bytes_per_claim"] =
      static_cast<double>(ledger.claim_memory_bytes()) / static_cast<double>(ledger.held_claims());
}
BENCHMARK(claim_step)->Arg(10'000)->Arg(100'000)->Arg(400'000);

// Claims keys that are already claimed.
void repeated_claim(benchmark::State& state) {
  const std::vector<OrderKey> keys = make_keys(state.range(0));
  OrderLedger ledger({.max_claims = keys.size()}, kStart);
  for (const OrderKey& key : keys) {
    ledger.claim(key, 1, kNow);
  }
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ledger.claim(keys[next], 1, kNow));
    next = (next + 7919) % keys.size();
  }
}
BENCHMARK(repeated_claim)->Arg(10'000)->Arg(100'000)->Arg(400'000);

void parse_key(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(OrderKey::parse("parts", "account", "1733000000123-order-17"));
  }
}
BENCHMARK(parse_key);

}  // namespace
}  // namespace bluebellstep
