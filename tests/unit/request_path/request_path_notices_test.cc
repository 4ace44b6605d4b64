#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");
const RegionName kHere("here");
const RegionName kThere("there");

class NullObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

/// @brief One host, with some targets in its region and some in another one.
class Host {
 public:
  Host(int here, int there, std::uint64_t seed = 1) : random_(seed) {
    routes_.Apply(
        {.version = 1,
         .routes = {{.name = "r",
                     .host = "h",
                     .path_prefix = "/",
                     .kind = routing::RequestKind::kIdempotent,
                     .timeout = seconds(2),
                     .latency_objective = milliseconds(500),
                     .max_attempts = 3,
                     .weighted_services = {{.service = kService}},
                     .is_sticky = true}},
         .services = {{.name = kService, .cold_requests_per_second = 4}}});
    for (int i = 0; i < here + there; ++i) {
      records_.push_back({.id = TargetName("t" + std::to_string(i)),
                          .service = kService,
                          .address = "127.0.0.1:" + std::to_string(8000 + i),
                          .domain = FailureDomainName(i < here ? "a" : "b"),
                          .slots = 3});
    }
    directory.ReplaceAll(records_, {}, std::nullopt, kStart);
  }

  [[nodiscard]] RequestStart Begin(MonotonicTime now,
                                   const std::string& object = "o") {
    return path.Begin({.host = "h", .target = "/x", .object = object}, now);
  }
  void AskForRest(const TargetIdentity& target,
                  Duration rest,
                  MonotonicTime now) {
    path.OnNotice(target, {.rest = rest}, "r-1", now);
  }
  void AskForRestEverywhere(Duration rest, MonotonicTime now) {
    for (const TargetRecord& record : records_) {
      AskForRest(record.Identity(), rest, now);
    }
  }

 private:
  NullObserver observer_;
  fakes::SeededRandom random_;
  routing::RouteTable routes_;
  std::vector<TargetRecord> records_;

 public:
  TargetDirectory directory{
      {{FailureDomainName("a"), kHere}, {FailureDomainName("b"), kThere}},
      observer_};
  RequestPath path{
      {.own_region = kHere, .retry_limit = {.ratio = 1, .fixed = 500}},
      routes_,
      directory,
      random_};
};

const SendAttempt& SentIn(const Step& step) {
  return std::get<SendAttempt>(step);
}

// A target turns an object's request away, and is the first choice for it.
TEST(RequestPathNoticesTest, ObjectIsServedElsewhereDuringTheRest) {
  Host host(4, 0);
  const RequestStart first = host.Begin(kStart);
  const TargetIdentity target = SentIn(first.step).target;
  host.AskForRest(target, seconds(3), kStart);
  Step step =
      host.path.OnAttemptEnd(first.ticket, 1, AttemptEnd::kNotRun, kStart);
  EXPECT_NE(SentIn(step).target, target);
  (void)host.path.OnAttemptEnd(first.ticket, 2, AttemptEnd::kAnswered, kStart);

  for (Duration at(0); at < seconds(3); at += milliseconds(100)) {
    const RequestStart start = host.Begin(kStart + at);
    EXPECT_NE(SentIn(start.step).target, target);
    step = host.path.OnSlow(start.ticket, kStart + at);
    if (const auto* const hedge = std::get_if<SendAttempt>(&step)) {
      EXPECT_NE(hedge->target, target);
    }
    (void)host.path.OnAttemptEnd(start.ticket, 1, AttemptEnd::kAnswered,
                                 kStart + at);
  }
}

// The answer may come for a request that has ended; it says the same about the
// target.
TEST(RequestPathNoticesTest, RequestThatAskedMayHaveEnded) {
  Host host(2, 0);
  const RequestStart start = host.Begin(kStart);
  const TargetIdentity target = SentIn(start.step).target;
  host.path.OnCallerGone(start.ticket, kStart);
  host.AskForRest(target, seconds(1), kStart);
  EXPECT_FALSE(host.path.MaySend(target, kStart));
  EXPECT_NE(SentIn(host.Begin(kStart).step).target, target);
}

