#include "medlarcroft/request_path/placement_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const RegionName kNear("near");
const RegionName kFar("far");

class PlacementTest : public testing::Test {
 protected:
  PlacementTest() {
    distances_.OnConnected(kNear, milliseconds(1));
    distances_.OnConnected(kFar, milliseconds(100));
  }

  TargetState& Add(std::string_view id,
                   const RegionName& region,
                   std::uint32_t slots = 3) {
    targets_.push_back(std::make_unique<TargetState>(
        TargetRecord{.id = TargetName(id), .slots = slots}, region));
    pointers_.push_back(targets_.back().get());
    return *targets_.back();
  }

  std::optional<Placement> Choose(std::string_view object) {
    return ChooseTarget(GroupByRegion(pointers_),
                        {.object = ObjectKey(object),
                         .is_sticky = true,
                         .times = times_,
                         .mean_work = times_.MeanWork(),
                         .distances = distances_,
                         .loads = loads_,
                         .cold_send_limit = 1,
                         .excluded = excluded_,
                         .allowed_regions = allowed_,
                         .options = options_},
                        kStart);
  }

  /// @return an object whose order starts with the first target.
  std::string ObjectPreferringFirstTarget() {
    int number = 0;
    while (true) {
      std::string object = std::to_string(number++);
      const auto first = std::ranges::max_element(
          pointers_, {}, [&](const TargetState* target) {
            return target->OrderOf(ObjectKey(object));
          });
      if (first == pointers_.begin()) {
        return object;
      }
    }
  }

  RegionDistances distances_{kNear};
  RegionLoad loads_;
  PlacementOptions options_;
  ServiceTimes times_{milliseconds(600)};
  std::vector<std::unique_ptr<TargetState>> targets_;
  std::vector<TargetState*> pointers_;
  std::vector<TargetIdentity> excluded_;
  std::vector<RegionName> allowed_;
};

TEST_F(PlacementTest, ReturnsNothingWithoutTargets) {
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, ObjectStaysOnItsTargetWhileItHasFreeSlots) {
  for (int i = 0; i < 5; ++i) {
    Add("t" + std::to_string(i), kNear, 7);
  }
  const Placement first = *Choose("object");
  first.target->OnSent(ObjectKey("object"), kStart);

  for (int i = 0; i < 3; ++i) {
    const Placement next = *Choose("object");
    EXPECT_EQ(next.target, first.target);
    EXPECT_TRUE(next.is_warm);
    next.target->OnSent(ObjectKey("object"), kStart);
  }
}

// A region has filled up since this host received the last reports from its
// targets, except for one new report. The host must not assume that the other
// targets of the region are idle, or a request would wait behind the requests
// of all other hosts.
TEST_F(PlacementTest, OneReportUpdatesTheEstimatesOfTheWholeRegion) {
  TargetState& near = Add("near-1", kNear, 3);
  near.OnReport({.running = 2, .slots = 3}, kStart);
  loads_.OnReport(kNear, 2, kStart);
  for (int i = 0; i < 4; ++i) {
    Add("far-" + std::to_string(i), kFar, 3)
        .OnReport({.running = 0, .slots = 3}, kStart - seconds(6));
  }
  EXPECT_EQ(Choose("object")->target->Region(), kNear);
  loads_.OnReport(kFar, 12, kStart);
  const Placement chosen = *Choose("object");
  EXPECT_EQ(chosen.target->Region(), kNear);

  excluded_.push_back({TargetName("near-1")});
  EXPECT_GT(Choose("object")->expected_wait, milliseconds(100));
}

TEST(RegionLoadTest, FollowsReportsFromTheLastSecond) {
  RegionLoad loads;
  EXPECT_FALSE(loads.MeanOf(kNear));
  loads.OnReport(kNear, 0, kStart);
  EXPECT_EQ(loads.MeanOf(kNear), 0.0);
  for (int i = 1; i <= 30; ++i) {
    loads.OnReport(kNear, 9, kStart + milliseconds(100 * i));
  }
  EXPECT_GT(*loads.MeanOf(kNear), 8.0);
  EXPECT_FALSE(loads.MeanOf(kFar));
}

// All targets are full, and the first one has the requested object. A short
// wait there takes longer for the caller than a cold run in a slot that has
// just become free, but it is cheaper for all other requests: a cold run
// occupies that slot for three times as long.
TEST_F(PlacementTest, SaturatedServiceKeepsObjectsOnTheirTargets) {
  for (int i = 0; i < 4; ++i) {
    TargetState& target = Add("t" + std::to_string(i), kNear, 3);
    target.OnReport({.running = 3, .waiting = i == 0 ? 4U : 0U, .slots = 3},
                    kStart);
    target.OnSentByOtherHost(ObjectKey("some other object"));
  }
  const std::string object = ObjectPreferringFirstTarget();
  targets_[0]->OnSentByOtherHost(ObjectKey(object));
  options_.slot_cost_weight = 0;
  EXPECT_NE(Choose(object)->target, targets_[0].get());
  options_.slot_cost_weight = PlacementOptions().slot_cost_weight;
  EXPECT_EQ(Choose(object)->target, targets_[0].get());
}

