#include "adapters/process/memory_return.h"

#include <malloc.h>

namespace medlarcroft::adapters {

namespace {

// The C library's own start value; stated, it stays, and is not raised by
// large buffers that are freed.
constexpr int kMappedBytes = 128 * 1024;

}  // namespace

void ReturnLargeBuffersToSystem() {
  (void)mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  (void)mallopt(M_TRIM_THRESHOLD, kMappedBytes);
}

void ReturnFreeMemoryToSystem() {
  (void)malloc_trim(0);
}

}  // namespace medlarcroft::adapters
