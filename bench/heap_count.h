// Counts of the heap use of the benchmark binary, from replaced global `new` and `delete`.

#ifndef BLUEBELLSTEP_BENCH_HEAP_COUNT_H_
#define BLUEBELLSTEP_BENCH_HEAP_COUNT_H_

#include <cstddef>

namespace bluebellstep {

/** Heap use of this thread. Memory that C libraries take with `malloc` is not counted. */
struct HeapCount {
  /** Bytes held now, as the allocator rounds them up. */
  std::size_t live_bytes = 0;
  /** Greatest `live_bytes` since `reset_heap_peak`. */
  std::size_t peak_bytes = 0;
  /** Allocations since the thread began. */
  std::size_t allocations = 0;
};

/** Returns the counts of this thread. */
HeapCount heap_count();

/** Sets the peak to the bytes held now. */
void reset_heap_peak();

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BENCH_HEAP_COUNT_H_
