#include "medlarcroft/decision/request_scheduler.h"

#include <gtest/gtest.h>

#include <set>

#include "unit/decision/scheduler_fixture.h"

namespace medlarcroft::decision {
namespace {

class RequestSchedulerTest : public SchedulerFixture {};

TEST_F(RequestSchedulerTest, DispatchesUpToTheShareAndQueuesTheRest) {
  Configure(MakeService(MakeTargets(2, 3)));

  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(std::holds_alternative<Dispatch>(Submit()));
  }

  EXPECT_TRUE(std::holds_alternative<Queued>(Submit()));
  EXPECT_EQ(scheduler_.Load(ServiceName("lookup-desk"), clock_.Now())->queued,
            1U);
}

TEST_F(RequestSchedulerTest, DispatchesTheQueuedRequestOnceASlotIsFree) {
  Configure(MakeService(MakeTargets(1, 1)));
  const Dispatch first = SubmitAndDispatch();
  const Queued second = std::get<Queued>(Submit());
  clock_.Advance(milliseconds(20));
  static_cast<void>(End(first.attempt, AttemptOutcome::kAnswered));

  ASSERT_EQ(scheduler_.NextWake(), MonotonicTime::min());
  const std::vector<Action> actions = Advance(Duration(0));

  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<Dispatch>(actions[0]).attempt.ticket, second.ticket);
}

TEST_F(RequestSchedulerTest, RefusesAnUnknownServiceWithoutRetryAfter) {
  Configure(MakeService(MakeTargets(1, 1)));

  const Admission admission = scheduler_.Submit(
      {.service = ServiceName("none"), .brand = BrandName("a")}, clock_.Now());

  EXPECT_EQ(std::get<Refusal>(admission).reason,
            RefusalReason::kUnknownService);
  EXPECT_EQ(std::get<Refusal>(admission).retry_after, Duration(0));
}

// The only slot is busy and a queued request reaches its queue limit. Its
// caller must get "not run" and a Retry-After at that moment, well before its
// own deadline. A refusal at the deadline leaves no time to try elsewhere.
TEST_F(RequestSchedulerTest, RefusesAQueuedRequestAtItsQueueLimit) {
  Configure(MakeService(MakeTargets(1, 1)));
  static_cast<void>(SubmitAndDispatch());
  const Queued queued = std::get<Queued>(Submit());
  EXPECT_EQ(queued.give_up_at, clock_.Now() + milliseconds(100));
  ASSERT_EQ(scheduler_.NextWake(), queued.give_up_at);

  const std::vector<Action> actions = Advance(milliseconds(100));

  ASSERT_EQ(actions.size(), 1U);
  const Expiry expiry = std::get<Expiry>(actions[0]);
  EXPECT_EQ(expiry.refusal.reason, RefusalReason::kWaitedTooLong);
  EXPECT_EQ(expiry.refusal.run_state, RunState::kNotRun);
  EXPECT_GT(expiry.refusal.retry_after, Duration(0));
}

// A request is sent and the connection breaks before the answer is complete.
// The target may have recorded an order, which a retry would duplicate, so the
// caller must get "unknown" after the only dispatch.
TEST_F(RequestSchedulerTest, NeverRetriesANonIdempotentRequestThatMayHaveRun) {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kConnectionLost, AttemptOutcome::kTruncated,
        AttemptOutcome::kTimedOut, AttemptOutcome::kSilentConnection}) {
    Configure(MakeNonIdempotentService(MakeTargets(3, 3)));
    const Dispatch dispatch = SubmitAndDispatch();

    const NextStep step = End(dispatch.attempt, outcome);

    const Refusal refusal = std::get<Refusal>(step);
    EXPECT_EQ(refusal.reason, RefusalReason::kRetryNotAllowed);
    EXPECT_EQ(refusal.run_state, RunState::kUnknown);
    EXPECT_EQ(refusal.retry_after, Duration(0));
  }
}

TEST_F(RequestSchedulerTest, RetriesOnAnotherTargetIfNotRun) {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kNeverSent, AttemptOutcome::kShed,
        AttemptOutcome::kTargetLeaving}) {
    Configure(MakeNonIdempotentService(MakeTargets(4, 2)));
    const Dispatch first = SubmitAndDispatch();

    const NextStep step = End(first.attempt, outcome);

    const Dispatch second = std::get<Dispatch>(step);
    EXPECT_EQ(second.kind, DispatchKind::kRetry);
    EXPECT_NE(second.target, first.target);
    EXPECT_EQ(second.attempt.number, 2U);
  }
}

