#ifndef MEDLARCROFT_LOAD_GENERATOR_OUTCOME_AUDITOR_H_
#define MEDLARCROFT_LOAD_GENERATOR_OUTCOME_AUDITOR_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/idempotency/outcome.h"

namespace medlarcroft::load_generator {

/// @brief How often a target ran one request, as reported by the target.
struct TargetRun {
  std::string target;
  std::string idempotency_key;  ///< Empty when the request had none.
  std::string path;
  std::uint64_t count = 0;
};

/// @brief How the outcomes reported to a caller contradict the targets' runs.
enum class MismatchType {
  kDoubleRun,    ///< A request with a key ran more than once.
  kFalseNotRun,  ///< All attempts ended with "not run", but it ran.
  kNoRun,        ///< Ended with "ran", but no target ran it.
};

/// @brief A request whose reported outcomes contradict its runs.
struct OutcomeMismatch {
  MismatchType fault = MismatchType::kDoubleRun;
  std::string request;               ///< Its unique path.
  std::uint64_t runs = 0;            ///< Sum over all targets.
  std::vector<std::string> targets;  ///< Targets that ran it.
};

/// @brief Records the outcomes reported to callers and compares them with the
/// runs reported by the targets. This verifies that keyed requests run at most
/// once and that requests reported as "not run" did not run.
class OutcomeAuditor {
 public:
  /// @brief Records the outcome of one attempt.
  /// @param path the request's unique path; only the last segment is compared.
  /// @param key empty for a request without an idempotency key.
  void Record(std::string_view path,
              std::string_view key,
              idempotency::Outcome outcome);

  /// @return all mismatches, sorted by path.
  [[nodiscard]] std::vector<OutcomeMismatch> Compare(
      std::span<const TargetRun> runs) const;

  [[nodiscard]] std::size_t Size() const { return outcomes_.size(); }

 private:
  struct ReportedOutcomes {
    bool has_key = false;
    bool was_reported_ran = false;
    bool was_reported_unknown = false;
  };

  std::map<std::string, ReportedOutcomes, std::less<>>
      outcomes_;  ///< By last path segment.
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_OUTCOME_AUDITOR_H_