// Guards against a rest that outlasts what was asked for: each of the requests
// under way counts as a failure, and many of them back the target off.
TEST(RequestPathNoticesTest, RefusalsDuringTheRestDoNotProlongIt) {
  Host host(1, 0);
  constexpr int kRequests = 12;
  std::vector<RequestStart> sent;
  sent.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    sent.push_back(host.Begin(kStart, std::to_string(i)));
  }
  const TargetIdentity target = SentIn(sent.front().step).target;
  for (const RequestStart& start : sent) {
    if (start.ticket == 0) {
      continue;
    }
    host.AskForRest(target, seconds(1), kStart);
    (void)host.path.OnAttemptEnd(start.ticket, 1, AttemptEnd::kNotRun, kStart);
  }
  EXPECT_TRUE(std::holds_alternative<SendAttempt>(
      host.Begin(kStart + milliseconds(1250)).step));
}

struct AllRestCase {
  std::string name;
  Duration rest{0};
  int callers = 40;
};

class AllRestTable : public testing::TestWithParam<AllRestCase> {};

// Every target asks for rest. Callers are told at once to return once the first
// target has rested, at different times.
TEST_P(AllRestTable, CallersReturnAfterTheShortestRest) {
  const Duration rest = GetParam().rest;
  Host host(3, 2);
  host.AskForRestEverywhere(rest + seconds(2), kStart);
  Host shortest(3, 2);
  shortest.AskForRestEverywhere(rest, kStart);
  std::set<Duration> returns;
  for (int i = 0; i < GetParam().callers; ++i) {
    const RequestStart start = shortest.Begin(kStart, std::to_string(i));
    const auto* const failure = std::get_if<RequestFailure>(&start.step);
    ASSERT_NE(failure, nullptr);
    EXPECT_EQ(failure->reason, FailureReason::kTargetsResting);
    EXPECT_TRUE(failure->is_not_run);
    ASSERT_TRUE(failure->retry_after);
    EXPECT_GE(*failure->retry_after, rest);
    returns.insert(*failure->retry_after);
  }
  EXPECT_EQ(shortest.path.InFlight(), 0U);
  EXPECT_GE(*returns.rbegin() - *returns.begin(), milliseconds(200));
  EXPECT_EQ(returns.size(), static_cast<std::size_t>(GetParam().callers));
}

INSTANTIATE_TEST_SUITE_P(All,
                         AllRestTable,
                         testing::Values(AllRestCase{"short",
                                                     milliseconds(200)},
                                         AllRestCase{"usual", seconds(3)},
                                         AllRestCase{"long", seconds(60)}),
                         [](const auto& info) { return info.param.name; });

// Retries end the same way, also those of a request that the last target turned
// away.
TEST(RequestPathNoticesTest, RetryIsRejectedOnceAllTargetsRest) {
  Host host(1, 0);
  const RequestStart start = host.Begin(kStart);
  host.AskForRest(SentIn(start.step).target, seconds(2), kStart);
  const Step step =
      host.path.OnAttemptEnd(start.ticket, 1, AttemptEnd::kNotRun, kStart);
  const auto& failure = std::get<RequestFailure>(step);
  EXPECT_EQ(failure.reason, FailureReason::kTargetsResting);
  EXPECT_TRUE(failure.is_not_run);
  EXPECT_GE(failure.retry_after, seconds(2));
}

// Guards against treating all targets at rest like a target that is missing.
TEST(RequestPathNoticesTest, OneTargetThatDoesNotRestServes) {
  Host host(2, 1);
  host.AskForRest({TargetName("t0")}, seconds(3), kStart);
  host.AskForRest({TargetName("t1")}, seconds(3), kStart);
  EXPECT_EQ(SentIn(host.Begin(kStart).step).region, kThere);
  host.path.OnNotice({TargetName("t2")}, {.is_leaving = true}, "r-2", kStart);
  EXPECT_EQ(std::get<RequestFailure>(host.Begin(kStart).step).reason,
            FailureReason::kTargetsResting);
}

TEST(RequestPathNoticesTest, AbsurdRestIsLimited) {
  Host host(1, 0);
  host.AskForRest({TargetName("t0")}, std::chrono::hours(1000), kStart);
  EXPECT_FALSE(
      host.path.MaySend({TargetName("t0")}, kStart + std::chrono::minutes(10)));
  EXPECT_TRUE(
      host.path.MaySend({TargetName("t0")}, kStart + std::chrono::minutes(11)));
  host.AskForRest({TargetName("t0")}, Duration(0),
                  kStart + std::chrono::minutes(11));
  EXPECT_TRUE(
      host.path.MaySend({TargetName("t0")}, kStart + std::chrono::minutes(11)));
}

