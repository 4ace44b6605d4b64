#include "medlarcroft/request_path/event_window.h"

namespace medlarcroft::request_path {

void EventWindow::Add(MonotonicTime now) {
  const std::int64_t number = SliceOf(now);
  Slice& slice = slices_[static_cast<std::size_t>(number) % kStoredSlices];
  if (slice.number != number) {
    slice = {.number = number, .count = 0};
  }
  ++slice.count;
}

std::uint32_t EventWindow::Count(MonotonicTime now) const {
  const std::int64_t newest = SliceOf(now);
  std::uint32_t count = 0;
  for (const Slice& slice : slices_) {
    if (slice.number > newest - static_cast<std::int64_t>(kStoredSlices)) {
      count += slice.count;
    }
  }
  return count;
}

}  // namespace medlarcroft::request_path
