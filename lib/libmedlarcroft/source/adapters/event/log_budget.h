#ifndef MEDLARCROFT_ADAPTERS_EVENT_LOG_BUDGET_H_
#define MEDLARCROFT_ADAPTERS_EVENT_LOG_BUDGET_H_

#include <cstdint>
#include <utility>

#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Bounds the lines that clients can cause: a crowd would fill the log.
class LogBudget {
 public:
  /// @return whether a line may be logged now.
  [[nodiscard]] bool Take(MonotonicTime now) {
    if (now - window_began_ >= kWindow) {
      window_began_ = now;
      lines_ = 0;
    }
    if (lines_ >= kLinesPerWindow) {
      ++left_out_;
      return false;
    }
    ++lines_;
    return true;
  }
  /// @return lines left out since the last call.
  [[nodiscard]] std::uint64_t TakeLeftOut() {
    return std::exchange(left_out_, 0);
  }

 private:
  static constexpr Duration kWindow = std::chrono::seconds(1);
  static constexpr int kLinesPerWindow = 10;

  MonotonicTime window_began_{};
  int lines_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_LOG_BUDGET_H_
