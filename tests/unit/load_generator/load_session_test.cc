#include "medlarcroft/load_generator/load_session.h"

#include <gtest/gtest.h>

#include <set>

#include "fakes/seeded_random.h"
#include "unit/load_generator/fake_deployment.h"

namespace medlarcroft::load_generator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LoadPlan MakePlan() {
  return {.duration = seconds(10),
          .classes = {{.service = "lookup-desk", .rate = 50},
                      {.service = "swap-ledger",
                       .rate = 5,
                       .method = "POST",
                       .body_bytes = 100,
                       .needs_key = true}},
          .brands = {{.brand = "uwimana"}}};
}

class LoadSessionTest : public testing::Test {
 protected:
  LoadReport Run() {
    LoadSession session(plan_, {.lookup_urls = {"http://10.9.9.9:1"}},
                        arrivals_, choices_, deployment_, clock_.Now());
    deployment_.Drive(session);
    return session.Statistics().MakeReport("run", session.Auditor(),
                                           deployment_.Audit());
  }

  LoadPlan plan_ = MakePlan();
  fakes::ManualClock clock_;
  fakes::SeededRandom arrivals_{11};
  fakes::SeededRandom choices_{12};
  FakeDeployment deployment_{clock_};
};

TEST_F(LoadSessionTest, HealthyDeploymentPasses) {
  const LoadReport report = Run();

  EXPECT_EQ(report.verdict, Verdict::kPass) << FormatReportText(report);
  EXPECT_EQ(report.checks.Faults(), 0U);
  EXPECT_NEAR(static_cast<double>(report.classes[0].counts.intended), 500, 80);
  EXPECT_NEAR(static_cast<double>(report.classes[1].counts.intended), 50, 25);
  for (const ClassReport& row : report.classes) {
    EXPECT_EQ(row.counts.ran, row.counts.intended);
    EXPECT_NEAR(row.latency.p50_ms, 5, 1);
  }
}

// Runs are compared with each other, so a system that refuses more requests
// must not receive fewer of them.
TEST_F(LoadSessionTest, ArrivalsDoNotDependOnResponses) {
  const LoadReport good = Run();
  arrivals_ = fakes::SeededRandom(11);
  deployment_.refuses = [](std::uint64_t attempt) { return attempt % 3 == 0; };
  const LoadReport refusing = Run();
  for (std::size_t i = 0; i < good.classes.size(); ++i) {
    EXPECT_EQ(good.classes[i].counts.intended,
              refusing.classes[i].counts.intended);
  }
}

TEST_F(LoadSessionTest, LooksUpOncePerTtl) {
  Run();
  // Two subjects, 10 s, a TTL of 5 s.
  EXPECT_GE(deployment_.lookups.size(), 4U);
  EXPECT_LE(deployment_.lookups.size(), 6U);
}

TEST_F(LoadSessionTest, ChoosesEntryHostsByWeight) {
  Run();
  double first = 0;
  for (const OutgoingRequest& attempt : deployment_.attempts) {
    first += attempt.url.find("10.0.0.1:") != std::string::npos ? 1 : 0;
  }
  EXPECT_NEAR(first / static_cast<double>(deployment_.attempts.size()), 0.75,
              0.06);
}

TEST_F(LoadSessionTest, EachKeyedRequestHasItsOwnKeyAndNewConnection) {
  const LoadReport report = Run();
  std::set<std::string> keys;
  for (const auto& [name, count] : deployment_.runs) {
    if (!name.first.empty()) {
      keys.insert(name.first);
    }
  }
  EXPECT_EQ(keys.size(), report.classes[1].counts.intended);
  for (const OutgoingRequest& attempt : deployment_.attempts) {
    EXPECT_EQ(attempt.needs_fresh_connection, attempt.method == "POST");
  }
}

// Guards against coordinated omission: a stall of 2 s delays every caller who
// arrives in that time, but a load generator that waits for each response
// before it sends the next request would record one slow request. Latency is
// therefore measured from the intended send time.
TEST_F(LoadSessionTest, StallCountsForEveryDelayedRequest) {
  plan_.classes.resize(1);
  plan_.classes[0].deadline = seconds(5);
  LoadSession session(plan_, {.lookup_urls = {"http://10.9.9.9:1"}}, arrivals_,
                      choices_, deployment_, clock_.Now());
  // The load generator itself is paused: the arrivals of 2 s are due at once.
  clock_.Advance(seconds(2));
  deployment_.Drive(session);
  const LoadReport report =
      session.Statistics().MakeReport("run", session.Auditor(), std::nullopt);

  // A fifth of the requests were delayed, evenly between 0 and 2 s.
  EXPECT_LT(report.classes[0].latency.p50_ms, 10);
  EXPECT_NEAR(report.classes[0].latency.p90_ms, 1000, 300);
  EXPECT_NEAR(report.classes[0].latency.p99_ms, 1900, 200);
}

