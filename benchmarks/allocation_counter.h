#ifndef MEDLARCROFT_BENCHMARKS_ALLOCATION_COUNTER_H_
#define MEDLARCROFT_BENCHMARKS_ALLOCATION_COUNTER_H_

#include <malloc.h>

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace medlarcroft::benchmarks {

// Counts every allocation of a program that includes this header. Peak usage is
// counted too, as the peak of a reload must fit into the memory of a node, not
// only what remains allocated afterwards.
inline std::atomic<std::size_t> live_bytes = 0;
inline std::atomic<std::size_t> peak_bytes = 0;

}  // namespace medlarcroft::benchmarks

// Not inlined, otherwise the compiler warns that malloc and delete mismatch.
[[gnu::noinline]] void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }

  const std::size_t live = medlarcroft::benchmarks::live_bytes.fetch_add(
                               malloc_usable_size(memory)) +
                           malloc_usable_size(memory);
  std::size_t peak = medlarcroft::benchmarks::peak_bytes.load();
  while (
      live > peak &&
      !medlarcroft::benchmarks::peak_bytes.compare_exchange_weak(peak, live)) {
  }
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  medlarcroft::benchmarks::live_bytes.fetch_sub(malloc_usable_size(memory));
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  operator delete(memory);
}

#endif  // MEDLARCROFT_BENCHMARKS_ALLOCATION_COUNTER_H_
