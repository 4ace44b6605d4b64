#include "medlarcroft/decision/attempt_rules.h"

#include <array>
#include <cstddef>

namespace medlarcroft::decision {
namespace {

constexpr AttemptRules kAnswered{.run_state = RunState::kRan,
                                 .has_answer = true};
constexpr AttemptRules kServerError{.run_state = RunState::kRan,
                                    .has_answer = true,
                                    .is_retryable = true,
                                    .is_target_failure = true};
constexpr AttemptRules kNeverSent{.run_state = RunState::kNotRun,
                                  .is_retryable = true,
                                  .is_target_failure = true};
constexpr AttemptRules kNotRunByTarget{.run_state = RunState::kNotRun,
                                       .is_retryable = true};
constexpr AttemptRules kTargetLeaving{.run_state = RunState::kNotRun,
                                      .is_retryable = true,
                                      .is_retry_budget_exempt = true};
constexpr AttemptRules kTruncated{.is_retryable = true,
                                  .is_target_failure = true,
                                  .release = SlotRelease::kAfterGracePeriod};
constexpr AttemptRules kConnectionLost{.is_retryable = true,
                                       .is_target_failure = true,
                                       .release = SlotRelease::kAfterDeadline};
constexpr AttemptRules kTimedOut = kConnectionLost;
constexpr AttemptRules kSilentConnection{
    .is_retryable = true,
    .release = SlotRelease::kAfterDeadline};
constexpr AttemptRules kWithheld = kTargetLeaving;
constexpr AttemptRules kUnprovedRefusal{
    .is_retryable = true,
    .release = SlotRelease::kAfterGracePeriod};
constexpr AttemptRules kCancelled{.release = SlotRelease::kAfterGracePeriod};

// Indexed by AttemptOutcome.
constexpr std::array kRules{kAnswered,       kServerError,   kNeverSent,
                            kNotRunByTarget, kTargetLeaving, kTruncated,
                            kConnectionLost, kTimedOut,      kSilentConnection,
                            kCancelled,      kWithheld,      kUnprovedRefusal};
static_assert(kRules.size() ==
              static_cast<std::size_t>(AttemptOutcome::kUnprovedRefusal) + 1);

}  // namespace

const AttemptRules& RulesFor(AttemptOutcome outcome) {
  return kRules[static_cast<std::size_t>(outcome)];
}

bool MayRetry(const AttemptRules& rules, bool is_idempotent) {
  if (!rules.is_retryable)
    return false;
  return is_idempotent || rules.run_state == RunState::kNotRun;
}

}  // namespace medlarcroft::decision
