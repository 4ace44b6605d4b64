#include "medlarcroft/catalogue/platform_rate_limiter.h"

#include <algorithm>

namespace medlarcroft::catalogue {

namespace {

using ports::StoreFailure;

/// @brief Makes the call if the rate limit allows it, and records its outcome.
template <typename Call>
auto CallIfAllowed(bool is_allowed,
                   PlatformRateLimiter& rate_limiter,
                   Call call) -> decltype(call()) {
  if (!is_allowed) {
    return StoreFailure::kUnavailable;
  }
  auto result = call();
  rate_limiter.RecordOutcome(IsOk(result));
  return result;
}

}  // namespace

PlatformRateLimiter::PlatformRateLimiter(Options options,
                                         const ports::Clock& clock)
    : clock_(clock),
      reads_{.per_second = options.reads_per_second,
             .burst = options.read_burst,
             .tokens = options.read_burst},
      writes_{.per_second = options.writes_per_second,
              .burst = options.write_burst,
              .tokens = options.write_burst},
      refilled_at_(clock.Now()),
      reachability_since_(clock.Now()) {}

bool PlatformRateLimiter::TryAcquireRead() {
  const std::lock_guard lock(mutex_);
  const bool is_acquired = TryAcquireLocked(reads_);
  ++(is_acquired ? counts_.reads : counts_.refused_reads);
  return is_acquired;
}

bool PlatformRateLimiter::TryAcquireWrite() {
  const std::lock_guard lock(mutex_);
  const bool is_acquired = TryAcquireLocked(writes_);
  ++(is_acquired ? counts_.writes : counts_.refused_writes);
  return is_acquired;
}

bool PlatformRateLimiter::TryAcquireLocked(Bucket& bucket) {
  const MonotonicTime now = clock_.Now();
  const double seconds = ToSeconds(now - refilled_at_);
  refilled_at_ = now;
  for (Bucket* refilled : {&reads_, &writes_}) {
    refilled->tokens = std::min(
        refilled->burst, refilled->tokens + seconds * refilled->per_second);
  }

  if (bucket.tokens < 1.0) {
    return false;
  }
  bucket.tokens -= 1.0;
  return true;
}

void PlatformRateLimiter::RecordOutcome(bool was_answered) {
  const std::lock_guard lock(mutex_);
  counts_.failures += was_answered ? 0 : 1;
  if (was_answered != is_reachable_) {
    is_reachable_ = was_answered;
    reachability_since_ = clock_.Now();
  }
}

PlatformCallCounts PlatformRateLimiter::Counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

PlatformReachability PlatformRateLimiter::Reachability() const {
  const std::lock_guard lock(mutex_);
  return {.is_reachable = is_reachable_,
          .since = clock_.Now() - reachability_since_};
}

RateLimitedTableStore::RateLimitedTableStore(ports::TableStore& table,
                                             PlatformRateLimiter& rate_limiter)
    : table_(table), rate_limiter_(rate_limiter) {}

Result<ports::Row, StoreFailure> RateLimitedTableStore::Read(
    std::string_view key) {
  return CallIfAllowed(rate_limiter_.TryAcquireRead(), rate_limiter_,
                       [&] { return table_.Read(key); });
}

Result<std::vector<ports::Row>, StoreFailure> RateLimitedTableStore::Scan(
    std::string_view first,
    std::string_view last,
    std::size_t limit) {
  return CallIfAllowed(rate_limiter_.TryAcquireRead(), rate_limiter_,
                       [&] { return table_.Scan(first, last, limit); });
}

Result<ports::TransactionOutcome, StoreFailure> RateLimitedTableStore::Commit(
    const ports::Transaction& transaction) {
  return CallIfAllowed(rate_limiter_.TryAcquireWrite(), rate_limiter_,
                       [&] { return table_.Commit(transaction); });
}

RateLimitedObjectStore::RateLimitedObjectStore(
    ports::ObjectStore& objects,
    PlatformRateLimiter& rate_limiter)
    : objects_(objects), rate_limiter_(rate_limiter) {}

Result<std::optional<std::string>, StoreFailure> RateLimitedObjectStore::Get(
    std::string_view name) {
  return CallIfAllowed(rate_limiter_.TryAcquireRead(), rate_limiter_,
                       [&] { return objects_.Get(name); });
}

Result<Success, StoreFailure> RateLimitedObjectStore::Put(
    std::string_view name,
    std::string_view bytes) {
  return CallIfAllowed(rate_limiter_.TryAcquireWrite(), rate_limiter_,
                       [&] { return objects_.Put(name, bytes); });
}

}  // namespace medlarcroft::catalogue
