#include "medlarcroft/steering/lookup_demand_tracker.h"

#include <algorithm>

namespace medlarcroft::steering {

LookupDemandTracker::LookupDemandTracker(LookupDemandOptions options)
    : options_(options),
      bucket_width_(std::max(options.max_ttl / kMaxTtlBuckets,
                             Duration(std::chrono::milliseconds(1)))) {}

std::int64_t LookupDemandTracker::BucketIndex(MonotonicTime time) const {
  return time.time_since_epoch() / bucket_width_;
}

double LookupDemandTracker::Sum(const Series& series, MonotonicTime now) const {
  const std::int64_t current = BucketIndex(now);
  double sum = 0.0;

  for (std::size_t index = 0; index < kBucketCount; ++index) {
    if (series.expiry[index] >= current) {
      sum += series.demand[index];
    }
  }

  return sum;
}

void LookupDemandTracker::DropExpired(MonotonicTime now) {
  std::erase_if(series_,
                [&](const auto& item) { return Sum(item.second, now) <= 0.0; });
}

LookupDemandTracker::Series* LookupDemandTracker::FindOrAdd(const Key& key,
                                                            MonotonicTime now) {
  if (const auto found = series_.find(key); found != series_.end()) {
    return &found->second;
  }

  if (series_.size() >= options_.max_series) {
    DropExpired(now);
  }

  if (series_.size() >= options_.max_series) {
    return nullptr;
  }

  return &series_[key];
}

void LookupDemandTracker::Record(const ServiceName& service,
                                 const FailureDomainName& domain,
                                 double demand_per_second,
                                 Duration ttl,
                                 MonotonicTime now) {
  Series* series = FindOrAdd({service, domain}, now);
  if (series == nullptr) {
    ++dropped_count_;
    return;
  }

  const Duration capped_ttl =
      std::clamp(ttl, Duration::zero(), options_.max_ttl);
  const std::int64_t bucket = BucketIndex(now + capped_ttl);
  const std::size_t index = static_cast<std::size_t>(bucket) % kBucketCount;

  if (series->expiry[index] != bucket) {
    series->expiry[index] = bucket;
    series->demand[index] = 0.0;
  }

  series->demand[index] += demand_per_second;
}

double LookupDemandTracker::Pending(const ServiceName& service,
                                    const FailureDomainName& domain,
                                    MonotonicTime now) const {
  const auto found = series_.find({service, domain});
  return found == series_.end() ? 0.0 : Sum(found->second, now);
}

std::vector<PendingDemand> LookupDemandTracker::All(MonotonicTime now) const {
  std::vector<PendingDemand> pending;

  for (const auto& [key, series] : series_) {
    const double demand = Sum(series, now);

    if (demand > 0.0) {
      pending.push_back({.service = key.first,
                         .failure_domain = key.second,
                         .demand_per_second = demand});
    }
  }

  return pending;
}

}  // namespace medlarcroft::steering
