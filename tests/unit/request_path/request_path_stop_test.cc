#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {
namespace {

using routing::RequestKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Duration kTimeout = seconds(4);
// From the stop of the host to its last responses.
constexpr Duration kStopTime = milliseconds(5200);
const ServiceName kService("desk");

class NullObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

/// @brief A host that stops at `kStart`.
class StoppingPath {
 public:
  explicit StoppingPath(RequestKind kind) {
    routes_.Apply({.version = 1,
                   .routes = {{.name = "r",
                               .host = "h",
                               .path_prefix = "/",
                               .kind = kind,
                               .timeout = kTimeout,
                               .latency_objective = milliseconds(500),
                               .max_attempts = 2,
                               .weighted_services = {{.service = kService}}}}});
    std::vector<TargetRecord> records;
    records.reserve(3);
    for (int i = 0; i < 3; ++i) {
      records.push_back({.id = TargetName("t" + std::to_string(i)),
                         .service = kService,
                         .address = "127.0.0.1:" + std::to_string(8000 + i),
                         .domain = FailureDomainName("d"),
                         .slots = 9});
    }
    directory_.ReplaceAll(records, {}, std::nullopt, kStart);
  }

  RequestStart Begin(MonotonicTime now) {
    return path_.Begin({.host = "h", .target = "/x", .object = "o"}, now);
  }
  /// @brief A target answers after `took`, shortly before the host stops.
  void Serve(Duration took) {
    const MonotonicTime begin = kStart - milliseconds(10) - took;
    const RequestStart start = Begin(begin);
    (void)path_.OnAttemptEnd(start.ticket, 1, AttemptEnd::kAnswered,
                             begin + took);
  }
  void Stop() { path_.AnswerBy(kStart + kStopTime); }
  RequestPath& Path() { return path_; }

 private:
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
};

struct LateCase {
  std::string name;
  std::optional<Duration> targets_take;  ///< nullopt: nobody knows.
  Duration arrives_after;                ///< The stop of the host.
  bool is_taken;
};

class LateRequestTable
    : public testing::TestWithParam<std::tuple<LateCase, RequestKind>> {};

// Guards against requests that a stopping host passes on and can't answer any
// more, and against refusing those that it can.
TEST_P(LateRequestTable, IsTakenOnlyIfItCanBeAnswered) {
  const auto& [late, kind] = GetParam();
  StoppingPath host(kind);
  if (late.targets_take) {
    host.Serve(*late.targets_take);
  }
  host.Stop();
  const MonotonicTime now = kStart + late.arrives_after;
  const RequestStart start = host.Begin(now);

  if (late.is_taken) {
    const auto* const sent = std::get_if<SendAttempt>(&start.step);
    ASSERT_NE(sent, nullptr);
    EXPECT_LE(now + start.time_left, kStart + kStopTime);
    EXPECT_LT(now + sent->time_left, kStart + kStopTime);
    return;
  }
  const auto* const failure = std::get_if<RequestFailure>(&start.step);
  ASSERT_NE(failure, nullptr);
  EXPECT_EQ(failure->reason, FailureReason::kHostDraining);
  EXPECT_TRUE(failure->is_not_run);
  EXPECT_EQ(failure->retry_after, kRetryAfterWhenLeaving);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LateRequestTable,
    testing::Combine(
        testing::Values(
            LateCase{"whole_time_left_unknown", {}, seconds(1), true},
            LateCase{"whole_time_left_slow", seconds(4), seconds(1), true},
            LateCase{"unknown", {}, milliseconds(1300), false},
            LateCase{"fast", milliseconds(300), milliseconds(2800), true},
            LateCase{"fast_near_the_end", milliseconds(300), seconds(5), false},
            LateCase{"two_seconds_early", seconds(2), milliseconds(2600), true},
            LateCase{"two_seconds_late", seconds(2), milliseconds(2800), false},
            LateCase{"slow", milliseconds(3500), milliseconds(1300), false},
            LateCase{"over", milliseconds(1), milliseconds(5300), false}),
        testing::Values(RequestKind::kIdempotent, RequestKind::kNonIdempotent)),
    [](const auto& tested) {
      return std::get<0>(tested.param).name +
             (std::get<1>(tested.param) == RequestKind::kIdempotent
                  ? "_idempotent"
                  : "_non_idempotent");
    });

// Guards against targets that were fast and hang now: what still waits at them
// tells it before any of it ends.
TEST(LateRequest, IsRefusedWhileOthersWaitForTooLong) {
  StoppingPath host(RequestKind::kIdempotent);
  host.Serve(milliseconds(300));
  (void)host.Begin(kStart - seconds(2));
  host.Stop();
  const RequestStart start = host.Begin(kStart + seconds(2));
  EXPECT_TRUE(std::holds_alternative<RequestFailure>(start.step));
}

// Guards against a longest time that is remembered for ever.
TEST(LateRequest, IsJudgedByRecentSendsOnly) {
  RecentLongest longest;
  longest.OnTook(seconds(3), kStart);
  longest.OnTook(seconds(1), kStart + seconds(20));
  EXPECT_EQ(longest.Longest(kStart + seconds(21)), Duration(seconds(3)));
  longest.OnTook(seconds(1), kStart + seconds(40));
  EXPECT_EQ(longest.Longest(kStart + seconds(41)), Duration(seconds(1)));
  EXPECT_EQ(longest.Longest(kStart + seconds(90)), std::nullopt);
}

// Guards against a repeat with more time than the host has left.
TEST(RequestInHand, IsRepeatedWithinTheTimeOfTheHost) {
  StoppingPath host(RequestKind::kIdempotent);
  const RequestStart start = host.Begin(kStart - milliseconds(100));
  host.Path().AnswerBy(kStart + seconds(2));
  const Step step = host.Path().OnAttemptEnd(start.ticket, 1, AttemptEnd::kLost,
                                             kStart + seconds(1));
  EXPECT_LE(std::get<SendAttempt>(step).time_left, seconds(1));
}

}  // namespace
}  // namespace medlarcroft::request_path
