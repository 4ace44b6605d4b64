#include "medlarcroft/decision/target_health.h"

#include <gtest/gtest.h>

#include <cmath>

#include "fakes/seeded_random.h"

namespace medlarcroft::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

TEST(TargetHealth, IsAnOutlierWhenSlowOverEnoughAnswers) {
  TargetHealth health;
  for (int i = 0; i < 9; ++i)
    health.OnAnswer(8.0, milliseconds(160));
  EXPECT_FALSE(health.IsOutlier());

  health.OnAnswer(8.0, milliseconds(160));

  EXPECT_TRUE(health.IsOutlier());
}

TEST(TargetHealth, OneExtremeAnswerIsNotAnOutlier) {
  TargetHealth health;
  for (int i = 0; i < 30; ++i)
    health.OnAnswer(1.0, milliseconds(20));

  health.OnAnswer(1000.0, seconds(20));

  EXPECT_FALSE(health.IsOutlier());
}

TEST(TargetHealth, IsAnOutlierAfterFiveConsecutiveFailures) {
  TargetHealth health;
  for (int i = 0; i < 4; ++i)
    health.OnFailure();
  EXPECT_FALSE(health.IsOutlier());

  health.OnFailure();

  EXPECT_TRUE(health.IsOutlier());
}

// A target was ejected while it restarted and is now as fast as the others. The
// standard deviation of service times is about as large as their mean, so a
// single slow answer among the probes must not cause another, longer ejection.
TEST(TargetHealth, HealthyTargetWithVaryingServiceTimesRecovers) {
  fakes::SeededRandom random(1);
  constexpr int kRounds = 1000;
  int recovered = 0;
  for (int round = 0; round < kRounds; ++round) {
    TargetHealth health;
    health.Eject(kNow);
    static_cast<void>(health.Update(kNow + seconds(5)));
    for (int i = 0; i < 5; ++i)
      health.OnAnswer(-std::log(1.0 - random.NextUnit()), milliseconds(20));
    static_cast<void>(health.Update(kNow + seconds(6)));
    recovered += health.State() == HealthState::kHealthy ? 1 : 0;
  }
  EXPECT_GE(recovered, kRounds * 95 / 100);
}

TEST(TargetHealth, RecoversAfterFiveGoodProbes) {
  TargetHealth health;
  health.Eject(kNow);
  EXPECT_FALSE(health.Update(kNow + seconds(4)));
  EXPECT_TRUE(health.Update(kNow + seconds(5)));
  ASSERT_EQ(health.State(), HealthState::kProbing);

  for (int i = 0; i < 4; ++i)
    health.OnAnswer(1.1, milliseconds(22));
  EXPECT_FALSE(health.Update(kNow + seconds(6)));
  health.OnAnswer(1.1, milliseconds(22));

  EXPECT_TRUE(health.Update(kNow + seconds(6)));
  EXPECT_EQ(health.State(), HealthState::kHealthy);
}

TEST(TargetHealth, BadProbeDoublesTheEjection) {
  TargetHealth health;
  health.Eject(kNow);
  EXPECT_TRUE(health.Update(kNow + seconds(5)));
  health.OnAnswer(7.0, milliseconds(140));

  EXPECT_TRUE(health.Update(kNow + seconds(6)));

  EXPECT_EQ(health.State(), HealthState::kEjected);
  EXPECT_EQ(health.NextChange(), kNow + seconds(16));
}

}  // namespace
}  // namespace medlarcroft::decision
