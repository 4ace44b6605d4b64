#include "medlarcroft/request_path/request_path.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::request_path {
namespace {

using routing::RequestKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");

class NullObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

class RequestPathTest : public testing::Test {
 protected:
  void Configure(RequestKind kind,
                 int targets = 3,
                 std::uint32_t max_attempts = 2) {
    routes_.Apply({.version = ++version_,
                   .routes = {{.name = "r",
                               .host = "h",
                               .path_prefix = "/",
                               .kind = kind,
                               .timeout = seconds(2),
                               .latency_objective = milliseconds(500),
                               .max_attempts = max_attempts,
                               .weighted_services = {{.service = kService}},
                               .is_sticky = is_sticky_}}});
    std::vector<TargetRecord> records;
    records.reserve(static_cast<std::size_t>(targets));
    for (int i = 0; i < targets; ++i) {
      records.push_back({.id = TargetName("t" + std::to_string(i)),
                         .service = kService,
                         .address = "127.0.0.1:" + std::to_string(8000 + i),
                         .domain = FailureDomainName("d"),
                         .slots = 3});
    }
    directory_.ReplaceAll(records, {}, std::nullopt, kStart);
  }

  RequestStart Begin(std::optional<Duration> time_left = std::nullopt,
                     MonotonicTime now = kStart) {
    return path_.Begin(
        {.host = "h", .target = "/x", .object = "o", .time_left = time_left},
        now);
  }

