#include "medlarcroft/telemetry/gauge_group.h"

#include <gtest/gtest.h>

#include <array>

namespace medlarcroft::telemetry {
namespace {

constexpr MetricDescription kRate = {"medlar_rate", "A rate."};

// Two series are set, then only one of them. If the other kept its value, the
// metrics would permanently report a shift that has ended.
TEST(GaugeGroup, SeriesMissingFromAnUpdateIsSetToZero) {
  MetricsRegistry metrics;
  GaugeGroup group(metrics, kRate);
  const Labels one = {ServiceName("one")};
  const Labels two = {ServiceName("two")};
  const std::array both = {GaugeValue{one, 3}, GaugeValue{two, 4}};
  group.Set(both);
  EXPECT_EQ(metrics.GaugeOf(kRate, one).Value(), 3);
  EXPECT_EQ(metrics.GaugeOf(kRate, two).Value(), 4);

  const std::array only_two = {GaugeValue{two, 5}};
  group.Set(only_two);
  EXPECT_EQ(metrics.GaugeOf(kRate, one).Value(), 0);
  EXPECT_EQ(metrics.GaugeOf(kRate, two).Value(), 5);

  group.Set(both);
  EXPECT_EQ(metrics.GaugeOf(kRate, one).Value(), 3);
}

TEST(Counter, RaiseToIgnoresLowerCounts) {
  Counter counter;
  counter.RaiseTo(7);
  EXPECT_EQ(counter.Value(), 7U);
  counter.RaiseTo(5);
  EXPECT_EQ(counter.Value(), 7U);
}

}  // namespace
}  // namespace medlarcroft::telemetry
