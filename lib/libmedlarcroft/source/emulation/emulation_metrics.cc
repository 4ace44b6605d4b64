#include "medlarcroft/emulation/emulation_metrics.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::emulation {

namespace {

// By chance alone the shares of fewer requests differ by more than a plan does.
constexpr std::uint64_t kEnoughForShares = 50;

void Add(Credit& credit, double earned, double owed) {
  credit.earned += earned;
  credit.owed += owed;
}

template <typename Key>
double Least(const std::map<Key, Credit>& credits) {
  double least = 1.0;
  for (const auto& [key, credit] : credits) {
    least = std::min(least, credit.Share());
  }
  return least;
}

double Part(std::uint64_t some, std::uint64_t all) {
  return all == 0 ? 0.0 : static_cast<double>(some) / static_cast<double>(all);
}

std::uint64_t Sum(const std::map<std::string, std::uint64_t>& counts) {
  std::uint64_t sum = 0;
  for (const auto& [region, count] : counts) {
    sum += count;
  }
  return sum;
}

double Moved(const std::map<std::string, std::uint64_t>& before,
             const std::map<std::string, std::uint64_t>& after) {
  const std::uint64_t all_before = Sum(before);
  const std::uint64_t all_after = Sum(after);
  if (all_before < kEnoughForShares || all_after < kEnoughForShares) {
    return 0.0;
  }
  double moved = 0;
  for (const auto& [region, count] : after) {
    const auto found = before.find(region);
    const double had =
        found == before.end() ? 0.0 : Part(found->second, all_before);
    moved += std::max(0.0, Part(count, all_after) - had);
  }
  return moved;
}

}  // namespace

void EmulationFigures::OnOutcome(const CallerOutcome& outcome) {
  const EmulatedKind& kind = *outcome.kind;
  double earned = 0;
  if (outcome.is_served) {
    earned = outcome.took <= kind.objective ? kind.worth : kind.worth_late;
    served_times_.push_back(outcome.took);
    ++served_;
  }
  refused_ += outcome.is_refused ? 1 : 0;
  ++requests_;
  Add(whole_, earned, kind.worth);
  Add(by_region_[outcome.region], earned, kind.worth);
  Add(by_kind_[kind.name], earned, kind.worth);
  Add(by_window_[outcome.arrived / window_], earned, kind.worth);
}

void EmulationFigures::OnPlaced(const std::string& from,
                                const std::string& to,
                                Duration at) {
  ++placed_[from][at / window_][to];
}

double EmulationFigures::WorstRegion() const {
  return Least(by_region_);
}

double EmulationFigures::WorstKind() const {
  return Least(by_kind_);
}

double EmulationFigures::WorstWindows() const {
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

std::vector<double> EmulationFigures::ByWindow() const {
  std::vector<double> shares;
  for (const auto& [window, credit] : by_window_) {
    shares.push_back(credit.Share());
  }
  return shares;
}

double EmulationFigures::ServedShare() const {
  return Part(served_, requests_);
}

double EmulationFigures::RefusedShare() const {
  return Part(refused_, requests_);
}

double EmulationFigures::WarmShare() const {
  return Part(warm_runs_, runs_);
}

double EmulationFigures::AwayShare() const {
  std::uint64_t away = 0;
  std::uint64_t all = 0;
  for (const auto& [from, windows] : placed_) {
    for (const auto& [window, counts] : windows) {
      all += Sum(counts);
      const auto own = counts.find(from);
      away += Sum(counts) - (own == counts.end() ? 0 : own->second);
    }
  }
  return Part(away, all);
}

double EmulationFigures::LargestShift() const {
  double largest = 0;
  for (const auto& [from, windows] : placed_) {
    for (const auto& [window, counts] : windows) {
      const auto next = windows.find(window + 1);
      if (next != windows.end()) {
        largest = std::max(largest, Moved(counts, next->second));
      }
    }
  }
  return largest;
}

double EmulationFigures::FurtherSendShare() const {
  return Part(further_sends_, requests_);
}

Duration EmulationFigures::Quantile(double part) const {
  if (served_times_.empty()) {
    return Duration(0);
  }
  std::vector<Duration> times = served_times_;
  const auto last = static_cast<double>(times.size() - 1);
  const auto place = static_cast<std::ptrdiff_t>(std::floor(part * last));
  std::ranges::nth_element(times, times.begin() + place);
  return times[static_cast<std::size_t>(place)];
}

double EmulationFigures::Worth(const WorthWeights& weights) const {
  return weights.whole * Whole() + weights.worst_region * WorstRegion() +
         weights.worst_windows * WorstWindows() +
         weights.served * ServedShare() + weights.worst_kind * WorstKind();
}

}  // namespace medlarcroft::emulation
