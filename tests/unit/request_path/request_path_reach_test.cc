#include <gtest/gtest.h>

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
const ServiceName kService("desk");
const RegionName kHere("here");
const RegionName kThere("there");

class NullObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange, const TargetRecord&) override {}
};

/// @brief A host with two targets in each of two regions.
class CutOffPathTest : public testing::Test {
 protected:
  CutOffPathTest() {
    std::vector<TargetRecord> records;
    for (const RegionName& region : {kHere, kThere}) {
      for (const char* const number : {"1", "2"}) {
        records.push_back({.id = TargetName(region.Value() + number),
                           .service = kService,
                           .address = "127.0.0.1:80",
                           .domain = FailureDomainName(region.Value()),
                           .slots = 3});
      }
    }
    directory_.ReplaceAll(records, {}, std::nullopt, kStart);
  }

  void Configure(RequestKind kind, std::vector<RegionName> regions = {}) {
    routes_.Apply({.version = ++version_,
                   .routes = {{.name = "r",
                               .host = "h",
                               .path_prefix = "/",
                               .kind = kind,
                               .timeout = seconds(2),
                               .latency_objective = milliseconds(500),
                               .max_attempts = 3,
                               .weighted_services = {{.service = kService}},
                               .allowed_regions = std::move(regions)}}});
  }
  RequestStart Begin() {
    return path_.Begin({.host = "h", .target = "/x", .object = "o"}, kStart);
  }
  Step End(const RequestStart& start, AttemptNumber attempt, AttemptEnd end) {
    return path_.OnAttemptEnd(start.ticket, attempt, end, kStart);
  }
  void CutOff() {
    for (const char* const target : {"here1", "here2"}) {
      path_.OnConnectFailed({.name = TargetName(target)}, kStart);
    }
    const FailureDomainName own_domain("here");
    for (const ReachCandidate& probe :
         path_.StartReachProbes(own_domain, kStart)) {
      path_.OnReachProbed(probe.target, false, kStart);
    }
    ASSERT_TRUE(path_.Reach().IsCutOff());
  }

  NullObserver observer_;
  fakes::SeededRandom random_{1};
  routing::RouteTable routes_;
  TargetDirectory directory_{{{FailureDomainName("here"), kHere},
                              {FailureDomainName("there"), kThere}},
                             observer_};
  RequestPath path_{
      {.own_region = kHere, .retry_limit = {.ratio = 0.2, .fixed = 50}},
      routes_,
      directory_,
      random_};
  std::uint64_t version_ = 0;
};

TEST_F(CutOffPathTest, SendsDirectlyWhileTargetsAreInReach) {
  Configure(RequestKind::kIdempotent);
  const RequestStart start = Begin();
  EXPECT_TRUE(std::get<SendAttempt>(start.step).helper_regions.empty());
}

struct HelperCase {
  const char* name = "";
  std::vector<RegionName> allowed;
  std::vector<RegionName> helpers;
};

class HelperRegionTable : public CutOffPathTest,
                          public testing::WithParamInterface<HelperCase> {};

// Guards against requests that pass through a region in which they may not be
// processed.
TEST_P(HelperRegionTable, HelperIsInAnAllowedRegion) {
  Configure(RequestKind::kIdempotent, GetParam().allowed);
  CutOff();
  const RequestStart start = Begin();
  EXPECT_EQ(std::get<SendAttempt>(start.step).helper_regions,
            GetParam().helpers);
}

INSTANTIATE_TEST_SUITE_P(
    Regions,
    HelperRegionTable,
    testing::Values(HelperCase{.name = "any", .helpers = {kHere, RegionName()}},
                    HelperCase{.name = "own_and_other",
                               .allowed = {kThere, kHere},
                               .helpers = {kHere, kThere}},
                    HelperCase{.name = "other_only",
                               .allowed = {kThere},
                               .helpers = {kThere}}),
    [](const auto& info) { return info.param.name; });

// Guards against counting all targets as failed after a cut, so that callers
// are refused although other hosts reach the targets.
TEST_F(CutOffPathTest, OwnFailuresCountAgainstNoTarget) {
  Configure(RequestKind::kIdempotent);
  const RequestStart start = Begin();
  CutOff();
  Step step = start.step;
  for (AttemptNumber attempt = 1; attempt <= 2; ++attempt) {
    step = End(start, attempt, AttemptEnd::kNeverSent);
    ASSERT_TRUE(std::holds_alternative<SendAttempt>(step));
    EXPECT_FALSE(std::get<SendAttempt>(step).helper_regions.empty());
  }
  for (const RegionTargets& region : directory_.Usable(kService)) {
    for (const TargetState* const target : region.targets) {
      EXPECT_FALSE(target->IsBackedOff(kStart));
    }
  }
}

// Guards against asking each target's helpers in turn when no host can help;
// the refusal is true.
TEST_F(CutOffPathTest, WithoutAHelperTheRequestIsRefusedAtOnce) {
  Configure(RequestKind::kNonIdempotent);
  CutOff();
  const RequestStart start = Begin();
  const Step step = End(start, 1, AttemptEnd::kNoHelper);
  ASSERT_TRUE(std::holds_alternative<RequestFailure>(step));
  const auto& failure = std::get<RequestFailure>(step);
  EXPECT_EQ(failure.reason, FailureReason::kTargetsOutOfReach);
  EXPECT_TRUE(failure.is_not_run);
  EXPECT_TRUE(failure.retry_after);
  EXPECT_EQ(path_.InFlight(), 0U);
}

// Guards against refusing all callers since a helper that is silent leaves the
// targets marked as failed.
TEST_F(CutOffPathTest, ASilentHelperCountsAgainstNoTarget) {
  Configure(RequestKind::kIdempotent);
  CutOff();
  for (int request = 0; request < 8; ++request) {
    (void)End(Begin(), 1, AttemptEnd::kHelperLost);
  }
  for (const RegionTargets& region : directory_.Usable(kService)) {
    for (const TargetState* const target : region.targets) {
      EXPECT_FALSE(target->IsBackedOff(kStart));
    }
  }
}

class LostAtHelperTable : public CutOffPathTest,
                          public testing::WithParamInterface<AttemptEnd> {};

// Guards against a second run of an order whose helper was lost.
TEST_P(LostAtHelperTable, AnOrderIsNotSentAgain) {
  Configure(RequestKind::kNonIdempotent);
  CutOff();
  const RequestStart start = Begin();
  const Step step = End(start, 1, GetParam());
  ASSERT_TRUE(std::holds_alternative<RequestFailure>(step));
  EXPECT_EQ(std::get<RequestFailure>(step).reason, FailureReason::kMayHaveRun);
  EXPECT_FALSE(std::get<RequestFailure>(step).is_not_run);
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         LostAtHelperTable,
                         testing::Values(AttemptEnd::kLost,
                                         AttemptEnd::kHelperLost,
                                         AttemptEnd::kTimedOut));

// As above, after an idempotent request whose first send was lost: the refusal
// must not state that it did not run.
TEST_F(CutOffPathTest, ARequestThatMayHaveRunIsNotRefusedAsNotRun) {
  Configure(RequestKind::kIdempotent);
  CutOff();
  const RequestStart start = Begin();
  ASSERT_TRUE(
      std::holds_alternative<SendAttempt>(End(start, 1, AttemptEnd::kLost)));
  const Step step = End(start, 2, AttemptEnd::kNoHelper);
  EXPECT_FALSE(std::get<RequestFailure>(step).is_not_run);
}

}  // namespace
}  // namespace medlarcroft::request_path