// A target with the lowest measured latency sheds all requests. If most
// requests were still sent to it first, they would use up the retry budget.
TEST_F(RequestSchedulerTest, FastTargetThatShedsDoesNotExhaustTheRetryBudget) {
  Configure(MakeNonIdempotentService(MakeTargets(4, 4)));
  const TargetName fast("t0");
  for (int i = 0; i < 100; ++i) {
    const Dispatch dispatch = SubmitAndDispatch();
    clock_.Advance(dispatch.target == fast ? milliseconds(4)
                                           : milliseconds(20));
    static_cast<void>(End(dispatch.attempt, AttemptOutcome::kAnswered));
  }

  int sheds = 0;
  for (int i = 0; i < 60; ++i) {
    Dispatch dispatch = SubmitAndDispatch();
    if (dispatch.target == fast) {
      ++sheds;
      const NextStep step = End(dispatch.attempt, AttemptOutcome::kShed);
      ASSERT_TRUE(std::holds_alternative<Dispatch>(step)) << sheds << " sheds";
      dispatch = std::get<Dispatch>(step);
    }
    clock_.Advance(milliseconds(20));
    static_cast<void>(End(dispatch.attempt, AttemptOutcome::kAnswered));
  }
  EXPECT_LE(sheds, 10);
}

TEST_F(RequestSchedulerTest, StopsRetryingWhenTheBudgetIsSpent) {
  Configure(MakeService(MakeTargets(8, 8)));

  int retries = 0;
  bool is_spent = false;
  while (!is_spent) {
    NextStep step =
        End(SubmitAndDispatch().attempt, AttemptOutcome::kNeverSent);
    while (auto* dispatch = std::get_if<Dispatch>(&step)) {
      ++retries;
      step = End(dispatch->attempt, AttemptOutcome::kNeverSent);
    }
    is_spent =
        std::get<Refusal>(step).reason == RefusalReason::kRetryBudgetSpent;
  }

  EXPECT_EQ(retries, 10);
}

// Guards against hosts that restart in series and retry without any success.
TEST_F(RequestSchedulerTest, NewProcessRetriesNothingBeforeASuccess) {
  for (int process = 0; process < 20; ++process) {
    RequestScheduler scheduler({}, random_);
    scheduler.Configure(std::vector{MakeService(MakeTargets(8, 8))},
                        clock_.Now());
    const Dispatch dispatch = std::get<Dispatch>(scheduler.Submit(
        {.service = ServiceName("lookup-desk"), .brand = BrandName("a")},
        clock_.Now()));

    const NextStep step = scheduler.OnAttemptEnd(
        dispatch.attempt, AttemptOutcome::kNeverSent, clock_.Now());

    EXPECT_EQ(std::get<Refusal>(step).reason, RefusalReason::kRetryBudgetSpent);
    clock_.Advance(seconds(3));
  }
}

// Hedges and lost connections have spent the retry budget when a target with
// requests in flight reports that it is leaving and refuses them. Each request
// must be retried on another target instead of ending with "not run", because a
// planned drain must not fail requests. The number of these retries is limited
// to the requests in flight, as the target gets no new ones.
TEST_F(RequestSchedulerTest, RetriesFromALeavingTargetNeedNoBudget) {
  Configure(MakeService(MakeTargets(8, 8)));
  std::vector<Dispatch> on_t0;
  std::vector<Dispatch> elsewhere;
  for (int i = 0; i < 32; ++i) {
    const Dispatch dispatch = SubmitAndDispatch();
    const bool is_t0 = dispatch.target == TargetName("t0");
    (is_t0 ? on_t0 : elsewhere).push_back(dispatch);
  }
  ASSERT_GE(on_t0.size(), 2U);
  for (const Dispatch& dispatch : elsewhere) {
    static_cast<void>(End(dispatch.attempt, AttemptOutcome::kAnswered));
  }
  for (bool is_spent = false; !is_spent;) {
    NextStep step =
        End(SubmitAndDispatch().attempt, AttemptOutcome::kNeverSent);
    while (auto* dispatch = std::get_if<Dispatch>(&step)) {
      step = End(dispatch->attempt, AttemptOutcome::kNeverSent);
    }
    is_spent =
        std::get<Refusal>(step).reason == RefusalReason::kRetryBudgetSpent;
  }

  for (const Dispatch& dispatch : on_t0) {
    const NextStep step = End(dispatch.attempt, AttemptOutcome::kTargetLeaving);
    ASSERT_TRUE(std::holds_alternative<Dispatch>(step));
    EXPECT_NE(std::get<Dispatch>(step).target, TargetName("t0"));
  }
}

