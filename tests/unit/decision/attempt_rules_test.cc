#include "medlarcroft/decision/attempt_rules.h"

#include <gtest/gtest.h>

namespace medlarcroft::decision {
namespace {

struct Case {
  AttemptOutcome outcome;
  RunState run_state;
  bool idempotent_again;
  bool non_idempotent_again;
  bool is_blamed;
};

class AttemptRulesTest : public ::testing::TestWithParam<Case> {};

TEST_P(AttemptRulesTest, FollowsTheTable) {
  const AttemptRules& rules = RulesFor(GetParam().outcome);

  EXPECT_EQ(rules.run_state, GetParam().run_state);
  EXPECT_EQ(MayRetry(rules, true), GetParam().idempotent_again);
  EXPECT_EQ(MayRetry(rules, false), GetParam().non_idempotent_again);
  EXPECT_EQ(rules.is_target_failure, GetParam().is_blamed);
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes,
    AttemptRulesTest,
    ::testing::Values(
        Case{AttemptOutcome::kAnswered, RunState::kRan, false, false, false},
        Case{AttemptOutcome::kServerError, RunState::kRan, true, false, true},
        Case{AttemptOutcome::kNeverSent, RunState::kNotRun, true, true, true},
        Case{AttemptOutcome::kShed, RunState::kNotRun, true, true, false},
        Case{AttemptOutcome::kTargetLeaving, RunState::kNotRun, true, true,
             false},
        Case{AttemptOutcome::kTruncated, RunState::kUnknown, true, false, true},
        Case{AttemptOutcome::kConnectionLost, RunState::kUnknown, true, false,
             true},
        Case{AttemptOutcome::kTimedOut, RunState::kUnknown, true, false, true},
        Case{AttemptOutcome::kSilentConnection, RunState::kUnknown, true, false,
             false},
        Case{AttemptOutcome::kCancelled, RunState::kUnknown, false, false,
             false}));

}  // namespace
}  // namespace medlarcroft::decision
