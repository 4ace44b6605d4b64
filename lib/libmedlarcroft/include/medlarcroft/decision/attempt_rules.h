#ifndef MEDLARCROFT_DECISION_ATTEMPT_RULES_H_
#define MEDLARCROFT_DECISION_ATTEMPT_RULES_H_

#include "medlarcroft/decision/request.h"

namespace medlarcroft::decision {

/// @brief When an attempt's slot at the target may be used again.
enum class SlotRelease {
  kAtOnce,         ///< The target has ended the attempt, or never had it.
  kAfterGrace,     ///< It was told to stop, and does within moments.
  kAfterDeadline,  ///< It may work on until the deadline that it was given.
};

/// @brief What an outcome of an attempt says and allows.
struct AttemptRules {
  RunState run_state = RunState::kUnknown;
  /// The answer may be passed to the caller.
  bool has_answer = false;
  /// Another attempt may help an idempotent request.
  bool is_retryable = false;
  bool is_target_failure = false;
  /// Another attempt takes nothing from the retry budget.
  ///
  /// Failure: hedges have just spent the budget when a target begins to leave.
  /// Symptom: a planned drain costs callers "not run" refusals. A target that
  /// said that it leaves gets nothing new, so such retries end with what was in
  /// flight there, at most its slots; they can't multiply the load.
  bool is_retry_budget_exempt = false;
  SlotRelease release = SlotRelease::kAtOnce;
};

/// @brief The rules for an outcome.
///
/// Harm prevented by the slot that is held after a timeout or a lost
/// connection: the target may still work on the request, and one more sent to
/// the free-looking slot would be over its limit.
[[nodiscard]] const AttemptRules& RulesFor(AttemptOutcome outcome);

/// @return whether a request may have another attempt after this outcome: a
/// non-idempotent one only with proof that it did not run.
[[nodiscard]] bool MayRetry(const AttemptRules& rules, bool is_idempotent);

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_ATTEMPT_RULES_H_
