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

class NoObserver final : public TargetDirectoryObserver {
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
    book_.ReplaceAll(records, {}, std::nullopt, kStart);
  }

  RequestStart Begin(std::optional<Duration> time_left = std::nullopt,
                     MonotonicTime now = kStart) {
    return path_.Begin(
        {.host = "h", .target = "/x", .object = "o", .time_left = time_left},
        now);
  }

  NoObserver observer_;
  fakes::SeededRandom random_{1};
  routing::RouteTable routes_;
  TargetDirectory book_{{{FailureDomainName("d"), RegionName("here")}},
                        observer_};
  RequestPath path_{{.own_region = RegionName("here"),
                     .retry_limit = {.ratio = 0.2, .fixed = 50}},
                    routes_,
                    book_,
                    random_};
  std::uint64_t version_ = 0;
  bool is_sticky_ = true;
};

const RequestFailure* EndingIn(const Step& step) {
  return std::get_if<RequestFailure>(&step);
}

TEST_F(RequestPathTest, WithoutAConfigurationNothingIsDenied) {
  const RequestStart begun = Begin();

  ASSERT_NE(EndingIn(begun.step), nullptr);
  EXPECT_EQ(EndingIn(begun.step)->reason, FailureReason::kNotConfigured);
  EXPECT_TRUE(EndingIn(begun.step)->is_not_run);
  EXPECT_TRUE(EndingIn(begun.step)->retry_after);
}

TEST_F(RequestPathTest, AMissingRouteIsDeniedOnlyWhileTheNewsIsFresh) {
  Configure(RequestKind::kIdempotent);
  const CallerRequest request{.host = "other", .target = "/"};

  EXPECT_EQ(EndingIn(path_.Begin(request, kStart).step)->reason,
            FailureReason::kNoRoute);
  path_.SetConfigurationStale(true);
  EXPECT_EQ(EndingIn(path_.Begin(request, kStart).step)->reason,
            FailureReason::kNoRouteYet);
}

TEST_F(RequestPathTest, ATargetIsToldTheTimeThatIsLeftAndNeverMore) {
  Configure(RequestKind::kIdempotent);
  const RequestStart begun = Begin(milliseconds(900));
  const auto first = std::get<SendAttempt>(begun.step);
  EXPECT_LE(first.time_left, milliseconds(900));

  const Step step =
      path_.OnAttemptEnd(begun.ticket, first.attempt, AttemptEnd::kLost,
                         kStart + milliseconds(300));
  EXPECT_LE(std::get<SendAttempt>(step).time_left, milliseconds(600));
}

struct RepeatCase {
  std::string name;
  RequestKind kind;
  AttemptEnd end;
  bool is_sent_again;
  bool is_not_run;  ///< When it is not sent again.
};

class RepeatTable : public RequestPathTest,
                    public testing::WithParamInterface<RepeatCase> {};

