#include "medlarcroft/load_generator/outcome_auditor.h"

#include <optional>

namespace medlarcroft::load_generator {

namespace {

std::string_view LastSegment(std::string_view path) {
  const auto slash = path.rfind('/');
  return slash == std::string_view::npos ? path : path.substr(slash + 1);
}

/// @brief All runs of one request.
struct RunTotal {
  std::uint64_t count = 0;
  std::vector<std::string> targets;
};

using RunTotals = std::map<std::string, RunTotal, std::less<>>;

RunTotals AddUp(std::span<const TargetRun> runs) {
  RunTotals totals;
  for (const TargetRun& run : runs) {
    RunTotal& total = totals[std::string(LastSegment(run.path))];
    total.count += run.count;
    total.targets.push_back(run.target);
  }
  return totals;
}

}  // namespace

void ClaimBook::Note(std::string_view path,
                     std::string_view key,
                     idempotency::Outcome told) {
  Claim& claim = claims_[std::string(LastSegment(path))];
  claim.has_key = !key.empty();
  claim.was_told_ran |= told == idempotency::Outcome::kRan;
  claim.was_told_unknown |= told == idempotency::Outcome::kUnknown;
}

std::vector<ClaimMismatch> ClaimBook::Compare(
    std::span<const TargetRun> runs) const {
  const RunTotals totals = AddUp(runs);
  std::vector<ClaimMismatch> mismatches;
  for (const auto& [path, claim] : claims_) {
    const auto found = totals.find(path);
    const RunTotal total = found == totals.end() ? RunTotal() : found->second;
    std::optional<ClaimFault> fault;
    if (claim.has_key && total.count > 1) {
      fault = ClaimFault::kDoubleRun;
    } else if (!claim.was_told_ran && !claim.was_told_unknown &&
               total.count > 0) {
      fault = ClaimFault::kFalseNotRun;
    } else if (claim.was_told_ran && total.count == 0) {
      fault = ClaimFault::kNoRun;
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
