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

/// @brief How often a target ran one request, by its own account.
struct TargetRun {
  std::string target;
  std::string idempotency_key;  ///< Empty when the request had none.
  std::string path;
  std::uint64_t count = 0;
};

/// @brief A way in which what callers were told and what ran don't agree.
enum class ClaimFault {
  kDoubleRun,    ///< A request with a key ran more than once.
  kFalseNotRun,  ///< Every attempt was told "not run", but it ran.
  kNoRun,        ///< Told "ran", but no target knows of it.
};

/// @brief One request whose claim and runs don't agree.
struct ClaimMismatch {
  ClaimFault fault = ClaimFault::kDoubleRun;
  std::string request;               ///< Its unique path.
  std::uint64_t runs = 0;            ///< On all targets together.
  std::vector<std::string> targets;  ///< Where it ran.
};

/// @brief Keeps what callers were told of each request, and compares it with
/// what the targets did. This is the proof of "at most once" and of "not run".
class ClaimBook {
 public:
  /// @brief Notes one attempt's answer.
  /// @param path the request's unique path; the last segment counts.
  /// @param key empty for a request without an idempotency key.
  void Note(std::string_view path,
            std::string_view key,
            idempotency::Outcome told);

  /// @return every mismatch, in the order of the paths.
  [[nodiscard]] std::vector<ClaimMismatch> Compare(
      std::span<const TargetRun> runs) const;

  [[nodiscard]] std::size_t Size() const { return claims_.size(); }

 private:
  struct Claim {
    bool has_key = false;
    bool was_told_ran = false;
    bool was_told_unknown = false;
  };

  std::map<std::string, Claim, std::less<>> claims_;  ///< By last segment.
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_OUTCOME_AUDITOR_H_
