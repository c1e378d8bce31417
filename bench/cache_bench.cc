// Benchmarks of the block index by size, with its memory per entry, of block frames, and of fetch
// plans.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "base/random.h"
#include "cache/block_frame.h"
#include "cache/block_index.h"
#include "cache/fetch_planner.h"

namespace bluebellstep {
namespace {

std::vector<BlockKey> random_keys(std::size_t count) {
  Random random(1);
  std::vector<BlockKey> keys(count);
  for (BlockKey& key : keys) {
    key = {random.next(), random.next()};
  }
  return keys;
}

void report_memory(benchmark::State& state, const BlockIndex& index) {
  state.counters["bytes_per_entry"] =
      static_cast<double>(index.memory_bytes()) / static_cast<double>(index.size());
}

void find_block(benchmark::State& state) {
  const auto keys = random_keys(static_cast<std::size_t>(state.range(0)));
  BlockIndex index(keys.size());
  for (const BlockKey key : keys) {
    index.add_to_engine(key);
  }
  Random random(2);
  for (auto _ : state) {
    benchmark::DoNotOptimize(index.find(keys[random.below(keys.size())]));
  }
  report_memory(state, index);
}
BENCHMARK(find_block)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

// Adds blocks to a full index, which evicts the least recently used block for each.
void add_block(benchmark::State& state) {
  const auto keys = random_keys(2 * static_cast<std::size_t>(state.range(0)));
  BlockIndex index(keys.size() / 2);
  std::size_t next_key = 0;
  for (; next_key < keys.size() / 2; ++next_key) {
    index.add_to_engine(keys[next_key]);
  }
  for (auto _ : state) {
    index.add_to_engine(keys[next_key++ % keys.size()]);
  }
  report_memory(state, index);
}
BENCHMARK(add_block)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void open_frame(benchmark::State& state) {
  const BlockKey key = cache_seed("a", "m", "1");
  const std::string frame =
      encode_block_frame(key, {1}, std::string(static_cast<std::size_t>(state.range(0)), 'x'));
  for (auto _ : state) {
    benchmark::DoNotOptimize(decode_block_frame(frame, {key, {1}}));
  }
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(open_frame)->Arg(64 << 10)->Arg(1 << 20);

void plan_fetch(benchmark::State& state) {
  const std::vector<BlockLocations> blocks(
      static_cast<std::size_t>(state.range(0)),
      BlockLocations{.in_memory = true, .in_disk = true, .bytes = 1 << 20});
  FetchQuery query;
  query.blocks = blocks;
  query.tokens = blocks.size() * FetchPlanner::kBlockTokens;
  query.prefill_tokens_per_s = 10'000;
  query.links = {LinkState{1e9, 0}, LinkState{2e8, 0}};
  query.deadline = {60'000};
  for (auto _ : state) {
    benchmark::DoNotOptimize(FetchPlanner().plan(query, {0}));
  }
}
BENCHMARK(plan_fetch)->Arg(8)->Arg(128);

}  // namespace
}  // namespace bluebellstep
