#ifndef MEDLARCROFT_RETRIES_EVENT_WINDOW_H_
#define MEDLARCROFT_RETRIES_EVENT_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::retries {

/// @brief Counts the events in a sliding window that is divided into ten slices
/// of equal length. The oldest slice counts in full while any part of it is
/// inside the window, so the count covers at most a tenth of the window too
/// much.
class EventWindow {
 public:
  explicit EventWindow(Duration length) : slice_length_(length / kSlices) {}
  /// @return a window that never covers more than `length`.
  [[nodiscard]] static EventWindow OfAtMost(Duration length) {
    return EventWindow(length * kSlices / kStoredSlices);
  }

  void Add(MonotonicTime now, std::uint32_t count = 1);
  /// @brief Removes the oldest event of the window.
  /// @return whether there was one.
  [[nodiscard]] bool TakeOldest(MonotonicTime now);
  [[nodiscard]] std::uint32_t Count(MonotonicTime now) const;

 private:
  static constexpr std::int64_t kSlices = 10;
  // One more than the window's length: the oldest slice is partly inside it.
  static constexpr std::int64_t kStoredSlices = kSlices + 1;

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t count = 0;
  };

  [[nodiscard]] std::int64_t SliceOf(MonotonicTime time) const {
    return time.time_since_epoch() / slice_length_;
  }
  [[nodiscard]] Slice& At(std::int64_t number) {
    return slices_.at(static_cast<std::size_t>(number % kStoredSlices));
  }

  Duration slice_length_;
  std::array<Slice, kStoredSlices> slices_{};
};

}  // namespace medlarcroft::retries

#endif  // MEDLARCROFT_RETRIES_EVENT_WINDOW_H_
