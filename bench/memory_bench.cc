// Heap bytes of the tables that grow with the system, by number of entries.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "bench/heap_count.h"
#include "cache/block_index.h"
#include "fairness/fair_queue.h"
#include "metrics/metrics.h"
#include "orders/order_ledger.h"
#include "routing/upstream_table.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{1'733'000'000'000};
constexpr Instant kNow = kStart + Duration{3'600'000};

// Runs `fill`, which returns the filled table, and reports the heap bytes of the table.
template <typename Fill>
void report_heap(benchmark::State& state, const Fill& fill) {
  for (auto _ : state) {
    const HeapCount before = heap_count();
    const auto table = fill(state.range(0));
    benchmark::DoNotOptimize(&table);
    const HeapCount after = heap_count();
    state.counters["heap_bytes"] = static_cast<double>(after.live_bytes - before.live_bytes);
    state.counters["allocations"] = static_cast<double>(after.allocations - before.allocations);
  }
}

void memory_order_ledger(benchmark::State& state) {
  report_heap(state, [](std::int64_t count) {
    OrderLedger ledger({.max_claims = static_cast<std::size_t>(count)}, kStart);
    for (std::int64_t i = 0; i < count; ++i) {
      const std::string creation_time = std::to_string(kNow.ms - i % 3'000'000);
      ledger.claim(OrderKey::parse("parts", "a", creation_time + "-" + std::to_string(i)).value(),
                   1, kNow);
    }
    return ledger;
  });
}
BENCHMARK(memory_order_ledger)->Arg(50'000)->Arg(100'000)->Arg(200'000)->Arg(400'000);

void memory_block_index(benchmark::State& state) {
  report_heap(state, [](std::int64_t count) {
    BlockIndex index(static_cast<std::size_t>(count));
    Random random(1);
    for (std::int64_t i = 0; i < count; ++i) {
      index.add_to_engine({random.next(), random.next()});
    }
    return index;
  });
}
BENCHMARK(memory_block_index)->Arg(131'072)->Arg(262'144)->Arg(524'288)->Arg(1'048'576);

constexpr std::uint32_t kModels = 11;

void add_upstreams(UpstreamTable& table, std::int64_t count) {
  UpstreamHint hint;
  hint.limit = 32;
  hint.weight_versions = {{ModelId{0}, "v1"}};
  for (std::uint32_t i = 0; i < count; ++i) {
    const UpstreamId id =
        table.add("upstream-" + std::to_string(i), {i % 5}, {ModelId{i % kModels}});
    table.apply_hint(id, hint, {0});
  }
}

void memory_upstream_table(benchmark::State& state) {
  report_heap(state, [](std::int64_t count) {
    UpstreamTable table;
    add_upstreams(table, count);
    return table;
  });
}
BENCHMARK(memory_upstream_table)->Arg(100)->Arg(425)->Arg(850)->Arg(1700);

// Adds upstreams that the table already contains, as an entry instance does for each new bundle.
void add_upstreams_again(benchmark::State& state) {
  UpstreamTable table;
  add_upstreams(table, state.range(0));
  for (auto _ : state) {
    add_upstreams(table, state.range(0));
  }
}
BENCHMARK(add_upstreams_again)->Arg(100)->Arg(425)->Arg(850)->Arg(1700);

// Records into both histograms of two service classes for each account.
void memory_metrics(benchmark::State& state) {
  report_heap(state, [](std::int64_t accounts) {
    auto metrics = std::make_unique<Metrics>();
    for (std::int64_t i = 0; i < accounts; ++i) {
      const std::string account = "account-" + std::to_string(i);
      for (const char* service_class : {"interactive", "batch"}) {
        metrics->first_token(account, service_class, {100});
        metrics->request_done(account, service_class, {1000});
      }
    }
    return metrics;
  });
}
BENCHMARK(memory_metrics)->Arg(105)->Arg(210)->Arg(420)->Arg(840);

// Eight queued requests for each account.
void memory_fair_queue(benchmark::State& state) {
  report_heap(state, [](std::int64_t accounts) {
    FairQueue queue;
    for (std::int64_t i = 0; i < 8 * accounts; ++i) {
      queue.push({static_cast<std::uint32_t>(i % accounts)}, {static_cast<std::uint64_t>(i)},
                 {1000}, Priority::kNormal);
    }
    return queue;
  });
}
BENCHMARK(memory_fair_queue)->Arg(105)->Arg(210)->Arg(420)->Arg(840);

}  // namespace
}  // namespace bluebellstep
