#ifndef MEDLARCROFT_LOAD_GENERATOR_LOAD_STATISTICS_H_
#define MEDLARCROFT_LOAD_GENERATOR_LOAD_STATISTICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/load_generator/load_plan.h"
#include "medlarcroft/load_generator/load_report.h"
#include "medlarcroft/load_generator/outcome_auditor.h"
#include "medlarcroft/load_generator/response_check.h"
#include "medlarcroft/telemetry/latency_histogram.h"

namespace medlarcroft::load_generator {

/// @brief How a request ended for its caller.
enum class RequestEnd { kRan, kRefused, kFailed, kUnsent };

/// @brief A request that has ended.
struct EndedRequest {
  std::size_t class_index = 0;
  RequestEnd end = RequestEnd::kUnsent;
  Duration intended_at{0};  ///< From the start of the run.
  /// From the intended send time, so that delays in the load generator or the
  /// system count as they would for the caller.
  Duration latency{0};
  std::uint32_t attempts = 0;
};

/// @brief Runs reported by the targets.
struct RunAudit {
  std::vector<TargetRun> runs;
  bool is_complete = false;  ///< All targets responded and had dropped none.
};

/// @brief Collects the statistics of a run. Not thread-safe.
class LoadStatistics {
 public:
  /// @param plan must outlive the statistics.
  explicit LoadStatistics(const LoadPlan& plan);

  void RecordEnd(const EndedRequest& request);
  void RecordResponse(std::optional<ResponseFault> fault,
                      std::string_view path);
  void RecordCause(std::size_t class_index, const std::string& cause);
  /// @param headroom fraction of the targets' slots that are free.
  void RecordHeadroom(Duration at, double headroom);

  /// @return the counts of all classes so far.
  [[nodiscard]] EndCounts Totals() const;

  /// @param audit nullopt when the targets were not queried.
  [[nodiscard]] LoadReport MakeReport(
      std::string name,
      const OutcomeAuditor& auditor,
      const std::optional<RunAudit>& audit) const;

 private:
  struct ClassStatistics {
    EndCounts counts;
    std::uint64_t late = 0;
    std::uint64_t retries = 0;
    std::map<std::string, std::uint64_t> causes;
    std::unique_ptr<telemetry::LatencyHistogram> latency;
  };
  struct SecondStatistics {
    EndCounts counts;
    std::optional<double> headroom;
    std::unique_ptr<telemetry::LatencyHistogram> latency;
  };

  SecondStatistics& SecondOf(Duration at);

  const LoadPlan& plan_;
  std::vector<ClassStatistics> classes_;
  std::vector<SecondStatistics> seconds_;
  CheckReport checks_;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOAD_STATISTICS_H_
