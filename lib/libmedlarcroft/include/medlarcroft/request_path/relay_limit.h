#ifndef MEDLARCROFT_REQUEST_PATH_RELAY_LIMIT_H_
#define MEDLARCROFT_REQUEST_PATH_RELAY_LIMIT_H_

#include <cstddef>

#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief Limits what a host sends for hosts that are cut off from the targets.
///
/// When most hosts of a region are cut off, the others receive several times
/// their own load. Beyond what a host can bear, its own callers would be served
/// late and it would run out of memory; the hosts that are cut off can ask
/// another host, since a refusal comes at once.
class RelayLimit {
 public:
  /// @param max_in_flight relays at once, from what memory allows.
  explicit RelayLimit(std::size_t max_in_flight)
      : max_in_flight_(max_in_flight) {}

  /// @brief Starts to observe this host.
  void Start(MonotonicTime now) { last_tick_at_ = now; }
  /// @brief Must be called each `kTickPeriod` after `Start`; the delay shows
  /// whether this host keeps up with its work.
  void OnTick(MonotonicTime now) {
    if (now - last_tick_at_ > kTickPeriod + kMaxDelay) {
      late_until_ = now + kRecoveryTime;
    }
    last_tick_at_ = now;
  }
  [[nodiscard]] bool Admits(std::size_t in_flight, MonotonicTime now) const {
    return in_flight < max_in_flight_ && now >= late_until_;
  }

  static constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

 private:
  /// A host that keeps up runs its timers within a few milliseconds.
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(60);
  static constexpr Duration kRecoveryTime = std::chrono::milliseconds(300);

  std::size_t max_in_flight_;
  MonotonicTime last_tick_at_{};
  MonotonicTime late_until_{};
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_RELAY_LIMIT_H_
