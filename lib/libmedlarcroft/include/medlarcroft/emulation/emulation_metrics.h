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

/// @brief How one caller's request ended, including the caller's retries.
struct CallerOutcome {
  const EmulatedRequestClass* request_class = nullptr;
  std::string region;   ///< Of the caller.
  Duration arrived{0};  ///< After the start of the run.
  Duration took{0};     ///< Until the final response.
  bool is_served = false;
  bool is_refused = false;  ///< Not served and known not to have run.
};

/// @brief Credit earned, and the most that could have been earned.
struct Credit {
  double earned = 0;
  double possible = 0;

  [[nodiscard]] double Share() const {
    return possible > 0 ? earned / possible : 1.0;
  }
};

/// @brief Weights of the components of `EmulationMetrics::Score`.
struct ScoreWeights {
  double overall = 0.336;
  double worst_region = 0.3;
  double worst_windows = 0.14;
  double served = 0.14;
  double worst_class = 0.084;
};

/// @brief Service quality and cost of one run.
class EmulationMetrics {
 public:
  explicit EmulationMetrics(Duration window) : window_(window) {}

  void OnOutcome(const CallerOutcome& outcome);
  /// @brief Records a first attempt from callers of `from` to targets in `to`.
  void OnPlacement(const std::string& from, const std::string& to, Duration at);
  void OnExtraAttempt() { ++extra_attempts_; }
  void OnRuns(std::uint64_t runs, std::uint64_t warm) {
    runs_ += runs;
    warm_runs_ += warm;
  }

  void OnCrash() { ++crashes_; }
  /// @param use requests that a rate-limited target received within a window,
  /// as a fraction of those tolerated.
  void OnLimitUse(double use) {
    largest_limit_use_ = std::max(largest_limit_use_, use);
  }

  /// @param use requests that a cold target received within a second, as a
  /// fraction of those that it bears.
  void OnColdUse(double use) {
    largest_cold_use_ = std::max(largest_cold_use_, use);
  }
  /// @param use repeats that a service received within a window, as a fraction
  /// of those allowed.
  void OnRepeatUse(double use) {
    largest_repeat_use_ = std::max(largest_repeat_use_, use);
  }
  /// @brief Records how a request ended at a host that was cut off from the
  /// targets when it arrived, at the first try of its caller.
  void OnCutOffOutcome(bool is_served) {
    ++cut_off_requests_;
    cut_off_served_ += is_served ? 1 : 0;
  }
  /// @return the share of them that was served; 1 without any.
  [[nodiscard]] double CutOffServedShare() const;
  [[nodiscard]] std::uint64_t CutOffRequests() const {
    return cut_off_requests_;
  }
  [[nodiscard]] double LargestColdUse() const { return largest_cold_use_; }
  [[nodiscard]] double LargestRepeatUse() const { return largest_repeat_use_; }

  /// @param requests that a target got from a host in a rest that it had asked
  /// that host for.
  void OnRequestInRest(std::uint32_t requests) {
    most_requests_in_rest_ = std::max(most_requests_in_rest_, requests);
  }
  void OnRequestAfterLeaving() { ++requests_after_leaving_; }
  [[nodiscard]] std::uint32_t MostRequestsInRest() const {
    return most_requests_in_rest_;
  }
  /// @return requests that a target got from a host which it had told long
  /// before that it leaves.
  [[nodiscard]] std::uint64_t RequestsAfterLeaving() const {
    return requests_after_leaving_;
  }
  /// @return number of target crashes.
  [[nodiscard]] std::uint64_t Crashes() const { return crashes_; }
  /// @return the highest fraction of its tolerated requests that a rate-limited
  /// target received within a window.
  [[nodiscard]] double LargestLimitUse() const { return largest_limit_use_; }
  [[nodiscard]] std::uint64_t Requests() const { return requests_; }
  /// @return credit share of the whole run.
  [[nodiscard]] double OverallCredit() const { return overall_.Share(); }
  [[nodiscard]] double WorstRegion() const;
  [[nodiscard]] double WorstClass() const;
  /// @return the mean credit share of the two worst windows.
  [[nodiscard]] double WorstWindows() const;
  /// @return the credit share of each window, in order of time.
  [[nodiscard]] std::vector<double> ByWindow() const;
  [[nodiscard]] double ServedShare() const;
  [[nodiscard]] double RefusedShare() const;
  [[nodiscard]] double WarmShare() const;
  /// @return share of the first attempts that left the caller's region.
  [[nodiscard]] double CrossRegionShare() const;
  /// @return the largest fraction of one region's requests that moved to
  /// another region between consecutive windows. Windows with fewer than 50
  /// requests are ignored.
  [[nodiscard]] double LargestShift() const;
  [[nodiscard]] double ExtraAttemptShare() const;
  /// @return that quantile of the latency of served requests.
  [[nodiscard]] Duration Quantile(double fraction) const;
  /// @return the weighted sum of all components.
  [[nodiscard]] double Score(const ScoreWeights& weights = {}) const;

 private:
  using RegionCounts = std::map<std::string, std::uint64_t>;

  Duration window_;
  std::uint64_t requests_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t extra_attempts_ = 0;
  std::uint64_t crashes_ = 0;
  double largest_limit_use_ = 0;
  double largest_cold_use_ = 0;
  double largest_repeat_use_ = 0;
  std::uint64_t cut_off_requests_ = 0;
  std::uint64_t cut_off_served_ = 0;
  std::uint32_t most_requests_in_rest_ = 0;
  std::uint64_t requests_after_leaving_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t warm_runs_ = 0;
  Credit overall_;
  std::map<std::string, Credit> by_region_;
  std::map<std::string, Credit> by_class_;
  std::map<std::int64_t, Credit> by_window_;
  // Number of first attempts by caller region, window and target region.
  std::map<std::string, std::map<std::int64_t, RegionCounts>> placements_;
  std::vector<Duration> served_times_;
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATION_METRICS_H_
