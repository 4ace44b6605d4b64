#ifndef MEDLARCROFT_DECISION_ATTEMPT_RULES_H_
#define MEDLARCROFT_DECISION_ATTEMPT_RULES_H_

#include "medlarcroft/decision/request.h"

namespace medlarcroft::decision {

/// @brief When an attempt's slot at the target is released.
enum class SlotRelease {
  kImmediately,  ///< The target has ended the attempt or never received it.
  kAfterGracePeriod,  ///< The target was requested to stop and soon does.
  kAfterDeadline,     ///< The target may continue until the request deadline.
};

/// @brief What the outcome of an attempt proves and permits.
struct AttemptRules {
  RunState run_state = RunState::kUnknown;
  /// There is a complete answer that may be passed to the caller.
  bool has_answer = false;
  /// Another attempt may succeed, if the request can safely be repeated.
  bool is_retryable = false;
  /// Counts as a failure in the health of the target.
  bool is_target_failure = false;
  /// Another attempt takes no token from the retry budget.
  ///
  /// Otherwise a planned drain would cause refusals with "not run" for callers
  /// when hedges have just spent the budget as a target starts to drain. A
  /// target that reports that it is leaving gets no new requests, so the number
  /// of such retries is limited to its requests in flight, which is at most its
  /// number of slots; they cannot multiply the load.
  bool is_retry_budget_exempt = false;
  SlotRelease release = SlotRelease::kImmediately;
};

/// @brief Returns the rules for an outcome.
///
/// The slot is kept after a timeout or a lost connection because the target may
/// still be working on the request; another request sent to a slot that only
/// seems free would exceed the target's limit.
[[nodiscard]] const AttemptRules& RulesFor(AttemptOutcome outcome);

/// @return whether a request may be retried after this outcome; a
/// non-idempotent request may be retried only if it certainly did not run.
[[nodiscard]] bool MayRetry(const AttemptRules& rules, bool is_idempotent);

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_ATTEMPT_RULES_H_