// A request times out at its deadline. Its slot must be released only after the
// grace period that the target needs to stop. A request that was dispatched
// immediately would exceed the target's slots.
TEST_F(RequestSchedulerTest, KeepsTheSlotOfATimedOutAttempt) {
  Configure(MakeNonIdempotentService(MakeTargets(1, 1)));
  const Dispatch dispatch = SubmitAndDispatch();
  clock_.Advance(seconds(1));
  static_cast<void>(End(dispatch.attempt, AttemptOutcome::kTimedOut));

  EXPECT_TRUE(std::holds_alternative<Queued>(Submit()));
  EXPECT_TRUE(Advance(milliseconds(9)).empty());
  EXPECT_EQ(Advance(milliseconds(1)).size(), 1U);
}

// The lease on the share expires while the process is paused, and a request
// arrives before any timer has run. The slot may already belong to another
// host, so the request must be queued or refused.
TEST_F(RequestSchedulerTest, ChecksTheLeaseAtDispatch) {
  std::vector<TargetConfig> targets = MakeTargets(1, 2);
  targets[0].share_lease_until = clock_.Now() + seconds(5);
  Configure(MakeService(targets));
  EXPECT_TRUE(std::holds_alternative<Dispatch>(Submit()));

  clock_.Advance(seconds(5));

  EXPECT_FALSE(std::holds_alternative<Dispatch>(Submit()));
  EXPECT_EQ(Explain().targets[0].rule, TargetUsageRule::kLeaseExpired);
}

TEST_F(RequestSchedulerTest, SendsNothingToALeavingTarget) {
  Configure(MakeService(MakeTargets(2, 2)));

  scheduler_.MarkLeaving(TargetName("t0"), clock_.Now());
  Configure(MakeService(MakeTargets(2, 2)));

  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(SubmitAndDispatch().target, TargetName("t1"));
  }
  EXPECT_TRUE(std::holds_alternative<Queued>(Submit()));
}

TEST_F(RequestSchedulerTest, RefusesQueuedRequestsWhenEveryTargetIsLeaving) {
  Configure(MakeService(MakeTargets(1, 1)));
  static_cast<void>(SubmitAndDispatch());
  static_cast<void>(std::get<Queued>(Submit()));

  scheduler_.MarkLeaving(TargetName("t0"), clock_.Now());
  const std::vector<Action> actions = Advance(Duration(0));

  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<Expiry>(actions[0]).refusal.reason,
            RefusalReason::kNoTarget);
}

TEST_F(RequestSchedulerTest, HedgesAnIdempotentRequestOnceAtLowLoad) {
  ServiceConfig config = MakeService(MakeTargets(4, 4));
  config.request_class.may_hedge = true;
  Configure(config);
  Serve(40, milliseconds(20));

  const Dispatch first = SubmitAndDispatch();
  const std::vector<Action> actions = Advance(milliseconds(30));

  ASSERT_EQ(actions.size(), 1U);
  const Dispatch hedge = std::get<Dispatch>(actions[0]);
  EXPECT_EQ(hedge.kind, DispatchKind::kHedge);
  EXPECT_NE(hedge.target, first.target);
  EXPECT_TRUE(Advance(milliseconds(100)).empty());

  const NextStep step = End(hedge.attempt, AttemptOutcome::kAnswered);
  EXPECT_EQ(std::get<Finished>(step).to_cancel,
            std::vector<AttemptId>{first.attempt});
  EXPECT_TRUE(std::holds_alternative<AwaitOtherAttempt>(
      End(first.attempt, AttemptOutcome::kCancelled)));
}

TEST_F(RequestSchedulerTest, DoesNotHedgeUnderLoad) {
  ServiceConfig config = MakeService(MakeTargets(2, 2));
  config.request_class.may_hedge = true;
  Configure(config);
  Serve(40, milliseconds(20));

  for (int i = 0; i < 3; ++i)
    static_cast<void>(SubmitAndDispatch());

  EXPECT_TRUE(Advance(milliseconds(100)).empty());
  EXPECT_FALSE(Explain().may_hedge_now);
}

TEST_F(RequestSchedulerTest, CancelReturnsTheAttemptsToStop) {
  Configure(MakeService(MakeTargets(1, 1)));
  const Dispatch running = SubmitAndDispatch();
  const Queued queued = std::get<Queued>(Submit());

  EXPECT_TRUE(scheduler_.Cancel(queued.ticket, clock_.Now()).empty());
  EXPECT_EQ(scheduler_.Cancel(running.attempt.ticket, clock_.Now()),
            std::vector<AttemptId>{running.attempt});
  EXPECT_TRUE(std::holds_alternative<AwaitOtherAttempt>(
      End(running.attempt, AttemptOutcome::kCancelled)));
  EXPECT_TRUE(Advance(seconds(1)).empty());
}

