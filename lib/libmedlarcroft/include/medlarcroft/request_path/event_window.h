#ifndef MEDLARCROFT_REQUEST_PATH_EVENT_WINDOW_H_
#define MEDLARCROFT_REQUEST_PATH_EVENT_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief Counts events of a sliding window in ten slices of equal length. A
/// slice that the window has left partly still counts whole, so the count errs
/// to the high side by a tenth of the window at most.
class EventWindow {
 public:
  explicit EventWindow(Duration length) : slice_length_(length / kSlices) {}

  void Add(MonotonicTime now);
  [[nodiscard]] std::uint32_t Count(MonotonicTime now) const;

 private:
  static constexpr std::size_t kSlices = 10;
  // One more than the window holds: the oldest has been left in part.
  static constexpr std::size_t kKept = kSlices + 1;

  [[nodiscard]] std::int64_t SliceOf(MonotonicTime time) const {
    return time.time_since_epoch() / slice_length_;
  }

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t count = 0;
  };

  Duration slice_length_;
  std::array<Slice, kKept> slices_{};
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_EVENT_WINDOW_H_
