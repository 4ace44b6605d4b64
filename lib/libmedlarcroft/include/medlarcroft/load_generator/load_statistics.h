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

/// @brief One request's end.
struct EndedRequest {
  std::size_t class_index = 0;
  RequestEnd end = RequestEnd::kUnsent;
  Duration intended_at{0};  ///< From the start of the run.
  /// From the intended time of sending: a request that the tool or the system
  /// held back is as late as its caller would find it.
  Duration latency{0};
  std::uint32_t attempts = 0;
};

/// @brief What the targets said about their runs.
struct RunAudit {
  std::vector<TargetRun> runs;
  bool is_complete = false;  ///< Every target was heard and had dropped none.
};

/// @brief Counts a run. Used by one thread.
class LoadStatistics {
 public:
  /// @param plan must outlive the statistics.
  explicit LoadStatistics(const LoadPlan& plan);

  void NoteEnd(const EndedRequest& request);
  void NoteAnswer(std::optional<AnswerFault> fault, std::string_view path);
  void NoteCause(std::size_t class_index, const std::string& cause);
  /// @param headroom share of the targets' slots that are free.
  void NoteHeadroom(Duration at, double headroom);

  /// @return all of one second's counts; for progress lines.
  [[nodiscard]] EndCounts Totals() const;

  /// @param audit nullopt when the targets were not asked.
  [[nodiscard]] LoadReport MakeReport(
      std::string name,
      const ClaimBook& claims,
      const std::optional<RunAudit>& audit) const;

 private:
  struct ClassLine {
    EndCounts counts;
    std::uint64_t late = 0;
    std::uint64_t retries = 0;
    std::map<std::string, std::uint64_t> causes;
    std::unique_ptr<telemetry::LatencyHistogram> latency;
  };
  struct SecondLine {
    EndCounts counts;
    std::optional<double> headroom;
    std::unique_ptr<telemetry::LatencyHistogram> latency;
  };

  SecondLine& SecondOf(Duration at);

  const LoadPlan& plan_;
  std::vector<ClassLine> classes_;
  std::vector<SecondLine> seconds_;
  CheckReport checks_;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOAD_STATISTICS_H_
