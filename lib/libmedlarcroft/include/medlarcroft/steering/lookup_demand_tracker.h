#ifndef MEDLARCROFT_STEERING_LOOKUP_DEMAND_TRACKER_H_
#define MEDLARCROFT_STEERING_LOOKUP_DEMAND_TRACKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/steering/domain_load.h"

namespace medlarcroft::steering {

/// @brief Bounds of `LookupDemandTracker`.
struct HandedOutOptions {
  /// Longest TTL that is told apart; a longer one counts as this long.
  Duration longest_ttl = std::chrono::seconds(64);
  /// Pairs of service and failure domain at most. One takes about 0.5 KB, so
  /// 17 domains with 120 services stay near 1 MB.
  std::size_t max_series = 2048;
};

/// @brief Counts answers to look-ups as demand on their domain until their TTL
/// ends.
///
/// Callers keep an answer for seconds, and measurements lag for seconds more.
/// A planner that looks at measurements alone goes on sending callers to the
/// domain that looked idle, until all that it sent arrives at once. The memory
/// is a ring of buckets for each pair, by expiry time, so it is bounded and an
/// answer is dropped at most one bucket too late.
class LookupDemandTracker {
 public:
  explicit LookupDemandTracker(HandedOutOptions options = {});

  /// @brief Counts one answer.
  /// @param demand_per_second what its caller is expected to bring.
  void Record(const ServiceName& service,
              const FailureDomainName& domain,
              double demand_per_second,
              Duration ttl,
              MonotonicTime now);

  /// @return the demand of the answers whose TTL has not ended.
  [[nodiscard]] double Pending(const ServiceName& service,
                               const FailureDomainName& domain,
                               MonotonicTime now) const;
  /// @return all pairs that have pending demand.
  [[nodiscard]] std::vector<PendingDemand> All(MonotonicTime now) const;

  /// @return how many answers were not counted because `max_series` pairs are
  /// in use.
  [[nodiscard]] std::uint64_t Uncounted() const { return uncounted_; }

 private:
  static constexpr std::size_t kBuckets = 32;
  /// One bucket is being filled and one is partly expired, so the longest TTL
  /// spans two buckets less than the ring.
  static constexpr std::int64_t kSpannedBuckets = kBuckets - 2;

  struct Series {
    std::array<double, kBuckets> demand{};
    std::array<std::int64_t, kBuckets> expiry{};  // Bucket number.
  };
  using Key = std::pair<ServiceName, FailureDomainName>;

  [[nodiscard]] std::int64_t BucketOf(MonotonicTime time) const;
  [[nodiscard]] double Sum(const Series& series, MonotonicTime now) const;
  Series* FindOrAdd(const Key& key, MonotonicTime now);
  void DropExpired(MonotonicTime now);

  HandedOutOptions options_;
  Duration bucket_width_;
  std::map<Key, Series> series_;
  std::uint64_t uncounted_ = 0;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_LOOKUP_DEMAND_TRACKER_H_
