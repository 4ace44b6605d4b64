#include "medlarcroft/emulation/emulation_metrics.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::emulation {

namespace {

// With fewer requests, random variation of the shares exceeds the changes that
// the region plan makes.
constexpr std::uint64_t kMinRequestsForShares = 50;

void Add(Credit& credit, double earned, double possible) {
  credit.earned += earned;
  credit.possible += possible;
}

template <typename Key>
double MinimumShare(const std::map<Key, Credit>& credits) {
  double minimum = 1.0;
  for (const auto& [key, credit] : credits) {
    minimum = std::min(minimum, credit.Share());
  }
  return minimum;
}

double Fraction(std::uint64_t part, std::uint64_t all) {
  return all == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(all);
}

std::uint64_t Sum(const std::map<std::string, std::uint64_t>& counts) {
  std::uint64_t sum = 0;
  for (const auto& [region, count] : counts) {
    sum += count;
  }
  return sum;
}

double MovedFraction(const std::map<std::string, std::uint64_t>& before,
                     const std::map<std::string, std::uint64_t>& after) {
  const std::uint64_t all_before = Sum(before);
  const std::uint64_t all_after = Sum(after);
  if (all_before < kMinRequestsForShares || all_after < kMinRequestsForShares) {
    return 0.0;
  }
  double moved = 0;
  for (const auto& [region, count] : after) {
    const auto found = before.find(region);
    const double previous =
        found == before.end() ? 0.0 : Fraction(found->second, all_before);
    moved += std::max(0.0, Fraction(count, all_after) - previous);
  }
  return moved;
}

}  // namespace

void EmulationMetrics::OnOutcome(const CallerOutcome& outcome) {
  const EmulatedRequestClass& request_class = *outcome.request_class;
  double earned = 0;
  if (outcome.is_served) {
    earned = outcome.took <= request_class.objective
                 ? request_class.credit
                 : request_class.late_credit;
    served_times_.push_back(outcome.took);
    ++served_;
  }
  refused_ += outcome.is_refused ? 1 : 0;
  ++requests_;
  Add(overall_, earned, request_class.credit);
  Add(by_region_[outcome.region], earned, request_class.credit);
  Add(by_class_[request_class.name], earned, request_class.credit);
  Add(by_window_[outcome.arrived / window_], earned, request_class.credit);
}

void EmulationMetrics::OnPlacement(const std::string& from,
                                   const std::string& to,
                                   Duration at) {
  ++placements_[from][at / window_][to];
}

double EmulationMetrics::WorstRegion() const {
  return MinimumShare(by_region_);
}

double EmulationMetrics::WorstClass() const {
  return MinimumShare(by_class_);
}

double EmulationMetrics::WorstWindows() const {
  if (by_window_.empty()) {
    return 1.0;
  }
  double worst = 1.0;
  double second = 1.0;
  for (const auto& [window, credit] : by_window_) {
    const double share = credit.Share();
    second = std::min(second, std::max(share, worst));
    worst = std::min(worst, share);
  }
  return (worst + second) / 2;
}

std::vector<double> EmulationMetrics::ByWindow() const {
  std::vector<double> shares;
  for (const auto& [window, credit] : by_window_) {
    shares.push_back(credit.Share());
  }
  return shares;
}

double EmulationMetrics::CutOffServedShare() const {
  return cut_off_requests_ == 0 ? 1.0
                                : static_cast<double>(cut_off_served_) /
                                      static_cast<double>(cut_off_requests_);
}

double EmulationMetrics::ServedShare() const {
  return Fraction(served_, requests_);
}

double EmulationMetrics::RefusedShare() const {
  return Fraction(refused_, requests_);
}

double EmulationMetrics::WarmShare() const {
  return Fraction(warm_runs_, runs_);
}

double EmulationMetrics::CrossRegionShare() const {
  std::uint64_t away = 0;
  std::uint64_t all = 0;
  for (const auto& [from, windows] : placements_) {
    for (const auto& [window, counts] : windows) {
      all += Sum(counts);
      const auto own = counts.find(from);
      away += Sum(counts) - (own == counts.end() ? 0 : own->second);
    }
  }
  return Fraction(away, all);
}

double EmulationMetrics::LargestShift() const {
  double largest = 0;
  for (const auto& [from, windows] : placements_) {
    for (const auto& [window, counts] : windows) {
      const auto next = windows.find(window + 1);
      if (next != windows.end()) {
        largest = std::max(largest, MovedFraction(counts, next->second));
      }
    }
  }
  return largest;
}

double EmulationMetrics::ExtraAttemptShare() const {
  return Fraction(extra_attempts_, requests_);
}

Duration EmulationMetrics::Quantile(double fraction) const {
  if (served_times_.empty()) {
    return Duration(0);
  }
  std::vector<Duration> times = served_times_;
  const auto last = static_cast<double>(times.size() - 1);
  const auto position =
      static_cast<std::ptrdiff_t>(std::floor(fraction * last));
  std::ranges::nth_element(times, times.begin() + position);
  return times[static_cast<std::size_t>(position)];
}

double EmulationMetrics::Score(const ScoreWeights& weights) const {
  return weights.overall * OverallCredit() +
         weights.worst_region * WorstRegion() +
         weights.worst_windows * WorstWindows() +
         weights.served * ServedShare() + weights.worst_class * WorstClass();
}

}  // namespace medlarcroft::emulation
