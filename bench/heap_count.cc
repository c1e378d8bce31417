// Replaces the global allocation functions with counting ones.

#include "bench/heap_count.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace bluebellstep {
namespace {

thread_local HeapCount counts;

}  // namespace

HeapCount heap_count() {
  return counts;
}

void reset_heap_peak() {
  counts.peak_bytes = counts.live_bytes;
}

namespace {

void* counted_allocate(std::size_t size) {
  void* const memory = std::malloc(std::max<std::size_t>(size, 1));
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  counts.live_bytes += malloc_usable_size(memory);
  counts.peak_bytes = std::max(counts.peak_bytes, counts.live_bytes);
  ++counts.allocations;
  return memory;
}

void counted_free(void* memory) {
  if (memory != nullptr) {
    counts.live_bytes -= malloc_usable_size(memory);
    std::free(memory);
  }
}

}  // namespace
}  // namespace bluebellstep

void* operator new(std::size_t size) {
  return bluebellstep::counted_allocate(size);
}

void operator delete(void* memory) noexcept {
  bluebellstep::counted_free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  bluebellstep::counted_free(memory);
}
