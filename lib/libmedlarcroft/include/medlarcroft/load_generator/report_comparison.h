#ifndef MEDLARCROFT_LOAD_GENERATOR_REPORT_COMPARISON_H_
#define MEDLARCROFT_LOAD_GENERATOR_REPORT_COMPARISON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "medlarcroft/load_generator/load_report.h"

namespace medlarcroft::load_generator {

/// @brief Thresholds beyond which a run counts as worse than an earlier one.
struct ComparisonLimits {
  /// Ratio of the compared quantile; histogram buckets are 4.7% wide.
  double max_latency_ratio = 1.25;
  /// A smaller increase of the quantile, in milliseconds, is never worse, as it
  /// may be scheduling noise.
  double min_latency_increase_ms = 2.0;
  /// Number of requests that must lie above the compared quantile in both runs,
  /// as otherwise one or two requests decide its value. With 10, p99 is
  /// compared from 1000 requests on, p90 from 100 on, and p50 below that.
  std::uint64_t min_requests_above = 10;
  /// Increase of the fraction of refused or of failed requests.
  double max_share_increase = 0.01;
};

/// @brief One service in both runs.
struct ClassComparison {
  std::string service;
  LatencySummary before;
  LatencySummary after;
  double refused_before = 0;  ///< Fractions of the intended requests.
  double refused_after = 0;
  double failed_before = 0;
  double failed_after = 0;
  std::string quantile;  ///< The compared quantile, for example "p99".
  bool is_worse = false;
};

/// @return one row for each service that both runs have, in the order of
/// `after`.
[[nodiscard]] std::vector<ClassComparison> CompareReports(
    const LoadReport& before,
    const LoadReport& after,
    const ComparisonLimits& limits = {});

/// @return the comparison as plain text.
[[nodiscard]] std::string FormatComparison(
    const std::vector<ClassComparison>& comparison);

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_REPORT_COMPARISON_H_
