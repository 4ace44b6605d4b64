#include "scenarios/figures.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace medlarcroft::scenarios {
namespace {

std::int64_t Microseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

}  // namespace

double ServiceFigures::GoodputRatio() const {
  const double possible = std::min(capacity, static_cast<double>(arrived));
  return possible == 0 ? 1.0 : static_cast<double>(InTime()) / possible;
}

double ServiceFigures::LateShare() const {
  return answered == 0
             ? 0.0
             : static_cast<double>(late) / static_cast<double>(answered);
}

std::uint64_t ServiceFigures::PeakReturns() const {
  std::uint64_t peak = 0;
  for (const auto& [tenth, count] : returns_by_tenth) {
    peak = std::max(peak, count);
  }
  return peak;
}

Duration ServiceFigures::Quantile(double part) const {
  if (latencies.empty())
    return Duration(0);
  std::vector<Duration> sorted = latencies;
  const auto place =
      static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return sorted[place];
}

std::string NameOf(decision::RefusalReason reason) {
  // In the order of RefusalReason.
  static constexpr std::array kNames{
      "unknown-service",    "no-target",         "no-share",
      "deadline-short",     "queue-too-long",    "headroom-reserved",
      "waited-too-long",    "retry-not-allowed", "retry-budget-spent",
      "attempts-exhausted", "targets-resting"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::vector<std::string> ToLines(const std::string& run,
                                 const RunFigures& figures) {
  std::vector<std::string> lines;
  for (const ServiceFigures& service : figures.services) {
    std::ostringstream line;
    line << std::fixed << std::setprecision(4);
    line << run << ' ' << service.service << " arrived=" << service.arrived
         << " in_time=" << service.InTime() << " late=" << service.late
         << " goodput=" << service.GoodputRatio()
         << " p50_us=" << Microseconds(service.Quantile(0.5))
         << " p99_us=" << Microseconds(service.Quantile(0.99))
         << " errors=" << service.errors << " unknown=" << service.unknown
         << " hedges=" << service.hedges << " retries=" << service.retries;
    if (service.returns > 0) {
      line << " returns=" << service.returns
           << " refused_again=" << service.refused_again
           << " peak_returns=" << service.PeakReturns();
    }
    if (figures.last_new_work > Duration(0)) {
      line << " last_new_work_us=" << Microseconds(figures.last_new_work);
    }
    for (const auto& [reason, count] : service.refused) {
      line << ' ' << NameOf(reason) << '=' << count;
    }
    for (const auto& [brand, count] : service.in_time_by_brand) {
      line << ' ' << brand << '=' << count << '/'
           << service.arrived_by_brand.at(brand);
    }
    lines.push_back(line.str());
  }
  return lines;
}

}  // namespace medlarcroft::scenarios
