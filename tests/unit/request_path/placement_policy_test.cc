#include "medlarcroft/request_path/placement_policy.h"

#include <gtest/gtest.h>

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
    return ChooseTarget(pointers_,
                        {.object = object,
                         .is_sticky = true,
                         .times = times_,
                         .distances = distances_,
                         .latency_objective = milliseconds(600),
                         .cold_allowance = 1,
                         .excluded = excluded_,
                         .allowed_regions = allowed_},
                        kStart);
  }

  RegionDistances distances_{kNear};
  ServiceTimes times_{milliseconds(600)};
  std::vector<std::unique_ptr<TargetState>> targets_;
  std::vector<TargetState*> pointers_;
  std::vector<TargetName> excluded_;
  std::vector<RegionName> allowed_;
};

TEST_F(PlacementTest, NoTargetNoPlacement) {
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, AnObjectKeepsItsTargetWhileThatHasRoom) {
  for (int i = 0; i < 5; ++i) {
    Add("t" + std::to_string(i), kNear, 7);
  }
  const Placement first = *Choose("object");
  first.target->OnSent("object", kStart);

  for (int i = 0; i < 3; ++i) {
    const Placement next = *Choose("object");
    EXPECT_EQ(next.target, first.target);
    EXPECT_TRUE(next.is_warm);
    next.target->OnSent("object", kStart);
  }
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

// One object is asked for far more often than a target's slots bear. Its
// callers must not wait at the one that has it for longer than another one,
// idle and without the object, would take.
TEST_F(PlacementTest, APopularObjectSpillsToOtherTargets) {
  for (int i = 0; i < 4; ++i) {
    Add("t" + std::to_string(i), kNear);
  }
  const Duration idle_and_cold =
      distances_.RoundTrip(kNear) + times_.Work(false);
  std::set<const TargetState*> used;
  for (int i = 0; i < 24; ++i) {
    const Placement placement = *Choose("popular");
    if (used.size() < 4) {
      EXPECT_LE(placement.expected, idle_and_cold);
    }
    placement.target->OnSent("popular", kStart);
    used.insert(placement.target);
  }
  EXPECT_EQ(used.size(), 4U);
}

TEST_F(PlacementTest, TheNearRegionIsTakenUnlessItsWaitIsLongerThanTheWay) {
  TargetState& near = Add("near", kNear);
  Add("far", kFar);
  EXPECT_EQ(Choose("x")->target, &near);

  for (int i = 0; i < 9; ++i) {
    near.OnSent("y", kStart);
  }
  EXPECT_EQ(Choose("x")->target->Region(), kFar);
}

TEST_F(PlacementTest, OnlyAllowedRegionsAndTargetsNotYetTried) {
  Add("near", kNear);
  Add("far", kFar);
  allowed_ = {kFar};
  EXPECT_EQ(Choose("x")->target->Region(), kFar);
  excluded_ = {TargetName("far")};
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, AColdTargetGetsNoMoreThanItsAllowance) {
  TargetState& cold = Add("cold", kNear);
  cold.MarkCold(kStart + seconds(3));

  ASSERT_TRUE(Choose("x"));
  cold.OnSent("x", kStart);
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, ATargetThatFailsTwiceRestsAndIsTriedWithOneRequest) {
  TargetState& target = Add("t", kNear);
  for (int i = 0; i < 2; ++i) {
    target.OnSent("x", kStart);
    target.OnEnded(AttemptEnd::kNeverSent, std::nullopt, kStart);
  }
  EXPECT_TRUE(target.IsResting(kStart));
  EXPECT_FALSE(Choose("x"));

  const MonotonicTime later = kStart + seconds(1);
  EXPECT_FALSE(target.IsResting(later));
  target.OnSent("x", later);
  EXPECT_TRUE(target.IsResting(later));
  target.OnEnded(AttemptEnd::kAnswered, 1.0, later);
  EXPECT_FALSE(target.IsResting(later));
}

TEST_F(PlacementTest, ASlowTargetGetsLess) {
  TargetState& slow = Add("slow", kNear);
  TargetState& good = Add("good", kNear);
  for (int i = 0; i < 20; ++i) {
    slow.OnSent("", kStart);
    slow.OnEnded(AttemptEnd::kAnswered, 5.0, kStart);
  }
  for (int object = 0; object < 20; ++object) {
    EXPECT_EQ(Choose(std::to_string(object))->target, &good);
  }
}

TEST_F(PlacementTest, OtherHostsWorkCountsThroughReportsAndFades) {
  TargetState& target = Add("t", kNear);
  target.OnReport({.running = 3, .waiting = 4, .slots = 3}, kStart);

  EXPECT_NEAR(target.EstimatedLoad(kStart), 7.0, 0.01);
  EXPECT_LT(target.EstimatedLoad(kStart + seconds(2)), 3.0);
}

}  // namespace
}  // namespace medlarcroft::request_path
