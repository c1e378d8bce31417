// Benchmarks of stream events by bytes of text per token: events that an entry instance writes to
// callers, and engine events that a sidecar parses.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "bench/heap_count.h"
#include "entry/caller_api.h"
#include "sidecar/engine_protocol.h"

namespace bluebellstep {
namespace {

void write_answer_event(benchmark::State& state) {
  const CompletionWriter writer("cmpl-1f00000000000001", "model-1", 1'733'000'000);
  const std::string text(static_cast<std::size_t>(state.range(0)), 'a');
  std::string out;
  const HeapCount before = heap_count();
  for (auto _ : state) {
    out.clear();
    writer.append_event(out, text);
    benchmark::DoNotOptimize(out.data());
  }
  state.SetItemsProcessed(state.iterations());
  state.counters["event_bytes"] = static_cast<double>(out.size());
  state.counters["allocations"] =
      static_cast<double>(heap_count().allocations - before.allocations) /
      static_cast<double>(state.iterations());
}
BENCHMARK(write_answer_event)->Arg(4)->Arg(16)->Arg(64);

void read_engine_event(benchmark::State& state) {
  const std::string data = R"({"index":117,"text":")" +
                           std::string(static_cast<std::size_t>(state.range(0)), 'a') + R"("})";
  const HeapCount before = heap_count();
  for (auto _ : state) {
    benchmark::DoNotOptimize(parse_engine_event(data));
  }
  state.SetItemsProcessed(state.iterations());
  state.counters["allocations"] =
      static_cast<double>(heap_count().allocations - before.allocations) /
      static_cast<double>(state.iterations());
}
BENCHMARK(read_engine_event)->Arg(4)->Arg(16)->Arg(64);

}  // namespace
}  // namespace bluebellstep
