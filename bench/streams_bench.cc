// Benchmark of stream events: the cost of passing one event through buffer and assembler.

#include <benchmark/benchmark.h>

#include <cstdint>

#include "streams/stream_assembler.h"
#include "streams/stream_buffer.h"

namespace bluebellstep {
namespace {

// Each iteration appends, sends, assembles and acknowledges a batch of `range(0)` events.
void buffer_and_assembler(benchmark::State& state) {
  const StreamAttemptId attempt_id{{1}, 1};
  StreamBuffer buffer({});
  StreamAssembler assembler(attempt_id, 64 << 10);
  std::int64_t events = 0;
  for (auto _ : state) {
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      buffer.append({" token text", 1});
    }
    const EventRange range = buffer.take_unsent(1 << 20);
    for (std::uint64_t i = range.first_index; i < range.first_index + range.count; ++i) {
      assembler.push(attempt_id, i, buffer.event(i));
    }
    benchmark::DoNotOptimize(assembler.take_ready());
    buffer.acknowledge(assembler.next_index());
    events += state.range(0);
  }
  state.SetItemsProcessed(events);
}
BENCHMARK(buffer_and_assembler)->Arg(1)->Arg(16);

}  // namespace
}  // namespace bluebellstep
