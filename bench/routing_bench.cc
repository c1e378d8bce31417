// Benchmarks of route choice by number of upstreams. Target: under 5 microseconds at 850 upstreams
// and 840 accounts, growing more slowly than the number of upstreams.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "base/random.h"
#include "routing/route_chooser.h"

namespace bluebellstep {
namespace {

constexpr std::uint32_t kAccounts = 840;
constexpr std::uint32_t kPromptsPerAccount = 100;
constexpr std::uint32_t kLimit = 32;
constexpr ModelId kModel{0};

// A table of upstreams with random load, and the root keys of the prompts of all accounts.
struct RoutingFixture {
  RoutingFixture(std::uint32_t size, std::uint32_t mean_load) {
    Random random(1);
    for (std::uint32_t i = 0; i < size; ++i) {
      const UpstreamId id = table.add("upstream-" + std::to_string(i), {i % 5}, {kModel});
      UpstreamHint hint;
      hint.load = static_cast<std::uint32_t>(random.below(2 * mean_load + 1));
      hint.limit = kLimit;
      hint.weight_versions = {{kModel, "v1"}};
      table.apply_hint(id, hint, {0});
    }
    for (std::uint32_t i = 0; i < kAccounts * kPromptsPerAccount; ++i) {
      root_keys.push_back(random.next());
    }
  }

  UpstreamTable table;
  RouteChooser chooser{table, 2};
  std::vector<std::uint64_t> root_keys;
};

void run_choices(benchmark::State& state, bool with_root_key) {
  RoutingFixture fixture(static_cast<std::uint32_t>(state.range(0)), 20);
  std::size_t next_index = 0;
  for (auto _ : state) {
    RouteQuery query{.target = kModel, .root_key = std::nullopt, .weight_version = "v1"};
    if (with_root_key) {
      query.root_key = fixture.root_keys[next_index++ % fixture.root_keys.size()];
    }
    benchmark::DoNotOptimize(fixture.chooser.choose(query, {}, {100}));
  }
}

void choose_for_prompt(benchmark::State& state) {
  run_choices(state, true);
}
BENCHMARK(choose_for_prompt)->Arg(50)->Arg(200)->Arg(850)->Arg(1700);

void choose_by_load(benchmark::State& state) {
  run_choices(state, false);
}
BENCHMARK(choose_by_load)->Arg(50)->Arg(200)->Arg(850)->Arg(1700);

void apply_hint(benchmark::State& state) {
  RoutingFixture fixture(static_cast<std::uint32_t>(state.range(0)), 20);
  UpstreamHint hint;
  hint.load = 3;
  hint.limit = kLimit;
  std::uint32_t next_index = 0;
  for (auto _ : state) {
    fixture.table.apply_hint({next_index++ % static_cast<std::uint32_t>(state.range(0))}, hint,
                             {100});
  }
}
BENCHMARK(apply_hint)->Arg(50)->Arg(850)->Arg(1700);

}  // namespace
}  // namespace bluebellstep
