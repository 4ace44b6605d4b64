#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {
namespace {

using routing::RequestKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("market");

class NullObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

/// @brief One host, one target, and routes of one service: an urgent one with a
/// short latency objective, and another one.
class RequestPathAdmissionTest : public testing::Test {
 protected:
  void Configure(int urgent_priority, int other_priority) {
    routes_.Apply(
        {.version = 1,
         .routes = {RouteOf("urgent", urgent_priority, milliseconds(800)),
                    RouteOf("other", other_priority, milliseconds(1500))}});
    directory_.ReplaceAll({{TargetRecord{.id = TargetName("t"),
                                         .service = kService,
                                         .address = "127.0.0.1:8000",
                                         .domain = FailureDomainName("d"),
                                         .slots = 9}}},
                          {}, std::nullopt, kStart);
  }

  static routing::Route RouteOf(const std::string& name,
                                int priority,
                                Duration objective) {
    return {.name = name,
            .host = "h",
            .path_prefix = "/" + name + "/",
            .kind = RequestKind::kIdempotent,
            .timeout = seconds(2),
            .latency_objective = objective,
            .max_attempts = 2,
            .priority = priority,
            .weighted_services = {{.service = kService}}};
  }

  /// @brief Sends requests of both routes in turn while the target reports its
  /// load.
  /// @return the admitted fractions of the urgent route and of the other one.
  std::pair<double, double> AdmittedAt(std::uint32_t waiting) {
    int admitted[2] = {0, 0};
    constexpr int kRequests = 100;
    for (int request = 0; request < kRequests; ++request) {
      const MonotonicTime now = now_ += milliseconds(20);
      path_.OnReport(TargetIdentity{.name = TargetName("t")},
                     {.running = 9, .waiting = waiting, .slots = 9}, now);
      for (const int route : {0, 1}) {
        const RequestStart start =
            path_.Begin({.host = "h",
                         .target = route == 0 ? "/urgent/x" : "/other/x",
                         .time_left = seconds(5)},
                        now);
        if (start.ticket != 0) {
          ++admitted[route];
          path_.OnCallerGone(start.ticket, now);
        } else {
          last_failure_ = std::get<RequestFailure>(start.step);
        }
      }
    }
    return {admitted[0] / static_cast<double>(kRequests),
            admitted[1] / static_cast<double>(kRequests)};
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
  RequestFailure last_failure_;
  MonotonicTime now_ = kStart;
};

// Guards against a less urgent route with a long latency objective that is
// admitted while an urgent one is refused.
TEST_F(RequestPathAdmissionTest, UrgentRouteIsAdmittedLongerThanTheOtherOne) {
  Configure(0, 2);
  bool saw_only_urgent = false;
  for (std::uint32_t waiting = 0; waiting <= 27; waiting += 3) {
    const auto [urgent, other] = AdmittedAt(waiting);
    EXPECT_GE(urgent, other - 0.05) << waiting << " requests wait";
    saw_only_urgent = saw_only_urgent || urgent > other + 0.5;
  }
  EXPECT_TRUE(saw_only_urgent);
}

// Guards against a change for routes of equal priority.
TEST_F(RequestPathAdmissionTest, EqualPrioritiesWaitByTheirOwnObjectives) {
  Configure(1, 1);
  bool saw_only_other = false;
  for (std::uint32_t waiting = 0; waiting <= 27; waiting += 3) {
    const auto [urgent, other] = AdmittedAt(waiting);
    saw_only_other = saw_only_other || other > urgent + 0.5;
  }
  EXPECT_TRUE(saw_only_other);
}

// Guards against a time to return for which no caller waits: a third of its
// five seconds is the longest one.
TEST_F(RequestPathAdmissionTest, RefusalStatesTheLimitAndATimeWorthWaitingFor) {
  Configure(0, 2);
  (void)AdmittedAt(27);

  EXPECT_EQ(last_failure_.reason, FailureReason::kOverloaded);
  EXPECT_TRUE(last_failure_.is_not_run);
  ASSERT_TRUE(last_failure_.limit);
  EXPECT_EQ(last_failure_.limit->priority, 2);
  ASSERT_TRUE(last_failure_.retry_after);
  EXPECT_GE(*last_failure_.retry_after, milliseconds(100));
  EXPECT_LE(*last_failure_.retry_after, milliseconds(1667));
}

// Guards against callers who wait for room although only their request's
// target rejected it, and the others have free slots.
TEST_F(RequestPathAdmissionTest,
       RejectedRequestMayReturnAtOnceWhereRoomIsFree) {
  routes_.Apply(
      {.version = 1, .routes = {RouteOf("urgent", 0, milliseconds(800))}});
  constexpr int kTargets = 6;
  std::vector<TargetRecord> records;
  records.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    records.push_back({.id = TargetName("t" + std::to_string(i)),
                       .service = kService,
                       .address = "127.0.0.1:" + std::to_string(8000 + i),
                       .domain = FailureDomainName("d"),
                       .slots = 9});
  }
  directory_.ReplaceAll(records, {}, std::nullopt, kStart);

  RequestStart start =
      path_.Begin({.host = "h", .target = "/urgent/x"}, kStart);
  Step step = start.step;
  while (const auto* const send = std::get_if<SendAttempt>(&step)) {
    step = path_.OnAttemptEnd(start.ticket, send->attempt, AttemptEnd::kNotRun,
                              kStart);
  }
  const auto& failure = std::get<RequestFailure>(step);
  EXPECT_EQ(failure.reason, FailureReason::kRetriesExhausted);
  ASSERT_TRUE(failure.retry_after);
  EXPECT_GE(*failure.retry_after, milliseconds(20));
  EXPECT_LE(*failure.retry_after, milliseconds(100));
}

}  // namespace
}  // namespace medlarcroft::request_path
