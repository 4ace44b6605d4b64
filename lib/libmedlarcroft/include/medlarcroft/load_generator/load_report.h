#ifndef MEDLARCROFT_LOAD_GENERATOR_LOAD_REPORT_H_
#define MEDLARCROFT_LOAD_GENERATOR_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/result.h"

namespace medlarcroft::load_generator {

/// @brief Latency quantiles, from the intended send time to the end of the
/// response.
struct LatencySummary {
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
};

/// @brief Number of requests by how they ended; these add up to `intended`.
struct EndCounts {
  std::uint64_t intended = 0;
  std::uint64_t ran = 0;      ///< Ended with a complete, matching response.
  std::uint64_t refused = 0;  ///< Ended with "not run".
  std::uint64_t failed = 0;   ///< Ended with "unknown" or an error.
  std::uint64_t unsent = 0;   ///< Not sent: no host, or too many in flight.
};

/// @brief Results of one service.
struct ClassReport {
  std::string service;
  EndCounts counts;
  std::uint64_t late = 0;  ///< Ran, but ended after the deadline.
  std::uint64_t retries = 0;
  LatencySummary latency;
  std::map<std::string, std::uint64_t> causes;  ///< Of failed attempts.
};

/// @brief Requests whose intended send time lies in one second of the run.
struct SecondReport {
  EndCounts counts;
  double p50_ms = 0;
  double p99_ms = 0;
  /// Fraction of the targets' slots that were free; unset: not sampled.
  std::optional<double> headroom;
};

/// @brief Results of the correctness checks. All fault counters must be 0.
struct CheckReport {
  std::uint64_t answers = 0;
  std::uint64_t truncated = 0;
  std::uint64_t crossed = 0;
  std::uint64_t missing_outcome = 0;
  bool is_audited = false;  ///< Compared with the targets' runs.
  bool is_audit_complete = false;
  std::uint64_t double_runs = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t no_run = 0;
  std::vector<std::string> examples;  ///< Some of the faulty requests.

  [[nodiscard]] std::uint64_t Faults() const {
    return truncated + crossed + missing_outcome + double_runs + false_not_run +
           no_run;
  }
};

/// @brief Overall result of the run; also the exit status of medlar-load.
enum class Verdict {
  kPass = 0,
  kFault = 1,       ///< A correctness check failed.
  kOverLimit = 4,   ///< More late or refused requests than allowed.
  kWorse = 5,       ///< Worse than the earlier run.
  kNoResponse = 6,  ///< No request ran.
};

[[nodiscard]] std::string_view NameOf(Verdict verdict);

/// @brief Report of one run.
struct LoadReport {
  std::string name;
  double duration_s = 0;
  std::vector<ClassReport> classes;
  std::vector<SecondReport> seconds;
  CheckReport checks;
  Verdict verdict = Verdict::kPass;
  std::vector<std::string> services_over_limit;
};

/// @brief Why a report file can't be parsed.
enum class ReportParseError { kNotJson, kMissingField };

[[nodiscard]] std::string FormatReportJson(const LoadReport& report);
[[nodiscard]] Result<LoadReport, ReportParseError> ParseReportJson(
    std::string_view json);

/// @return the report as plain text.
[[nodiscard]] std::string FormatReportText(const LoadReport& report);

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOAD_REPORT_H_
