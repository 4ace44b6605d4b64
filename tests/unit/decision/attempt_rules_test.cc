#include "medlarcroft/decision/attempt_rules.h"

#include <gtest/gtest.h>

namespace medlarcroft::decision {
namespace {

struct AttemptRulesCase {
  AttemptOutcome outcome;
  RunState run_state;
  bool idempotent_may_retry;
  bool non_idempotent_may_retry;
  bool is_target_failure;
};

class AttemptRulesTest : public ::testing::TestWithParam<AttemptRulesCase> {};

TEST_P(AttemptRulesTest, MatchesOutcome) {
  const AttemptRules& rules = RulesFor(GetParam().outcome);

  EXPECT_EQ(rules.run_state, GetParam().run_state);
  EXPECT_EQ(MayRetry(rules, true), GetParam().idempotent_may_retry);
  EXPECT_EQ(MayRetry(rules, false), GetParam().non_idempotent_may_retry);
  EXPECT_EQ(rules.is_target_failure, GetParam().is_target_failure);
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes,
    AttemptRulesTest,
    ::testing::Values(AttemptRulesCase{AttemptOutcome::kAnswered,
                                       RunState::kRan, false, false, false},
                      AttemptRulesCase{AttemptOutcome::kServerError,
                                       RunState::kRan, true, false, true},
                      AttemptRulesCase{AttemptOutcome::kNeverSent,
                                       RunState::kNotRun, true, true, true},
                      AttemptRulesCase{AttemptOutcome::kShed, RunState::kNotRun,
                                       true, true, false},
                      AttemptRulesCase{AttemptOutcome::kTargetLeaving,
                                       RunState::kNotRun, true, true, false},
                      AttemptRulesCase{AttemptOutcome::kTruncated,
                                       RunState::kUnknown, true, false, true},
                      AttemptRulesCase{AttemptOutcome::kConnectionLost,
                                       RunState::kUnknown, true, false, true},
                      AttemptRulesCase{AttemptOutcome::kTimedOut,
                                       RunState::kUnknown, true, false, true},
                      AttemptRulesCase{AttemptOutcome::kSilentConnection,
                                       RunState::kUnknown, true, false, false},
                      AttemptRulesCase{AttemptOutcome::kCancelled,
                                       RunState::kUnknown, false, false,
                                       false}));

}  // namespace
}  // namespace medlarcroft::decision
