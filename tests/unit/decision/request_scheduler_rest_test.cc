#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "unit/decision/scheduler_fixture.h"

namespace medlarcroft::decision {
namespace {

class SchedulerRestTest : public SchedulerFixture {
 protected:
  void AskForRest(const char* target, Duration rest) {
    scheduler_.OnTargetRest(TargetName(target), rest, clock_.Now());
  }
  void AskForRestEverywhere(int targets, Duration rest) {
    for (int i = 0; i < targets; ++i) {
      AskForRest(("t" + std::to_string(i)).c_str(), rest);
    }
  }
  std::vector<TargetName> Rested() {
    return scheduler_.TakeEndedRests(clock_.Now());
  }
};

// Guards against sends to a target that asked this host for rest: first sends,
// retries and hedges.
TEST_F(SchedulerRestTest, TargetThatAskedForRestGetsNothing) {
  Configure(MakeService(MakeTargets(3, 4)));
  AskForRest("t0", seconds(3));
  int retries = 0;
  for (int i = 0; i < 20; ++i) {
    const Dispatch first = SubmitAndDispatch();
    EXPECT_NE(first.target, TargetName("t0"));
    const NextStep step = End(first.attempt, AttemptOutcome::kShed);
    if (const auto* const again = std::get_if<Dispatch>(&step)) {
      EXPECT_NE(again->target, TargetName("t0"));
      ++retries;
      static_cast<void>(End(again->attempt, AttemptOutcome::kAnswered));
    }
  }
  EXPECT_GT(retries, 0);
  EXPECT_EQ(Explain().targets[0].rule, TargetUsageRule::kResting);
  EXPECT_FALSE(scheduler_.MaySend(TargetName("t0"), clock_.Now()));
  EXPECT_TRUE(scheduler_.MaySend(TargetName("t1"), clock_.Now()));
}

// A rest ends on its own, and the target gets its share back step by step.
TEST_F(SchedulerRestTest, TargetRampsUpAfterItsRest) {
  Configure(MakeService(MakeTargets(1, 8)));
  AskForRest("t0", seconds(2));
  EXPECT_TRUE(Rested().empty());
  static_cast<void>(Advance(milliseconds(1999)));
  EXPECT_EQ(Explain().usable_slots, 0U);
  static_cast<void>(Advance(milliseconds(501)));
  EXPECT_GE(Explain().usable_slots, 1U);
  EXPECT_LE(Explain().usable_slots, 2U);
  EXPECT_EQ(Rested(), std::vector{TargetName("t0")});
  EXPECT_TRUE(Rested().empty());
  static_cast<void>(Advance(seconds(2)));
  EXPECT_EQ(Explain().usable_slots, 8U);
}

TEST_F(SchedulerRestTest, LongestRestCountsUpToALimit) {
  Configure(MakeService(MakeTargets(1, 4)));
  AskForRest("t0", seconds(5));
  static_cast<void>(Advance(seconds(1)));
  AskForRest("t0", seconds(1));
  AskForRest("t0", Duration(0));
  AskForRest("t0", seconds(-1));
  static_cast<void>(Advance(milliseconds(3999)));
  EXPECT_EQ(Explain().usable_slots, 0U);

  AskForRest("t0", std::chrono::hours(1000));
  static_cast<void>(Advance(std::chrono::minutes(11)));
  EXPECT_GT(Explain().usable_slots, 0U);
}

// A snapshot drops the target for a moment: its process still wants rest.
TEST_F(SchedulerRestTest, RestOutlivesTheTargetsEntry) {
  Configure(MakeService(MakeTargets(2, 4)));
  AskForRest("t1", seconds(5));
  Configure(MakeService(MakeTargets(1, 4)));
  static_cast<void>(Advance(seconds(1)));
  Configure(MakeService(MakeTargets(2, 4)));
  EXPECT_EQ(Explain().targets[1].rule, TargetUsageRule::kResting);
  EXPECT_EQ(Explain().usable_slots, 4U);
}

// Guards against holding requests that no target will run soon, and against
// callers that all return at the moment when the first target has rested.
TEST_F(SchedulerRestTest, RequestsAreRefusedAtOnceWhileAllTargetsRest) {
  Configure(MakeService(MakeTargets(3, 1)));
  scheduler_.MarkLeaving(TargetName("t2"), clock_.Now());
  AskForRest("t0", seconds(4));
  AskForRest("t1", seconds(2));
  std::set<Duration> returns;
  for (int i = 0; i < 5; ++i) {
    const auto refusal = std::get<Refusal>(Submit());
    EXPECT_EQ(refusal.reason, RefusalReason::kTargetsResting);
    EXPECT_EQ(refusal.run_state, RunState::kNotRun);
    EXPECT_GE(refusal.retry_after, seconds(2));
    returns.insert(refusal.retry_after);
  }
  EXPECT_EQ(returns.size(), 5U);
}

TEST_F(SchedulerRestTest, QueuedRequestsAreRefusedOnceAllTargetsRest) {
  Configure(MakeService(MakeTargets(1, 1)));
  const Dispatch running = SubmitAndDispatch();
  ASSERT_TRUE(std::holds_alternative<Queued>(Submit()));
  AskForRest("t0", seconds(2));
  const auto actions = Advance(Duration(0));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<Expiry>(actions[0]).refusal.reason,
            RefusalReason::kTargetsResting);
  EXPECT_TRUE(std::holds_alternative<Finished>(
      End(running.attempt, AttemptOutcome::kAnswered)));
}

// A request that may have run is not declared fit for another try because the
// targets rest.
TEST_F(SchedulerRestTest, RestDoesNotMakeALostOrderRepeatable) {
  Configure(MakeNonIdempotentService(MakeTargets(1, 2)));
  const Dispatch order = SubmitAndDispatch();
  AskForRest("t0", seconds(2));
  const NextStep step = End(order.attempt, AttemptOutcome::kConnectionLost);
  EXPECT_EQ(std::get<Refusal>(step).reason, RefusalReason::kRetryNotAllowed);
  EXPECT_EQ(std::get<Refusal>(step).retry_after, Duration(0));
}

// The connection for it was established too late.
TEST_F(SchedulerRestTest, WithheldRequestGoesToAnotherTarget) {
  Configure(MakeNonIdempotentService(MakeTargets(2, 2)));
  const Dispatch first = SubmitAndDispatch();
  AskForRest(first.target.Value().c_str(), seconds(2));
  const NextStep step = End(first.attempt, AttemptOutcome::kWithheld);
  EXPECT_NE(std::get<Dispatch>(step).target, first.target);
}

// Guards against ejecting a target for failures during the rest that it asked
// for, which keep it from use for longer.
TEST_F(SchedulerRestTest, RestingTargetIsNotEjected) {
  constexpr std::size_t kRequests = 18;
  Configure(MakeService(MakeTargets(3, 8)));
  std::vector<Dispatch> sent;
  sent.reserve(kRequests);
  for (std::size_t i = 0; i < kRequests; ++i)
    sent.push_back(SubmitAndDispatch());
  AskForRest("t0", seconds(1));
  for (const Dispatch& dispatch : sent) {
    static_cast<void>(End(dispatch.attempt, dispatch.target == TargetName("t0")
                                                ? AttemptOutcome::kTruncated
                                                : AttemptOutcome::kAnswered));
  }
  EXPECT_EQ(Explain().targets[0].rule, TargetUsageRule::kResting);
  static_cast<void>(Advance(seconds(4)));
  EXPECT_EQ(Explain().targets[0].rule, TargetUsageRule::kFullShare);
}

}  // namespace
}  // namespace medlarcroft::decision