  NullObserver observer_;
  fakes::SeededRandom random_{1};
  routing::RouteTable routes_;
  TargetDirectory directory_{{{FailureDomainName("d"), RegionName("here")}},
                             observer_};
  RequestPath path_{{.own_region = RegionName("here"),
                     .retry_limit = {.ratio = 0.2, .fixed = 50}},
                    routes_,
                    directory_,
                    random_};
  std::uint64_t version_ = 0;
  bool is_sticky_ = true;
};

const RequestFailure* FailureIn(const Step& step) {
  return std::get_if<RequestFailure>(&step);
}

TEST_F(RequestPathTest, RefusesWithRetryTimeWhileNotConfigured) {
  const RequestStart start = Begin();

  ASSERT_NE(FailureIn(start.step), nullptr);
  EXPECT_EQ(FailureIn(start.step)->reason, FailureReason::kNotConfigured);
  EXPECT_TRUE(FailureIn(start.step)->is_not_run);
  EXPECT_TRUE(FailureIn(start.step)->retry_after);
}

TEST_F(RequestPathTest, MissingRouteIsFinalOnlyWhileTheConfigurationIsCurrent) {
  Configure(RequestKind::kIdempotent);
  const CallerRequest request{.host = "other", .target = "/"};

  EXPECT_EQ(FailureIn(path_.Begin(request, kStart).step)->reason,
            FailureReason::kNoRoute);
  path_.SetConfigurationAge({.overdue_at = kStart});
  EXPECT_EQ(FailureIn(path_.Begin(request, kStart).step)->reason,
            FailureReason::kNoRouteYet);
}

TEST_F(RequestPathTest, StatesTheRemainingTimeToTheTarget) {
  Configure(RequestKind::kIdempotent);
  const RequestStart start = Begin(milliseconds(900));
  const auto first = std::get<SendAttempt>(start.step);
  EXPECT_LE(first.time_left, milliseconds(900));

  const Step step =
      path_.OnAttemptEnd(start.ticket, first.attempt, AttemptEnd::kLost,
                         kStart + milliseconds(300));
  EXPECT_LE(std::get<SendAttempt>(step).time_left, milliseconds(600));
}

struct RetryCase {
  std::string name;
  RequestKind kind;
  AttemptEnd end;
  bool is_sent_again;
  bool is_not_run;  ///< Only if it is not sent again.
};

class RetryTable : public RequestPathTest,
                   public testing::WithParamInterface<RetryCase> {};

// A send ends without a response that can be forwarded. An idempotent request
// is sent to another target. Any other request is sent again only when it is
// proven that it did not run, and "not run" is reported only when that is
// proven.
TEST_P(RetryTable, RetriesOnlyRequestsThatMayRunAgain) {
  Configure(GetParam().kind);
  const RequestStart start = Begin();
  const auto first = std::get<SendAttempt>(start.step);

  const Step step =
      path_.OnAttemptEnd(start.ticket, first.attempt, GetParam().end, kStart);

  const auto* const again = std::get_if<SendAttempt>(&step);
  EXPECT_EQ(again != nullptr, GetParam().is_sent_again);
  if (again != nullptr) {
    EXPECT_NE(again->target, first.target);
  }
  if (const RequestFailure* const failure = FailureIn(step)) {
    EXPECT_EQ(failure->is_not_run, GetParam().is_not_run);
    EXPECT_EQ(path_.InFlight(), 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RetryTable,
    testing::Values(
        RetryCase{"NonIdempotentNotRun", RequestKind::kNonIdempotent,
                  AttemptEnd::kNotRun, true, true},
        RetryCase{"NonIdempotentNeverSent", RequestKind::kNonIdempotent,
                  AttemptEnd::kNeverSent, true, true},
        RetryCase{"NonIdempotentWrongTarget", RequestKind::kNonIdempotent,
                  AttemptEnd::kWrongTarget, true, true},
        RetryCase{"NonIdempotentLost", RequestKind::kNonIdempotent,
                  AttemptEnd::kLost, false, false},
        RetryCase{"NonIdempotentTimedOut", RequestKind::kNonIdempotent,
                  AttemptEnd::kTimedOut, false, false},
        RetryCase{"IdempotentLost", RequestKind::kIdempotent, AttemptEnd::kLost,
                  true, false},
        RetryCase{"IdempotentNotRun", RequestKind::kIdempotent,
                  AttemptEnd::kNotRun, true, true}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(RequestPathTest, ForwardsTheErrorResponseToANonIdempotentRequest) {
  Configure(RequestKind::kNonIdempotent);
  const RequestStart start = Begin();

  const Step step =
      path_.OnAttemptEnd(start.ticket, 1, AttemptEnd::kTargetFailed, kStart);

  EXPECT_EQ(std::get<PassOn>(step).attempt, 1U);
}

// All targets refuse the request in turn. After as many targets as the route
// allows, the caller gets a refusal, which correctly states that the request
// did not run.
TEST_F(RequestPathTest, TriesNoMoreTargetsThanTheRouteAllows) {
  Configure(RequestKind::kIdempotent, 5, 3);
  RequestStart start = Begin();
  Step step = start.step;
  int sends = 0;
  while (const auto* const send = std::get_if<SendAttempt>(&step)) {
    ++sends;
    step = path_.OnAttemptEnd(start.ticket, send->attempt, AttemptEnd::kNotRun,
                              kStart);
  }

  EXPECT_EQ(sends, 3);
  EXPECT_EQ(FailureIn(step)->reason, FailureReason::kRetriesExhausted);
  EXPECT_TRUE(FailureIn(step)->is_not_run);
}

TEST_F(RequestPathTest,
       HedgesASlowIdempotentRequestAndForwardsTheFirstResponse) {
  Configure(RequestKind::kIdempotent);
  const RequestStart start = Begin();
  ASSERT_TRUE(std::get<SendAttempt>(start.step).hedge_after);

  const Step hedged = path_.OnSlow(start.ticket, kStart + milliseconds(600));
  ASSERT_TRUE(std::holds_alternative<SendAttempt>(hedged));
  const Step step = path_.OnAttemptEnd(start.ticket, 2, AttemptEnd::kAnswered,
                                       kStart + milliseconds(800));

  const auto& pass_on = std::get<PassOn>(step);
  EXPECT_EQ(pass_on.attempt, 2U);
  EXPECT_EQ(pass_on.abandoned, std::vector<AttemptNumber>{1});
}

TEST_F(RequestPathTest, NeverHedgesANonIdempotentRequest) {
  Configure(RequestKind::kNonIdempotent);
  const RequestStart start = Begin();

  EXPECT_FALSE(std::get<SendAttempt>(start.step).hedge_after);
}

TEST_F(RequestPathTest, TimeoutWhileATargetHasTheRequestIsNotReportedAsNotRun) {
  Configure(RequestKind::kNonIdempotent);
  const RequestStart start = Begin();

  const RequestFailure failure =
      path_.OnTimeout(start.ticket, kStart + seconds(2));

  EXPECT_EQ(failure.reason, FailureReason::kTimedOut);
  EXPECT_FALSE(failure.is_not_run);
}

// Demand exceeds the capacity of the targets for a while. Requests that would
// wait longer than their latency objective allows are refused on arrival with a
// retry time, so that they do not delay the accepted ones.
TEST_F(RequestPathTest, RefusesOnArrivalWithARetryTimeWhenSaturated) {
  Configure(RequestKind::kIdempotent, 2);
  int taken = 0;
  const RequestFailure* refused = nullptr;
  Step step;
  while (taken < 100) {
    step = Begin().step;
    refused = FailureIn(step);
    if (refused != nullptr) {
      break;
    }
    ++taken;
  }

  ASSERT_NE(refused, nullptr);
  EXPECT_GE(taken, 6);
  EXPECT_LE(taken, 20);
  EXPECT_EQ(refused->reason, FailureReason::kOverloaded);
  EXPECT_TRUE(refused->is_not_run);
  EXPECT_GT(*refused->retry_after, milliseconds(100));
}

TEST_F(RequestPathTest, RefusesRequestsThatCannotFinishInTime) {
  Configure(RequestKind::kIdempotent);

  EXPECT_EQ(FailureIn(Begin(milliseconds(5)).step)->reason,
            FailureReason::kDeadlineUnreachable);
}

// A new route has a time limit below the duration of a cold run, and none of
// its objects are warm yet. Its requests must be sent: if they were refused, no
// object would ever become warm, and the route would serve no requests.
TEST_F(RequestPathTest,
       SendsRequestsWithAShortTimeLimitWhileAllObjectsAreCold) {
  is_sticky_ = false;
  Configure(RequestKind::kIdempotent);
  const RequestStart start = Begin(milliseconds(300));

  ASSERT_TRUE(std::holds_alternative<SendAttempt>(start.step));
  EXPECT_GT(std::get<SendAttempt>(start.step).placement.expected,
            milliseconds(300));
}

TEST_F(RequestPathTest, DisconnectedCallerFreesItsSlot) {
  Configure(RequestKind::kIdempotent, 1);
  const RequestStart start = Begin();
  path_.OnCallerGone(start.ticket, kStart);

  EXPECT_EQ(path_.InFlight(), 0U);
  EXPECT_EQ(directory_.Find({TargetName("t0")})->OwnOutstanding(), 0U);
}

// A blocked request is refused as not run with a retry time, while other
// requests of the route are served.
TEST_F(RequestPathTest, RefusesABlockedRequestAndServesOthers) {
  Configure(RequestKind::kIdempotent, 5);
  const auto crashing = RequestFingerprint::Of({"crash"});
  const MonotonicTime decided = kStart + CrashTracker::Options{}.decision_delay;
  const auto begin_request = [&](RequestFingerprint fingerprint,
                                 MonotonicTime now) {
    return path_.Begin(
        {.host = "h", .target = "/x", .fingerprint = fingerprint}, now);
  };
  for (std::uint32_t target = 1; target <= 3; ++target) {
    path_.Crashes().OnCrash(crashing, TargetNumber{target}, kStart);
  }
  const RequestStart held = begin_request(crashing, kStart);
  ASSERT_NE(FailureIn(held.step), nullptr);
  EXPECT_EQ(FailureIn(held.step)->reason, FailureReason::kRequestBlocked);
  EXPECT_TRUE(FailureIn(held.step)->is_not_run);
  EXPECT_LE(FailureIn(held.step)->retry_after, decided - kStart);
  const RequestStart blocked = begin_request(crashing, decided);
  ASSERT_NE(FailureIn(blocked.step), nullptr);
  EXPECT_EQ(FailureIn(blocked.step)->reason, FailureReason::kRequestBlocked);
  EXPECT_TRUE(FailureIn(blocked.step)->is_not_run);
  EXPECT_GT(FailureIn(blocked.step)->retry_after, Duration(seconds(1)));
  const RequestStart other =
      begin_request(RequestFingerprint::Of({"other"}), decided);
  EXPECT_TRUE(std::holds_alternative<SendAttempt>(other.step));
}

// A server error, which a target may send without running the request, must
// not reset the crash count of a request that crashes targets.
TEST_F(RequestPathTest, ServerErrorDoesNotResetTheCrashCount) {
  Configure(RequestKind::kIdempotent, 5);
  const auto crashing = RequestFingerprint::Of({"crash"});
  for (std::uint32_t target = 1; target <= 3; ++target) {
    const RequestStart start = path_.Begin(
        {.host = "h", .target = "/x", .fingerprint = crashing}, kStart);
    static_cast<void>(
        path_.OnAttemptEnd(start.ticket, 1, AttemptEnd::kTargetFailed, kStart));
    path_.Crashes().OnReport(
        {.request = crashing, .target = TargetNumber{target}}, kStart);
  }
  EXPECT_TRUE(path_.Crashes().BlockedFor(crashing, kStart).has_value());
}

// A request that is blocked while a target runs it must not be retried, and
// must not be reported as not run.
TEST_F(RequestPathTest, DoesNotRetryARequestBlockedInFlight) {
  Configure(RequestKind::kIdempotent, 5);
  const auto crashing = RequestFingerprint::Of({"crash"});
  const RequestStart start = path_.Begin(
      {.host = "h", .target = "/x", .fingerprint = crashing}, kStart);
  for (std::uint32_t target = 1; target <= 3; ++target) {
    path_.Crashes().OnReport(
        {.request = crashing, .target = TargetNumber{target}}, kStart);
  }
  EXPECT_TRUE(std::holds_alternative<AwaitAttempt>(
      path_.OnSlow(start.ticket, kStart + seconds(1))));
  const Step step = path_.OnAttemptEnd(start.ticket, 1, AttemptEnd::kLost,
                                       kStart + seconds(1));
  ASSERT_NE(FailureIn(step), nullptr);
  EXPECT_EQ(FailureIn(step)->reason, FailureReason::kRequestBlocked);
  EXPECT_FALSE(FailureIn(step)->is_not_run);
}

// A target that has used up its rate limit must get no requests, and none may
// be refused while other targets have capacity.
TEST_F(RequestPathTest, SkipsATargetWithAnExhaustedRateLimit) {
  Configure(RequestKind::kIdempotent);
  const RequestStart first = Begin();
  const auto limited = std::get<SendAttempt>(first.step).target;
  path_.OnRateLimit(first.ticket, 1, 0.0, kStart + milliseconds(50));
  (void)path_.OnAttemptEnd(first.ticket, 1, AttemptEnd::kAnswered,
                           kStart + milliseconds(50));
  for (int request = 1; request <= 20; ++request) {
    const RequestStart next =
        Begin(std::nullopt, kStart + request * milliseconds(100));
    const auto send = std::get<SendAttempt>(next.step);
    EXPECT_NE(send.target, limited);
    (void)path_.OnAttemptEnd(next.ticket, 1, AttemptEnd::kAnswered,
                             kStart + request * milliseconds(100));
  }
}

}  // namespace
}  // namespace medlarcroft::request_path
