#include "medlarcroft/load_generator/outcome_auditor.h"

#include <optional>

namespace medlarcroft::load_generator {

namespace {

std::string_view LastSegment(std::string_view path) {
  const auto slash = path.rfind('/');
  return slash == std::string_view::npos ? path : path.substr(slash + 1);
}

/// @brief Runs of one request on all targets.
struct RunTotal {
  std::uint64_t count = 0;
  std::vector<std::string> targets;
};

using RunTotals = std::map<std::string, RunTotal, std::less<>>;

RunTotals SumRuns(std::span<const TargetRun> runs) {
  RunTotals totals;
  for (const TargetRun& run : runs) {
    RunTotal& total = totals[std::string(LastSegment(run.path))];
    total.count += run.count;
    total.targets.push_back(run.target);
  }
  return totals;
}

}  // namespace

void OutcomeAuditor::Record(std::string_view path,
                            std::string_view key,
                            idempotency::Outcome outcome) {
  ReportedOutcomes& reported = outcomes_[std::string(LastSegment(path))];
  reported.has_key = !key.empty();
  reported.was_reported_ran |= outcome == idempotency::Outcome::kRan;
  reported.was_reported_unknown |= outcome == idempotency::Outcome::kUnknown;
}

std::vector<OutcomeMismatch> OutcomeAuditor::Compare(
    std::span<const TargetRun> runs) const {
  const RunTotals totals = SumRuns(runs);
  std::vector<OutcomeMismatch> mismatches;
  for (const auto& [path, reported] : outcomes_) {
    const auto found = totals.find(path);
    const RunTotal total = found == totals.end() ? RunTotal() : found->second;
    std::optional<MismatchType> fault;
    if (reported.has_key && total.count > 1) {
      fault = MismatchType::kDoubleRun;
    } else if (!reported.was_reported_ran && !reported.was_reported_unknown &&
               total.count > 0) {
      fault = MismatchType::kFalseNotRun;
    } else if (reported.was_reported_ran && total.count == 0) {
      fault = MismatchType::kNoRun;
    }
    if (fault) {
      mismatches.push_back({.fault = *fault,
                            .request = path,
                            .runs = total.count,
                            .targets = total.targets});
    }
  }
  return mismatches;
}

}  // namespace medlarcroft::load_generator