TEST_F(RequestSchedulerTest, IgnoresASecondEndOfTheSameAttempt) {
  Configure(MakeService(MakeTargets(1, 1)));
  const Dispatch dispatch = SubmitAndDispatch();
  static_cast<void>(End(dispatch.attempt, AttemptOutcome::kAnswered));

  EXPECT_TRUE(std::holds_alternative<AwaitOtherAttempt>(
      End(dispatch.attempt, AttemptOutcome::kAnswered)));
  EXPECT_EQ(Explain().outstanding, 0U);
}

TEST_F(RequestSchedulerTest, ConfigureKeepsOutstandingRequests) {
  Configure(MakeService(MakeTargets(1, 2)));
  const Dispatch dispatch = SubmitAndDispatch();

  Configure(MakeService(MakeTargets(1, 1)));

  EXPECT_TRUE(std::holds_alternative<Queued>(Submit()));
  EXPECT_TRUE(std::holds_alternative<Finished>(
      End(dispatch.attempt, AttemptOutcome::kAnswered)));
  EXPECT_EQ(Advance(Duration(0)).size(), 1U);
}

TEST_F(RequestSchedulerTest, RefusesQueuedRequestsOfARemovedService) {
  Configure(MakeService(MakeTargets(1, 1)));
  static_cast<void>(SubmitAndDispatch());
  static_cast<void>(std::get<Queued>(Submit()));

  scheduler_.Configure({}, clock_.Now());
  const std::vector<Action> actions = Advance(Duration(0));

  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<Expiry>(actions[0]).refusal.reason,
            RefusalReason::kUnknownService);
}

TEST_F(RequestSchedulerTest, ShiftedInRequestsLeaveTheReservedHeadroom) {
  ServiceConfig config = MakeService(MakeTargets(1, 10));
  config.reserved_headroom = 0.2;
  Configure(config);
  const RequestDescription shifted{.service = ServiceName("lookup-desk"),
                                   .brand = BrandName("a"),
                                   .is_shifted_in = true};

  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(std::holds_alternative<Dispatch>(
        scheduler_.Submit(shifted, clock_.Now())));
  }

  const Admission ninth = scheduler_.Submit(shifted, clock_.Now());
  EXPECT_EQ(std::get<Refusal>(ninth).reason, RefusalReason::kHeadroomReserved);
  EXPECT_TRUE(std::holds_alternative<Dispatch>(Submit()));
}

// No data arrives on open connections to t0 and its requests time out, but t0
// must not be ejected: the cause lies between the two ends. The exemption is
// temporary, so when t0 later truncates its answers, it must be ejected.
TEST_F(RequestSchedulerTest, DoesNotEjectATargetForSilentConnections) {
  Configure(MakeNonIdempotentService(MakeTargets(2, 10)));
  const auto fail_on_t0 = [&](AttemptOutcome outcome) {
    std::vector<Dispatch> dispatches;
    dispatches.reserve(20);
    for (int i = 0; i < 20; ++i)
      dispatches.push_back(SubmitAndDispatch());
    for (const Dispatch& dispatch : dispatches) {
      const bool is_t0 = dispatch.target == TargetName("t0");
      static_cast<void>(
          End(dispatch.attempt, is_t0 ? outcome : AttemptOutcome::kAnswered));
    }
  };

  scheduler_.OnSilentConnection(TargetName("t0"), clock_.Now());
  fail_on_t0(AttemptOutcome::kTimedOut);
  EXPECT_EQ(Explain().targets[0].rule, TargetUsageRule::kFullShare);

  static_cast<void>(Advance(seconds(2)));
  fail_on_t0(AttemptOutcome::kTruncated);
  EXPECT_EQ(Explain().targets[0].rule, TargetUsageRule::kEjected);
}

TEST_F(RequestSchedulerTest, NeverEjectsTheLastTargetThatCanServe) {
  ServiceConfig config = MakeNonIdempotentService(MakeTargets(2, 10));
  config.targets[1].share = 0;
  Configure(config);

  for (int i = 0; i < 9; ++i) {
    static_cast<void>(
        End(SubmitAndDispatch().attempt, AttemptOutcome::kTruncated));
  }

  EXPECT_EQ(Explain().targets[0].rule, TargetUsageRule::kFullShare);
}

}  // namespace
}  // namespace medlarcroft::decision
