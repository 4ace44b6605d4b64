#ifndef MEDLARCROFT_REQUEST_PATH_ENDED_TARGETS_H_
#define MEDLARCROFT_REQUEST_PATH_ENDED_TARGETS_H_

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::request_path {

/// @brief Target processes that ended lately, whatever they ran.
class EndedTargets {
 public:
  /// How long an end is kept. Reports of it are repeated for less than that.
  static constexpr Duration kLifetime = std::chrono::seconds(8);

  /// @brief Records a sign that the target ended at `ended_at`.
  /// @return when it ended by the first sign.
  MonotonicTime Add(TargetNumber target, MonotonicTime ended_at);

  /// @return how many targets ended within `distance` of `time`.
  [[nodiscard]] std::size_t CountAround(MonotonicTime time,
                                        Duration distance) const;
  [[nodiscard]] bool Contains(TargetNumber target) const {
    return ended_at_.contains(target);
  }
  /// @brief Drops ends that are older than `kLifetime`.
  void Advance(MonotonicTime now);

 private:
  struct End {
    TargetNumber target{};
    MonotonicTime at;
  };

  void DropOldest();

  std::deque<End> ends_;  ///< Latest last.
  std::unordered_map<TargetNumber, MonotonicTime> ended_at_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_ENDED_TARGETS_H_
