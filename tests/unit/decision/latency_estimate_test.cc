#include "medlarcroft/decision/latency_estimate.h"

#include <gtest/gtest.h>

namespace medlarcroft::decision {
namespace {

using std::chrono::milliseconds;

TEST(LatencyEstimate, UsesTheHintUntilMeasured) {
  LatencyEstimate estimate(milliseconds(20));
  EXPECT_EQ(estimate.Mean(), milliseconds(20));
  EXPECT_EQ(estimate.Percentile95(), milliseconds(40));
  EXPECT_FALSE(estimate.IsMeasured());
}

TEST(LatencyEstimate, QuantilesAreWithinABucketAndNotBelow) {
  LatencyEstimate estimate(milliseconds(1));
  for (int i = 1; i <= 1000; ++i)
    estimate.Add(milliseconds(i));

  EXPECT_GE(estimate.Median(), milliseconds(495));
  EXPECT_LE(estimate.Median(), milliseconds(550));
  EXPECT_GE(estimate.Percentile95(), milliseconds(940));
  EXPECT_LE(estimate.Percentile95(), milliseconds(1045));
}

TEST(LatencyEstimate, MeanOfTheFirstAnswersIsExact) {
  LatencyEstimate estimate(milliseconds(1));
  for (int i = 1; i <= 200; ++i)
    estimate.Add(milliseconds(i));

  EXPECT_NEAR(ToSeconds(estimate.Mean()), 0.1005, 0.0001);
}

// When targets slow down at full saturation, the predicted wait must follow
// soon, whereas a few answers must not change the 95th percentile at once.
TEST(LatencyEstimate, MeanFollowsAChangeSoonerThanPercentile95) {
  LatencyEstimate estimate(milliseconds(20));
  for (int i = 0; i < 1900; ++i)
    estimate.Add(milliseconds(20));
  for (int i = 0; i < 400; ++i)
    estimate.Add(milliseconds(100));
  EXPECT_GE(estimate.Mean(), milliseconds(85));

  for (int i = 0; i < 400; ++i)
    estimate.Add(milliseconds(20));
  EXPECT_LE(estimate.Mean(), milliseconds(35));
  EXPECT_GE(estimate.Percentile95(), milliseconds(90));
}

TEST(LatencyEstimate, MeanFollowsALastingChange) {
  LatencyEstimate estimate(milliseconds(20));
  for (int i = 0; i < 5000; ++i)
    estimate.Add(milliseconds(20));
  for (int i = 0; i < 4000; ++i)
    estimate.Add(milliseconds(100));

  EXPECT_GE(estimate.Mean(), milliseconds(80));
}

}  // namespace
}  // namespace medlarcroft::decision