TEST_F(LoadSessionTest, RetriesWithTheSameKeyAfterRetryAfter) {
  plan_.classes.erase(plan_.classes.begin());
  plan_.classes[0].deadline = seconds(20);
  deployment_.refuses = [](std::uint64_t attempt) { return attempt == 1; };
  deployment_.retry_after_s = 3;
  const LoadReport report = Run();

  EXPECT_EQ(report.classes[0].counts.ran, report.classes[0].counts.intended);
  EXPECT_EQ(report.classes[0].retries, 1U);
  const std::string url = deployment_.attempts.front().url;
  const std::string path = url.substr(url.rfind('/'));
  std::vector<MonotonicTime> times;
  for (std::size_t i = 0; i < deployment_.attempts.size(); ++i) {
    if (deployment_.attempts[i].url.ends_with(path)) {
      times.push_back(deployment_.attempt_times[i]);
    }
  }
  ASSERT_EQ(times.size(), 2U);
  EXPECT_GE(times[1] - times[0], seconds(3));
  EXPECT_EQ(report.classes[0].causes.at("no-share"), 1U);
}

TEST_F(LoadSessionTest, UnreachableHostCostsOneAttemptButNotTheRequest) {
  deployment_.unreachable_address = "10.0.0.1:80";
  const LoadReport report = Run();
  EXPECT_EQ(report.classes[0].counts.ran, report.classes[0].counts.intended);
  EXPECT_GT(report.classes[0].causes.at("never-sent"), 100U);
}

TEST_F(LoadSessionTest, RefusalsOverTheLimitFailTheRun) {
  plan_.classes.resize(1);
  plan_.classes[0].max_attempts = 1;
  plan_.classes[0].max_refused_ratio = 0.2;
  deployment_.refuses = [](std::uint64_t attempt) { return attempt % 2 == 0; };
  const LoadReport report = Run();
  EXPECT_EQ(report.verdict, Verdict::kOverLimit);
  EXPECT_EQ(report.services_over_limit,
            std::vector<std::string>{"lookup-desk"});
}

TEST_F(LoadSessionTest, InFlightIsBounded) {
  plan_.classes.resize(1);
  plan_.max_in_flight = 3;
  deployment_.latency = seconds(1);
  plan_.classes[0].deadline = seconds(10);
  const LoadReport report = Run();
  EXPECT_GT(report.classes[0].counts.unsent, 300U);
  EXPECT_GT(report.classes[0].counts.ran, 20U);
}

struct InjectedFault {
  std::string name;
  bool FakeDeployment::*fault;
  std::uint64_t CheckReport::*counter;
};

class InjectedFaults : public LoadSessionTest,
                       public testing::WithParamInterface<InjectedFault> {};

// Callers can't detect these faults by the status of a response. The load
// generator detects them by the echoed values, an incomplete response, a
// missing Medlar-Outcome header or the targets' lists of runs.
TEST_P(InjectedFaults, AreDetected) {
  deployment_.*GetParam().fault = true;
  deployment_.refuses = [](std::uint64_t attempt) { return attempt % 10 == 0; };
  plan_.classes[0].max_attempts = 1;
  plan_.classes[1].max_attempts = 1;
  const LoadReport report = Run();

  EXPECT_EQ(report.verdict, Verdict::kFault);
  EXPECT_GT(report.checks.*GetParam().counter, 0U) << FormatReportText(report);
  EXPECT_EQ(report.checks.*GetParam().counter, report.checks.Faults());
  EXPECT_FALSE(report.checks.examples.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    InjectedFaults,
    testing::Values(
        InjectedFault{"RunTwice", &FakeDeployment::runs_twice,
                      &CheckReport::double_runs},
        InjectedFault{"SwappedResponse", &FakeDeployment::swaps_responses,
                      &CheckReport::crossed},
        InjectedFault{"TruncatedResponse", &FakeDeployment::truncates_responses,
                      &CheckReport::truncated},
        InjectedFault{"FalseNotRun", &FakeDeployment::runs_refused_requests,
                      &CheckReport::false_not_run},
        InjectedFault{"MissingOutcome", &FakeDeployment::omits_outcome,
                      &CheckReport::missing_outcome}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::load_generator
