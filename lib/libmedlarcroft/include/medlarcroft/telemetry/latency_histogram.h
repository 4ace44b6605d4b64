#ifndef MEDLARCROFT_TELEMETRY_LATENCY_HISTOGRAM_H_
#define MEDLARCROFT_TELEMETRY_LATENCY_HISTOGRAM_H_

#include <atomic>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "medlarcroft/core/time.h"

namespace medlarcroft::telemetry {

/// @brief One bucket of a histogram.
struct LatencyBucket {
  Duration upper_bound;  ///< Longest duration in this bucket.
  std::uint64_t count = 0;
};

/// @brief Histogram of durations from 10 µs to 100 s in logarithmic buckets;
/// shorter and longer durations count in the first and last bucket. Recording
/// is lock-free, since it is done for every request.
class LatencyHistogram {
 public:
  static constexpr Duration kShortest = std::chrono::microseconds(10);
  static constexpr Duration kLongest = std::chrono::seconds(100);

  /// @param buckets_per_decade quantiles are overestimated by a factor of at
  /// most 10^(1 / buckets_per_decade).
  explicit LatencyHistogram(unsigned buckets_per_decade = 5);

  void Record(Duration duration);

  [[nodiscard]] std::uint64_t Count() const;
  [[nodiscard]] Duration Sum() const;
  /// @param quantile 0 to 1.
  /// @return the upper bound of the bucket that contains the quantile; nullopt
  /// if nothing was recorded.
  [[nodiscard]] std::optional<Duration> Quantile(double quantile) const;
  /// @return all buckets; the last one is unbounded and reports kLongest.
  [[nodiscard]] std::vector<LatencyBucket> Buckets() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counter = boost::histogram::accumulators::thread_safe<std::uint64_t>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<Counter>>;

  Histogram histogram_;
  std::atomic<Duration::rep> sum_{0};
};

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_LATENCY_HISTOGRAM_H_