// Guards against a rush on a target whose rest ends: hosts return at different
// times, and each sends one request until it is answered.
TEST(RequestPathNoticesTest, TargetIsNotRushedAfterItsRest) {
  constexpr int kHosts = 30;
  constexpr Duration kRest = seconds(2);
  std::set<Duration> returns;
  for (int i = 0; i < kHosts; ++i) {
    Host host(1, 0, static_cast<std::uint64_t>(i) + 1);
    host.AskForRest({TargetName("t0")}, kRest, kStart);
    Duration at = kRest - milliseconds(10);
    EXPECT_FALSE(host.path.MaySend({TargetName("t0")}, kStart + at));
    while (!host.path.MaySend({TargetName("t0")}, kStart + at)) {
      at += milliseconds(10);
    }
    returns.insert(at);

    int sent = 0;
    RequestTicket ticket = 0;
    for (int request = 0; request < 10; ++request) {
      const RequestStart start =
          host.Begin(kStart + at, std::to_string(request));
      sent += start.ticket == 0 ? 0 : 1;
      ticket = std::max(ticket, start.ticket);
    }
    EXPECT_EQ(sent, 1);
    (void)host.path.OnAttemptEnd(ticket, 1, AttemptEnd::kAnswered, kStart + at);
    EXPECT_NE(host.Begin(kStart + at, "a").ticket, 0U);
    EXPECT_NE(host.Begin(kStart + at, "b").ticket, 0U);
  }
  EXPECT_GE(returns.size(), 15U);
  EXPECT_LE(*returns.rbegin(), kRest + milliseconds(510));
}

// A cold target that has rested is still cold.
TEST(RequestPathNoticesTest, ColdTargetStaysWithinItsRateAfterItsRest) {
  Host host(1, 0);
  host.directory.Put({.id = TargetName("cold"),
                      .service = kService,
                      .address = "127.0.0.1:9000",
                      .domain = FailureDomainName("a"),
                      .slots = 3,
                      .cold_remaining = seconds(30)},
                     kStart);
  host.directory.Remove(TargetName("t0"), std::nullopt);
  host.AskForRest({TargetName("cold")}, seconds(1), kStart);
  const MonotonicTime later = kStart + milliseconds(1300);
  int sent = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestStart start = host.Begin(later, std::to_string(i));
    if (start.ticket != 0) {
      ++sent;
      (void)host.path.OnAttemptEnd(start.ticket, 1, AttemptEnd::kAnswered,
                                   later);
    }
  }
  EXPECT_EQ(sent, 4);
}

// Guards against a plan that counts on targets that rest: half of the region's
// slots are no room there, so requests move to the other region.
TEST(RequestPathNoticesTest, RestingTargetIsNoRoomInTheRegionPlan) {
  const auto share_there = [](bool has_rest) {
    Host host(4, 4);
    if (has_rest) {
      for (const char* const name : {"t0", "t1", "t2"}) {
        host.AskForRest({TargetName(name)}, seconds(60), kStart);
      }
    }
    int there = 0;
    for (int i = 0; i < 100; ++i) {
      const MonotonicTime now = kStart + milliseconds(200) * i;
      const RequestStart start = host.Begin(now, std::to_string(i));
      there += SentIn(start.step).region == kThere ? 1 : 0;
      (void)host.path.OnAttemptEnd(start.ticket, 1, AttemptEnd::kAnswered, now);
    }
    return there;
  };
  EXPECT_EQ(share_there(false), 0);
  EXPECT_GE(share_there(true), 30);
}

// Guards against a request being blamed for a target that leaves or refuses
// connections while it rests.
TEST(RequestPathNoticesTest, TargetThatRestsOrLeavesIsNoEvidenceOfACrash) {
  Host host(3, 0);
  host.AskForRest({TargetName("t0")}, seconds(1), kStart);
  host.path.OnNotice({TargetName("t1")}, {.is_leaving = true}, "r-1", kStart);
  EXPECT_TRUE(host.path.WantsNothing({TargetName("t0")}, kStart));
  EXPECT_FALSE(host.path.WantsNothing({TargetName("t0")}, kStart + seconds(2)));
  EXPECT_TRUE(host.path.WantsNothing({TargetName("t1")}, kStart + seconds(2)));
  EXPECT_FALSE(host.path.WantsNothing({TargetName("t2")}, kStart));
  EXPECT_FALSE(host.path.WantsNothing({TargetName("gone")}, kStart));
}

}  // namespace
}  // namespace medlarcroft::request_path