TEST_F(PlacementTest, ObjectsSpreadOverAllTargets) {
  for (int i = 0; i < 6; ++i) {
    Add("t" + std::to_string(i), kNear);
  }
  std::set<const TargetState*> used;
  for (int object = 0; object < 60; ++object) {
    used.insert(Choose(std::to_string(object))->target);
  }
  EXPECT_EQ(used.size(), 6U);
}

// One object is requested far more often than one target's slots can handle.
// Its callers must not wait for the target that has it for longer than a cold
// run on an idle target would take.
TEST_F(PlacementTest, PopularObjectSpillsOverToOtherTargets) {
  for (int i = 0; i < 4; ++i) {
    Add("t" + std::to_string(i), kNear);
  }
  const Duration cold_run_on_idle_target =
      distances_.RoundTrip(kNear) + times_.Work(false);
  std::set<const TargetState*> used;
  for (int i = 0; i < 24; ++i) {
    const Placement placement = *Choose("popular");
    if (used.size() < 4) {
      EXPECT_LE(placement.expected, cold_run_on_idle_target);
    }
    placement.target->OnSent(ObjectKey("popular"), kStart);
    used.insert(placement.target);
  }
  EXPECT_EQ(used.size(), 4U);
}

TEST_F(PlacementTest, PrefersTheNearRegionUnlessItsWaitExceedsTheRoundTrip) {
  TargetState& near = Add("near", kNear);
  Add("far", kFar);
  EXPECT_EQ(Choose("x")->target, &near);

  for (int i = 0; i < 9; ++i) {
    near.OnSent(ObjectKey("y"), kStart);
  }
  EXPECT_EQ(Choose("x")->target->Region(), kFar);
}

TEST_F(PlacementTest, SkipsForbiddenRegionsAndExcludedTargets) {
  Add("near", kNear);
  Add("far", kFar);
  allowed_ = {kFar};
  EXPECT_EQ(Choose("x")->target->Region(), kFar);
  excluded_ = {{TargetName("far")}};
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, ColdTargetGetsNoMoreThanItsSendLimit) {
  TargetState& cold = Add("cold", kNear);
  cold.MarkCold(kStart + seconds(3));

  ASSERT_TRUE(Choose("x"));
  cold.OnSent(ObjectKey("x"), kStart);
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, BacksOffAfterTwoFailuresAndProbesWithOneRequest) {
  TargetState& target = Add("t", kNear);
  for (int i = 0; i < 2; ++i) {
    target.OnSent(ObjectKey("x"), kStart);
    target.OnEnded(AttemptEnd::kNeverSent, std::nullopt, kStart);
  }
  EXPECT_TRUE(target.IsBackedOff(kStart));
  EXPECT_FALSE(Choose("x"));

  const MonotonicTime later = kStart + seconds(1);
  EXPECT_FALSE(target.IsBackedOff(later));
  target.OnSent(ObjectKey("x"), later);
  EXPECT_TRUE(target.IsBackedOff(later));
  target.OnEnded(AttemptEnd::kAnswered, 1.0, later);
  EXPECT_FALSE(target.IsBackedOff(later));
}

TEST_F(PlacementTest, AvoidsASlowTarget) {
  TargetState& slow = Add("slow", kNear);
  TargetState& good = Add("good", kNear);
  for (int i = 0; i < 20; ++i) {
    slow.OnSent(ObjectKey(""), kStart);
    slow.OnEnded(AttemptEnd::kAnswered, 5.0, kStart);
  }
  for (int object = 0; object < 20; ++object) {
    EXPECT_EQ(Choose(std::to_string(object))->target, &good);
  }
}

TEST_F(PlacementTest, ReportedLoadFromOtherHostsDecays) {
  TargetState& target = Add("t", kNear);
  target.OnReport({.running = 3, .waiting = 4, .slots = 3}, kStart);

  EXPECT_NEAR(target.EstimatedLoad({}, 0.5, kStart), 7.0, 0.01);
  EXPECT_LT(target.EstimatedLoad({}, 0.5, kStart + seconds(2)), 3.0);
}

// A target that fails every request immediately appears idle. It must not
// attract requests: it is backed off after several consecutive error responses.
// A target that fails only some of its requests keeps its objects.
TEST_F(PlacementTest,
       BacksOffATargetThatAlwaysFailsButNotOneThatFailsSometimes) {
  TargetState& failing = Add("failing", kNear);
  TargetState& shedding = Add("shedding", kNear);
  for (int i = 0; i < 30; ++i) {
    failing.OnSent(ObjectKey(""), kStart);
    failing.OnEnded(AttemptEnd::kTargetFailed, std::nullopt, kStart);
    shedding.OnSent(ObjectKey(""), kStart);
    shedding.OnEnded(i % 2 == 0 ? AttemptEnd::kNotRun : AttemptEnd::kAnswered,
                     std::nullopt, kStart);
  }

  EXPECT_TRUE(failing.IsBackedOff(kStart));
  EXPECT_FALSE(shedding.IsBackedOff(kStart));
  for (const std::string_view object : {"p", "q", "r", "s", "t", "u"}) {
    EXPECT_EQ(Choose(object)->target, &shedding);
  }
}

}  // namespace
}  // namespace medlarcroft::request_path
