#include "medlarcroft/telemetry/metrics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <thread>

namespace medlarcroft::telemetry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MetricDescription kRequests{.name = "medlar_requests_total",
                                      .help = "Requests taken"};
constexpr MetricDescription kLatency{.name = "medlar_request_seconds",
                                     .help = "Time to the answer"};

struct QuantileCase {
  std::string name;
  std::vector<Duration> recorded;
  double quantile;
  Duration at_least;
};

class Quantiles : public testing::TestWithParam<QuantileCase> {};

TEST_P(Quantiles, AreOverestimatedByAtMostOneBucket) {
  constexpr unsigned kPerDecade = 5;
  LatencyHistogram histogram(kPerDecade);
  for (const Duration duration : GetParam().recorded) {
    histogram.Record(duration);
  }
  const double found = ToSeconds(*histogram.Quantile(GetParam().quantile));
  const double exact = ToSeconds(GetParam().at_least);
  EXPECT_GE(found, exact * 0.999);
  EXPECT_LE(found, exact * std::pow(10.0, 1.0 / kPerDecade) * 1.001);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Quantiles,
    testing::Values(
        QuantileCase{"One", {milliseconds(3)}, 0.5, milliseconds(3)},
        QuantileCase{"MedianOfThree",
                     {milliseconds(1), milliseconds(20), milliseconds(300)},
                     0.5,
                     milliseconds(20)},
        QuantileCase{"HighestOfThree",
                     {milliseconds(1), milliseconds(20), milliseconds(300)},
                     0.99,
                     milliseconds(300)},
        QuantileCase{"Shorter", {Duration(0)}, 0.5, microseconds(10)},
        QuantileCase{"Longer", {seconds(500)}, 0.5, seconds(100)}),
    [](const auto& info) { return info.param.name; });

TEST(LatencyHistogramTest, EmptyHasNoQuantile) {
  EXPECT_EQ(LatencyHistogram().Quantile(0.5), std::nullopt);
}

TEST(MetricsTest, ConcurrentUpdatesAreNotLost) {
  MetricsRegistry registry;
  Counter& counter = registry.CounterOf(kRequests);
  LatencyHistogram& histogram = registry.HistogramOf(kLatency);
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int k = 0; k < 10'000; ++k) {
        counter.Add();
        histogram.Record(milliseconds(k % 100));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(counter.Value(), 40'000U);
  EXPECT_EQ(histogram.Count(), 40'000U);
}

TEST(MetricsTest, SameLabelsShareOneSeries) {
  MetricsRegistry registry;
  Counter& first = registry.CounterOf(kRequests, {ServiceName("a")});
  Counter& again = registry.CounterOf(kRequests, {ServiceName("a")});
  Counter& other = registry.CounterOf(kRequests, {ServiceName("b")});
  EXPECT_EQ(&first, &again);
  EXPECT_NE(&first, &other);
}

TEST(MetricsTest, FormatsPrometheusText) {
  MetricsRegistry registry;
  registry
      .CounterOf(kRequests,
                 {ServiceName("a\"b"), Label::OfConstant("outcome", "ran")})
      .Add(3);
  registry.GaugeOf({.name = "medlar_peers", .help = "Live peers"}).Set(2.5);
  registry.AddGaugeSource({.name = "medlar_uptime", .help = "Seconds"}, {},
                          [] { return 7.0; });
  registry.HistogramOf(kLatency).Record(milliseconds(1));

  const std::string text = registry.FormatPrometheus();
  for (const std::string_view part :
       {"# TYPE medlar_requests_total counter\n",
        "medlar_requests_total{service=\"a\\\"b\",outcome=\"ran\"} 3\n",
        "# TYPE medlar_peers gauge\nmedlar_peers 2.5\n", "medlar_uptime 7.0\n",
        "# TYPE medlar_request_seconds histogram\n",
        "medlar_request_seconds_bucket{le=\"+Inf\"} 1\n",
        "medlar_request_seconds_sum 0.001\n",
        "medlar_request_seconds_count 1\n"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
  }
}

// Brands and targets come and go for months. Without a limit each would leave a
// series behind, and memory would grow until the process is killed.
TEST(MetricsTest, LabelSetsBeyondTheLimitShareOneSeries) {
  MetricsRegistry registry;
  for (std::size_t i = 0; i < MetricsRegistry::kMaxSeries + 10; ++i) {
    registry.CounterOf(kRequests, {BrandName(std::to_string(i))}).Add();
  }
  const std::string text = registry.FormatPrometheus();
  EXPECT_NE(text.find("medlar_requests_total{overflow=\"true\"} 10\n"),
            std::string::npos);
}

}  // namespace
}  // namespace medlarcroft::telemetry
