#include <gtest/gtest.h>

#include <variant>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {
namespace {

using quota::Admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");
const ClientAccountName kSchools("schools");

class NullObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

/// A quota with a number of tokens that the test sets.
class FakeGate final : public quota::QuotaGate {
 public:
  quota::AdmissionResult Admit(const routing::ClientAccount& /*account*/,
                               MonotonicTime now) override {
    return TakeOr(when_empty, now);
  }
  quota::AdmissionResult AdmitWaiting(const routing::ClientAccount& /*account*/,
                                      MonotonicTime now) override {
    return TakeOr(Admission::kWaiting, now);
  }
  Admission EndWait(const routing::ClientAccount& /*account*/,
                    MonotonicTime /*now*/) override {
    ++ended_waits;
    return Admission::kExhausted;
  }
  void GiveBack(const routing::ClientAccount& /*account*/,
                MonotonicTime /*valid_until*/,
                MonotonicTime /*now*/) override {
    ++tokens;
  }
  [[nodiscard]] Duration TimeToRetry(const routing::ClientAccount& /*account*/,
                                     MonotonicTime /*now*/) const override {
    return seconds(1);
  }

  int tokens = 0;
  int ended_waits = 0;
  Admission when_empty = Admission::kWaiting;

 private:
  quota::AdmissionResult TakeOr(Admission otherwise, MonotonicTime now) {
    if (tokens == 0) {
      return {.admission = otherwise};
    }
    --tokens;
    return {.admission = Admission::kAdmitted,
            .token_valid_until = now + seconds(1)};
  }
};

class RequestPathQuotaTest : public testing::Test {
 protected:
  RequestPathQuotaTest() {
    routes_.Apply(
        {.version = 1,
         .routes = {{.name = "r",
                     .host = "h",
                     .path_prefix = "/",
                     .kind = routing::RequestKind::kNonIdempotent,
                     .timeout = seconds(2),
                     .latency_objective = milliseconds(500),
                     .weighted_services = {{.service = kService}}}},
         .accounts = {{.name = kSchools,
                       .keys = {routing::ApiKeyDigest::Of("key")},
                       .quota = {.requests_per_second = 10, .burst = 10}}}});
    path_.EnforceQuotas(gate_);
    AddTarget();
  }

  void AddTarget() {
    directory_.ReplaceAll(
        std::vector<TargetRecord>{{.id = TargetName("t"),
                                   .service = kService,
                                   .address = "127.0.0.1:80",
                                   .domain = FailureDomainName("d"),
                                   .slots = 3}},
        {}, std::nullopt, kStart);
  }

  RequestStart Begin() {
    return path_.Begin({.host = "h",
                        .target = "/x",
                        .api_key = routing::ApiKeyDigest::Of("key")},
                       kStart);
  }

  NullObserver observer_;
  fakes::SeededRandom random_{1};
  routing::RouteTable routes_;
  FakeGate gate_;
  TargetDirectory directory_{{{FailureDomainName("d"), RegionName("here")}},
                             observer_};
  RequestPath path_{{.own_region = RegionName("here")},
                    routes_,
                    directory_,
                    random_};
};

TEST_F(RequestPathQuotaTest, ARequestOverTheQuotaIsRefusedWithATimeToRetry) {
  gate_.when_empty = Admission::kExhausted;
  const auto failure = std::get<RequestFailure>(Begin().step);
  EXPECT_EQ(failure.reason, FailureReason::kQuotaExceeded);
  EXPECT_TRUE(failure.is_not_run);
  EXPECT_GT(*failure.retry_after, Duration(0));
}

TEST_F(RequestPathQuotaTest, AHostThatCannotFindOutDoesNotBlameTheCaller) {
  gate_.when_empty = Admission::kUnknown;
  EXPECT_EQ(std::get<RequestFailure>(Begin().step).reason,
            FailureReason::kQuotaUnknown);
}

TEST_F(RequestPathQuotaTest, WaitingRequestsAreSentInOrderAsTokensArrive) {
  const RequestStart first = Begin();
  const RequestStart second = Begin();
  ASSERT_TRUE(std::holds_alternative<AwaitToken>(second.step));
  gate_.tokens = 1;

  const auto steps = path_.OnTokens(kSchools, kStart);

  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].first, first.ticket);
  EXPECT_TRUE(std::holds_alternative<SendAttempt>(steps[0].second));
  EXPECT_EQ(path_.InFlight(), 2U);
}

// Guards against a request that is forgotten, or whose caller is told that it
// may have run, when its wait for a token ends.
TEST_F(RequestPathQuotaTest, ARequestThatWaitedInVainIsRefusedAsNotRun) {
  const RequestStart start = Begin();
  const Step step =
      path_.OnTokenWaitOver(start.ticket, kStart + milliseconds(400));
  EXPECT_TRUE(std::get<RequestFailure>(step).is_not_run);
  EXPECT_EQ(gate_.ended_waits, 1);
  EXPECT_EQ(path_.InFlight(), 0U);

  const RequestStart timed_out = Begin();
  EXPECT_TRUE(path_.OnTimeout(timed_out.ticket, kStart).is_not_run);
  const RequestStart abandoned = Begin();
  path_.OnCallerGone(abandoned.ticket, kStart);
  EXPECT_EQ(gate_.ended_waits, 3);
}

// A request that is proven not to have run does not count against the quota.
TEST_F(RequestPathQuotaTest, ARequestThatDidNotRunGivesItsTokenBack) {
  gate_.tokens = 1;
  const RequestStart refused = Begin();
  (void)path_.OnAttemptEnd(refused.ticket, 1, AttemptEnd::kNotRun, kStart);
  EXPECT_EQ(gate_.tokens, 1);

  directory_.ReplaceAll({}, {}, std::nullopt, kStart);
  EXPECT_EQ(std::get<RequestFailure>(Begin().step).reason,
            FailureReason::kNoTarget);
  EXPECT_EQ(gate_.tokens, 1);

  AddTarget();
  const RequestStart lost = Begin();
  (void)path_.OnAttemptEnd(lost.ticket, 1, AttemptEnd::kLost, kStart);
  EXPECT_EQ(gate_.tokens, 0);
}

}  // namespace
}  // namespace medlarcroft::request_path
