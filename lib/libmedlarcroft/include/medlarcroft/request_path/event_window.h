#ifndef MEDLARCROFT_REQUEST_PATH_EVENT_WINDOW_H_
#define MEDLARCROFT_REQUEST_PATH_EVENT_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief Counts the events in a sliding window that is divided into ten slices
/// of equal length. The oldest slice counts in full while any part of it is
/// inside the window, so the count covers at most a tenth of the window too
/// much.
class EventWindow {
 public:
  explicit EventWindow(Duration length) : slice_length_(length / kSlices) {}

  void Add(MonotonicTime now);
  [[nodiscard]] std::uint32_t Count(MonotonicTime now) const;

 private:
  static constexpr std::size_t kSlices = 10;
  // One more than the window's length: the oldest slice is partly inside it.
  static constexpr std::size_t kStoredSlices = kSlices + 1;

  [[nodiscard]] std::int64_t SliceOf(MonotonicTime time) const {
    return time.time_since_epoch() / slice_length_;
  }

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t count = 0;
  };

  Duration slice_length_;
  std::array<Slice, kStoredSlices> slices_{};
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_EVENT_WINDOW_H_
