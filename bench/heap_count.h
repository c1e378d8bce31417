// Heap use of the benchmark program, counted by replacements of the global `new` and `delete`.

#ifndef BLUEBELLSTEP_BENCH_HEAP_COUNT_H_
#define BLUEBELLSTEP_BENCH_HEAP_COUNT_H_

#include <cstddef>

namespace bluebellstep {

/** Heap use of this thread. Memory that C libraries allocate with `malloc` is not counted. */
struct HeapCount {
  /** Bytes currently allocated, as rounded up by the allocator. */
  std::size_t live_bytes = 0;
  /** Maximum of `live_bytes` since `reset_heap_peak`. */
  std::size_t peak_bytes = 0;
  /** Number of allocations since the thread started. */
  std::size_t allocations = 0;
};

/** Returns the counts of this thread. */
HeapCount heap_count();

/** Sets `peak_bytes` of this thread to `live_bytes`. */
void reset_heap_peak();

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BENCH_HEAP_COUNT_H_
