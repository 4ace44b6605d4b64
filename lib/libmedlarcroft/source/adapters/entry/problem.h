#ifndef MEDLARCROFT_ADAPTERS_ENTRY_PROBLEM_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_PROBLEM_H_

#include <optional>
#include <string_view>

#include "adapters/http/http_message.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/request.h"

namespace medlarcroft::adapters {

/// @brief Reasons for which a caller gets no answer from a target. The reasons
/// of the scheduler have their own type, `decision::RefusalReason`.
enum class ProblemCode {
  kUnknownPath,
  kMissingBrand,
  kBadBrand,
  kBadDeadline,
  kUnknownService,
  kMissingKey,
  kBadKey,
  kKeyExpired,
  kKeyReused,
  kKeyIssuerUnavailable,
  kOutcomeUnknown,
  kAnswerNotKept,
  kLedgerFull,
  kTooManyDuplicates,
  kBadForward,
  kNotReady,
  kStopping,
  kAnswerLost,
  kAnswerUnusable,
  kClaimUnresolved,
  kCallerDisconnected,
};

/// @return an `application/problem+json` response with the code's name.
/// @param retry_after set if a retry can succeed; rounded up to seconds in the
/// Retry-After header, in milliseconds in the body's `retry_after_ms`.
[[nodiscard]] HttpResponse MakeProblem(
    ProblemCode code,
    decision::RunState run_state,
    std::optional<Duration> retry_after = std::nullopt);

/// @return the response for a request that the scheduler refused.
[[nodiscard]] HttpResponse MakeRefusal(const decision::Refusal& refusal);

/// @return the value of the Medlar-Outcome header for `run_state`.
[[nodiscard]] std::string_view FormatRunState(decision::RunState run_state);

/// @return the run state in the value of a Medlar-Outcome header; kUnknown for
/// any unknown value.
[[nodiscard]] decision::RunState ParseRunState(std::string_view text);

/// @return the code's name in responses and metrics.
[[nodiscard]] std::string_view NameOf(ProblemCode code);
[[nodiscard]] std::string_view NameOf(decision::RefusalReason reason);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_PROBLEM_H_
