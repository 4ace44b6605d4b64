#include "medlarcroft/load_generator/report_comparison.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace medlarcroft::load_generator {

namespace {

constexpr int kPercent = 100;

double ShareOf(std::uint64_t part, const EndCounts& counts) {
  return counts.intended == 0
             ? 0
             : static_cast<double>(part) / static_cast<double>(counts.intended);
}

/// @brief A quantile that can be compared.
struct ComparedQuantile {
  std::string_view name;
  double LatencySummary::*member;
  std::uint64_t one_in;  ///< One in this many requests is above it.
};

constexpr std::array kComparedQuantiles = {
    ComparedQuantile{"p99", &LatencySummary::p99_ms, 100},
    ComparedQuantile{"p90", &LatencySummary::p90_ms, 10},
    ComparedQuantile{"p50", &LatencySummary::p50_ms, 2},
};

const ComparedQuantile& ChooseQuantile(std::uint64_t ran,
                                       std::uint64_t min_requests_above) {
  for (const ComparedQuantile& quantile : kComparedQuantiles) {
    if (ran >= min_requests_above * quantile.one_in) {
      return quantile;
    }
  }
  return kComparedQuantiles.back();
}

ClassComparison CompareClass(const ClassReport& before,
                             const ClassReport& after,
                             const ComparisonLimits& limits) {
  ClassComparison result{
      .service = after.service,
      .before = before.latency,
      .after = after.latency,
      .refused_before = ShareOf(before.counts.refused, before.counts),
      .refused_after = ShareOf(after.counts.refused, after.counts),
      .failed_before = ShareOf(before.counts.failed, before.counts),
      .failed_after = ShareOf(after.counts.failed, after.counts)};
  const ComparedQuantile& quantile = ChooseQuantile(
      std::min(before.counts.ran, after.counts.ran), limits.min_requests_above);
  const double value_before = before.latency.*quantile.member;
  const double value_after = after.latency.*quantile.member;
  const bool is_slower =
      value_after - value_before > limits.min_latency_increase_ms &&
      value_after > value_before * limits.max_latency_ratio;
  result.quantile = quantile.name;
  result.is_worse =
      is_slower ||
      result.refused_after - result.refused_before >
          limits.max_share_increase ||
      result.failed_after - result.failed_before > limits.max_share_increase;
  return result;
}

}  // namespace

std::vector<ClassComparison> CompareReports(const LoadReport& before,
                                            const LoadReport& after,
                                            const ComparisonLimits& limits) {
  std::vector<ClassComparison> comparison;
  for (const ClassReport& row : after.classes) {
    const auto found =
        std::find_if(before.classes.begin(), before.classes.end(),
                     [&row](const ClassReport& other) {
                       return other.service == row.service;
                     });
    if (found != before.classes.end()) {
      comparison.push_back(CompareClass(*found, row, limits));
    }
  }
  return comparison;
}

std::string FormatComparison(const std::vector<ClassComparison>& comparison) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  for (const ClassComparison& row : comparison) {
    out << row.service << ": p50 " << row.before.p50_ms << " -> "
        << row.after.p50_ms << " ms, p99 " << row.before.p99_ms << " -> "
        << row.after.p99_ms << " ms, refused " << row.refused_before * kPercent
        << " -> " << row.refused_after * kPercent << "%, failed "
        << row.failed_before * kPercent << " -> " << row.failed_after * kPercent
        << "%; compared by " << row.quantile << (row.is_worse ? ": WORSE" : "")
        << "\n";
  }
  return out.str();
}

}  // namespace medlarcroft::load_generator
