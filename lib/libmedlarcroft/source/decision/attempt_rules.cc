#include "medlarcroft/decision/attempt_rules.h"

#include <array>
#include <cstddef>

namespace medlarcroft::decision {
namespace {

constexpr AttemptRules kAnswered{.run_state = RunState::kRan,
                                 .has_answer = true};
constexpr AttemptRules kServerError{.run_state = RunState::kRan,
                                    .has_answer = true,
                                    .is_worth_retry = true,
                                    .is_blamed_on_target = true};
constexpr AttemptRules kNeverSent{.run_state = RunState::kNotRun,
                                  .is_worth_retry = true,
                                  .is_blamed_on_target = true};
constexpr AttemptRules kNotRunByTarget{.run_state = RunState::kNotRun,
                                       .is_worth_retry = true};
constexpr AttemptRules kTargetLeaving{.run_state = RunState::kNotRun,
                                      .is_worth_retry = true,
                                      .is_retry_free = true};
constexpr AttemptRules kTruncated{.is_worth_retry = true,
                                  .is_blamed_on_target = true,
                                  .release = SlotRelease::kAfterGrace};
constexpr AttemptRules kConnectionLost{.is_worth_retry = true,
                                       .is_blamed_on_target = true,
                                       .release = SlotRelease::kAfterDeadline};
constexpr AttemptRules kTimedOut = kConnectionLost;
constexpr AttemptRules kSilentConnection{
    .is_worth_retry = true,
    .release = SlotRelease::kAfterDeadline};
constexpr AttemptRules kCancelled{.release = SlotRelease::kAfterGrace};

// In the order of AttemptOutcome.
constexpr std::array kRules{
    kAnswered,  kServerError,    kNeverSent, kNotRunByTarget,   kTargetLeaving,
    kTruncated, kConnectionLost, kTimedOut,  kSilentConnection, kCancelled};
static_assert(kRules.size() ==
              static_cast<std::size_t>(AttemptOutcome::kCancelled) + 1);

}  // namespace

const AttemptRules& RulesOf(AttemptOutcome outcome) {
  return kRules[static_cast<std::size_t>(outcome)];
}

bool MayRunAgain(const AttemptRules& rules, bool is_idempotent) {
  if (!rules.is_worth_retry)
    return false;
  return is_idempotent || rules.run_state == RunState::kNotRun;
}

}  // namespace medlarcroft::decision
