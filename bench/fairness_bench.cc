// Benchmarks of the fair queue by number of backlogged accounts. Target: a step under 1
// microsecond.

#include <benchmark/benchmark.h>

#include <vector>

#include "base/random.h"
#include "fairness/fair_queue.h"
#include "fairness/share_corrector.h"

namespace bluebellstep {
namespace {

// One iteration is one push and one pop, with every account backlogged.
void push_and_pop(benchmark::State& state) {
  const auto accounts = static_cast<std::uint64_t>(state.range(0));
  FairQueue queue;
  Random random(1);
  std::uint64_t next = 0;
  const auto push = [&](std::uint64_t account) {
    ++next;
    queue.push({static_cast<std::uint32_t>(account)}, {next},
               {static_cast<std::int64_t>(100 + random.below(9000))},
               static_cast<Priority>(next % 3));
  };
  for (std::uint64_t i = 0; i < accounts * 8; ++i) {
    push(i % accounts);
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(queue.pop());
    push(random.below(accounts));
  }
  state.SetItemsProcessed(2 * state.iterations());
}
BENCHMARK(push_and_pop)->Arg(10)->Arg(100)->Arg(840);

void correct_cost(benchmark::State& state) {
  const auto accounts = static_cast<std::uint64_t>(state.range(0));
  FairQueue queue;
  Random random(1);
  for (std::uint64_t i = 0; i < accounts; ++i) {
    queue.push({static_cast<std::uint32_t>(i)}, {i}, {1000}, Priority::kNormal);
  }
  for (auto _ : state) {
    queue.correct_charge({static_cast<std::uint32_t>(random.below(accounts))},
                         {static_cast<std::int64_t>(random.below(2000)) - 1000});
  }
}
BENCHMARK(correct_cost)->Arg(10)->Arg(100)->Arg(840);

void observe_shares(benchmark::State& state) {
  ShareCorrector corrector;
  std::vector<AccountService> services;
  for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(state.range(0)); ++i) {
    services.push_back({{i}, {1000 + i}, i % 2 == 0});
  }
  Instant now{0};
  for (auto _ : state) {
    now = now + 500_ms;
    corrector.observe(services, now);
  }
}
BENCHMARK(observe_shares)->Arg(10)->Arg(100)->Arg(840);

}  // namespace
}  // namespace bluebellstep
