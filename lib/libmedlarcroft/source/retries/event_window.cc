#include "medlarcroft/retries/event_window.h"

#include <algorithm>

namespace medlarcroft::retries {

void EventWindow::Add(MonotonicTime now, std::uint32_t count) {
  const std::int64_t number = SliceOf(now);
  Slice& slice = At(number);
  if (slice.number != number) {
    slice = {.number = number, .count = 0};
  }
  slice.count += count;
}

bool EventWindow::TakeOldest(MonotonicTime now) {
  const std::int64_t newest = SliceOf(now);
  const std::int64_t oldest =
      std::max<std::int64_t>(newest - kStoredSlices + 1, 0);
  for (std::int64_t number = oldest; number <= newest; ++number) {
    Slice& slice = At(number);
    if (slice.number == number && slice.count > 0) {
      --slice.count;
      return true;
    }
  }
  return false;
}

std::uint32_t EventWindow::Count(MonotonicTime now) const {
  const std::int64_t newest = SliceOf(now);
  std::uint32_t count = 0;
  for (const Slice& slice : slices_) {
    if (slice.number > newest - kStoredSlices) {
      count += slice.count;
    }
  }
  return count;
}

}  // namespace medlarcroft::retries
