#ifndef MEDLARCROFT_EMULATION_EMULATION_METRICS_H_
#define MEDLARCROFT_EMULATION_EMULATION_METRICS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/emulation/emulated_deployment.h"

namespace medlarcroft::emulation {

/// @brief How one caller's request ended, its returns included.
struct CallerOutcome {
  const EmulatedKind* kind = nullptr;
  std::string region;   ///< Of the caller.
  Duration arrived{0};  ///< After the first arrivals.
  Duration took{0};     ///< Until the final answer.
  bool is_served = false;
  bool is_refused = false;  ///< Not served, and proved not run.
};

/// @brief Credit earned of what could be earned.
struct Credit {
  double earned = 0;
  double owed = 0;

  [[nodiscard]] double Share() const { return owed > 0 ? earned / owed : 1.0; }
};

/// @brief How much each part counts in `EmulationFigures::Worth`.
struct WorthWeights {
  double whole = 0.336;
  double worst_region = 0.3;
  double worst_windows = 0.14;
  double served = 0.14;
  double worst_kind = 0.084;
};

/// @brief What callers got from a run, and what it cost.
class EmulationFigures {
 public:
  explicit EmulationFigures(Duration window) : window_(window) {}

  void OnOutcome(const CallerOutcome& outcome);
  /// @brief A first send went from one region's callers to a region.
  void OnPlaced(const std::string& from, const std::string& to, Duration at);
  void OnFurtherSend() { ++further_sends_; }
  void OnRuns(std::uint64_t runs, std::uint64_t warm) {
    runs_ += runs;
    warm_runs_ += warm;
  }

  void OnCrash() { ++crashes_; }
  /// @param used requests that a rate-limited target received within a window,
  /// as a fraction of those tolerated.
  void OnLimitUse(double used) {
    largest_limit_use_ = std::max(largest_limit_use_, used);
  }

  /// @return number of target crashes.
  [[nodiscard]] std::uint64_t Crashes() const { return crashes_; }
  /// @return the highest fraction of its tolerated requests that a rate-limited
  /// target received within a window.
  [[nodiscard]] double LargestLimitUse() const { return largest_limit_use_; }
  [[nodiscard]] std::uint64_t Requests() const { return requests_; }
  /// @return credit of the whole run.
  [[nodiscard]] double Whole() const { return whole_.Share(); }
  [[nodiscard]] double WorstRegion() const;
  [[nodiscard]] double WorstKind() const;
  /// @return the mean of the two worst windows.
  [[nodiscard]] double WorstWindows() const;
  /// @return the credit of each window, from the first on.
  [[nodiscard]] std::vector<double> ByWindow() const;
  [[nodiscard]] double ServedShare() const;
  [[nodiscard]] double RefusedShare() const;
  [[nodiscard]] double WarmShare() const;
  /// @return first sends that left their region.
  [[nodiscard]] double AwayShare() const;
  /// @return the largest part of a region's requests that changed the region
  /// in which they run from one window to the next; windows of fewer than 50
  /// requests do not count.
  [[nodiscard]] double LargestShift() const;
  [[nodiscard]] double FurtherSendShare() const;
  /// @return the time within which that part of the served was answered.
  [[nodiscard]] Duration Quantile(double part) const;
  /// @return all parts together, as users weigh them.
  [[nodiscard]] double Worth(const WorthWeights& weights = {}) const;

 private:
  using RegionCounts = std::map<std::string, std::uint64_t>;

  Duration window_;
  std::uint64_t requests_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t further_sends_ = 0;
  std::uint64_t crashes_ = 0;
  double largest_limit_use_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t warm_runs_ = 0;
  Credit whole_;
  std::map<std::string, Credit> by_region_;
  std::map<std::string, Credit> by_kind_;
  std::map<std::int64_t, Credit> by_window_;
  // By caller's region and window: where first sends went.
  std::map<std::string, std::map<std::int64_t, RegionCounts>> placed_;
  std::vector<Duration> served_times_;
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATION_METRICS_H_