// A send ends without an answer to pass on. What may be repeated is sent to
// another target; what may not be, only when it is proved that it did not run;
// and "not run" is said only when that is proved.
TEST_P(RepeatTable, SendsAgainOnlyWhatMayRunAgain) {
  Configure(GetParam().kind);
  const RequestStart begun = Begin();
  const auto first = std::get<SendAttempt>(begun.step);

  const Step step =
      path_.OnAttemptEnd(begun.ticket, first.attempt, GetParam().end, kStart);

  const auto* const again = std::get_if<SendAttempt>(&step);
  EXPECT_EQ(again != nullptr, GetParam().is_sent_again);
  if (again != nullptr) {
    EXPECT_NE(again->target, first.target);
  }
  if (const RequestFailure* const ending = EndingIn(step)) {
    EXPECT_EQ(ending->is_not_run, GetParam().is_not_run);
    EXPECT_EQ(path_.InFlight(), 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RepeatTable,
    testing::Values(RepeatCase{"OrderNotRun", RequestKind::kNonIdempotent,
                               AttemptEnd::kNotRun, true, true},
                    RepeatCase{"OrderNeverSent", RequestKind::kNonIdempotent,
                               AttemptEnd::kNeverSent, true, true},
                    RepeatCase{"OrderOtherTarget", RequestKind::kNonIdempotent,
                               AttemptEnd::kWrongTarget, true, true},
                    RepeatCase{"OrderLost", RequestKind::kNonIdempotent,
                               AttemptEnd::kLost, false, false},
                    RepeatCase{"OrderTimedOut", RequestKind::kNonIdempotent,
                               AttemptEnd::kTimedOut, false, false},
                    RepeatCase{"LookupLost", RequestKind::kIdempotent,
                               AttemptEnd::kLost, true, false},
                    RepeatCase{"LookupNotRun", RequestKind::kIdempotent,
                               AttemptEnd::kNotRun, true, true}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(RequestPathTest, AnOrdersFailureIsPassedOnAsTheTargetGaveIt) {
  Configure(RequestKind::kNonIdempotent);
  const RequestStart begun = Begin();

  const Step step =
      path_.OnAttemptEnd(begun.ticket, 1, AttemptEnd::kTargetFailed, kStart);

  EXPECT_EQ(std::get<PassOn>(step).attempt, 1U);
}

// All targets refuse, one after the other: the caller gets its refusal after
// as many targets as its route allows, and it is true.
TEST_F(RequestPathTest, NoMoreTargetsThanTheRouteAllows) {
  Configure(RequestKind::kIdempotent, 5, 3);
  RequestStart begun = Begin();
  Step step = begun.step;
  int sends = 0;
  while (const auto* const send = std::get_if<SendAttempt>(&step)) {
    ++sends;
    step = path_.OnAttemptEnd(begun.ticket, send->attempt, AttemptEnd::kNotRun,
                              kStart);
  }

  EXPECT_EQ(sends, 3);
  EXPECT_EQ(EndingIn(step)->reason, FailureReason::kRetriesExhausted);
  EXPECT_TRUE(EndingIn(step)->is_not_run);
}

TEST_F(RequestPathTest, ASlowLookUpIsTriedBesideAndTheFirstAnswerCounts) {
  Configure(RequestKind::kIdempotent);
  const RequestStart begun = Begin();
  ASSERT_TRUE(std::get<SendAttempt>(begun.step).hedge_after);

  const Step beside = path_.OnSlow(begun.ticket, kStart + milliseconds(600));
  ASSERT_TRUE(std::holds_alternative<SendAttempt>(beside));
  const Step step = path_.OnAttemptEnd(begun.ticket, 2, AttemptEnd::kAnswered,
                                       kStart + milliseconds(800));

  const auto& pass_on = std::get<PassOn>(step);
  EXPECT_EQ(pass_on.attempt, 2U);
  EXPECT_EQ(pass_on.abandoned, std::vector<AttemptNumber>{1});
}

TEST_F(RequestPathTest, AnOrderIsNeverTriedBeside) {
  Configure(RequestKind::kNonIdempotent);
  const RequestStart begun = Begin();

  EXPECT_FALSE(std::get<SendAttempt>(begun.step).hedge_after);
}

TEST_F(RequestPathTest, ATimeoutWhileATargetHasItSaysNothingOfNotRun) {
  Configure(RequestKind::kNonIdempotent);
  const RequestStart begun = Begin();

  const RequestFailure ending =
      path_.OnTimeout(begun.ticket, kStart + seconds(2));

  EXPECT_EQ(ending.reason, FailureReason::kTimedOut);
  EXPECT_FALSE(ending.is_not_run);
}

// Demand passes what the targets bear for a while. Those that would wait
// longer than their objective allows are refused on arrival, with a time to
// come back; those that are taken are not held up by them.
TEST_F(RequestPathTest, SaturationRefusesOnArrivalWithATimeToComeBack) {
  Configure(RequestKind::kIdempotent, 2);
  int taken = 0;
  const RequestFailure* refused = nullptr;
  Step step;
  while (taken < 100) {
    step = Begin().step;
    refused = EndingIn(step);
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

TEST_F(RequestPathTest, WhatCannotEndInTimeIsRefusedOnArrival) {
  Configure(RequestKind::kIdempotent);

  EXPECT_EQ(EndingIn(Begin(milliseconds(5)).step)->reason,
            FailureReason::kDeadlineUnreachable);
}

// A route was added with a time limit below what cold work takes, and nothing
// of it is warm yet. Its callers must be tried: refused, nothing would ever get
// warm, and the route would serve nobody.
TEST_F(RequestPathTest, ARouteWithAShortLimitIsTriedThoughNothingIsWarm) {
  is_sticky_ = false;
  Configure(RequestKind::kIdempotent);
  const RequestStart begun = Begin(milliseconds(300));

  ASSERT_TRUE(std::holds_alternative<SendAttempt>(begun.step));
  EXPECT_GT(std::get<SendAttempt>(begun.step).placement.expected,
            milliseconds(300));
}

TEST_F(RequestPathTest, ACallerThatLeavesFreesItsPlace) {
  Configure(RequestKind::kIdempotent, 1);
  const RequestStart begun = Begin();
  path_.OnCallerGone(begun.ticket);

  EXPECT_EQ(path_.InFlight(), 0U);
  EXPECT_EQ(book_.Find({TargetName("t0")})->OwnOutstanding(), 0U);
}

// A blocked request is refused as not run with a retry time, while other
// requests of the route are served.
TEST_F(RequestPathTest, ABlockedRequestIsRefusedAndOthersAreServed) {
  Configure(RequestKind::kIdempotent, 5);
  const auto crashing = RequestFingerprint::Of({"crash"});
  const auto ask = [&](RequestFingerprint fingerprint) {
    return path_.Begin(
        {.host = "h", .target = "/x", .fingerprint = fingerprint}, kStart);
  };
  for (std::uint32_t target = 1; target <= 3; ++target) {
    path_.Crashes().OnCrash(crashing, TargetNumber{target}, kStart);
  }
  const RequestStart blocked = ask(crashing);
  ASSERT_NE(EndingIn(blocked.step), nullptr);
  EXPECT_EQ(EndingIn(blocked.step)->reason, FailureReason::kRequestBlocked);
  EXPECT_TRUE(EndingIn(blocked.step)->is_not_run);
  EXPECT_GT(EndingIn(blocked.step)->retry_after, Duration(seconds(1)));
  const RequestStart other = ask(RequestFingerprint::Of({"other"}));
  EXPECT_TRUE(std::holds_alternative<SendAttempt>(other.step));
}

// A server error, which a target may send without running the request, must
// not reset the crash count of a request that crashes targets.
TEST_F(RequestPathTest, AServerErrorDoesNotClearARequestThatCrashesTargets) {
  Configure(RequestKind::kIdempotent, 5);
  const auto crashing = RequestFingerprint::Of({"crash"});
  for (std::uint32_t target = 1; target <= 3; ++target) {
    const RequestStart begun = path_.Begin(
        {.host = "h", .target = "/x", .fingerprint = crashing}, kStart);
    static_cast<void>(
        path_.OnAttemptEnd(begun.ticket, 1, AttemptEnd::kTargetFailed, kStart));
    path_.Crashes().OnReport(
        {.request = crashing, .target = TargetNumber{target}}, kStart);
  }
  EXPECT_TRUE(path_.Crashes().BlockedFor(crashing, kStart).has_value());
}

// A request that is blocked while a target runs it must not be retried, and
// must not be reported as not run.
TEST_F(RequestPathTest, ARequestBlockedInFlightIsNotSentAgain) {
  Configure(RequestKind::kIdempotent, 5);
  const auto crashing = RequestFingerprint::Of({"crash"});
  const RequestStart begun = path_.Begin(
      {.host = "h", .target = "/x", .fingerprint = crashing}, kStart);
  for (std::uint32_t target = 1; target <= 3; ++target) {
    path_.Crashes().OnReport(
        {.request = crashing, .target = TargetNumber{target}}, kStart);
  }
  EXPECT_TRUE(std::holds_alternative<AwaitAttempt>(
      path_.OnSlow(begun.ticket, kStart + seconds(1))));
  const Step step = path_.OnAttemptEnd(begun.ticket, 1, AttemptEnd::kLost,
                                       kStart + seconds(1));
  ASSERT_NE(EndingIn(step), nullptr);
  EXPECT_EQ(EndingIn(step)->reason, FailureReason::kRequestBlocked);
  EXPECT_FALSE(EndingIn(step)->is_not_run);
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
