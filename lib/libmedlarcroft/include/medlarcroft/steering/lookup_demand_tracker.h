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

/// @brief Limits of `LookupDemandTracker`.
struct LookupDemandOptions {
  /// Longest TTL that is tracked; a longer one is capped to it.
  Duration max_ttl = std::chrono::seconds(64);
  /// Maximum number of pairs of service and failure domain. A pair takes about
  /// 0.5 KB, so 17 domains with 120 services use about 1 MB.
  std::size_t max_series = 2048;
};

/// @brief Counts look-up answers as demand on their domain until their TTL
/// expires.
///
/// Callers use an answer for seconds, and measurements lag by further seconds.
/// A planner that relies on measurements alone keeps sending callers to the
/// domain that looked idle, until all of them arrive at once. Each pair has a
/// ring of buckets by expiry time, so memory is bounded and an answer is
/// dropped at most one bucket late.
class LookupDemandTracker {
 public:
  explicit LookupDemandTracker(LookupDemandOptions options = {});

  /// @brief Counts one answer.
  /// @param demand_per_second requests per second that its caller is expected
  /// to send.
  void Record(const ServiceName& service,
              const FailureDomainName& domain,
              double demand_per_second,
              Duration ttl,
              MonotonicTime now);

  /// @return the demand, in requests per second, of the answers whose TTL has
  /// not expired.
  [[nodiscard]] double Pending(const ServiceName& service,
                               const FailureDomainName& domain,
                               MonotonicTime now) const;
  /// @return all pairs with pending demand.
  [[nodiscard]] std::vector<PendingDemand> All(MonotonicTime now) const;

  /// @return the number of answers that were not counted because `max_series`
  /// pairs were in use.
  [[nodiscard]] std::uint64_t DroppedCount() const { return dropped_count_; }

 private:
  static constexpr std::size_t kBucketCount = 32;
  /// One bucket is being filled and one is partly expired, so the longest TTL
  /// spans two buckets fewer than the ring has.
  static constexpr std::int64_t kMaxTtlBuckets = kBucketCount - 2;

  struct Series {
    std::array<double, kBucketCount> demand{};
    std::array<std::int64_t, kBucketCount> expiry{};  // Bucket number.
  };
  using Key = std::pair<ServiceName, FailureDomainName>;

  [[nodiscard]] std::int64_t BucketIndex(MonotonicTime time) const;
  [[nodiscard]] double Sum(const Series& series, MonotonicTime now) const;
  Series* FindOrAdd(const Key& key, MonotonicTime now);
  void DropExpired(MonotonicTime now);

  LookupDemandOptions options_;
  Duration bucket_width_;
  std::map<Key, Series> series_;
  std::uint64_t dropped_count_ = 0;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_LOOKUP_DEMAND_TRACKER_H_
