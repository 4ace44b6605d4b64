#include "medlarcroft/catalogue/platform_rate_limiter.h"

#include <algorithm>

namespace medlarcroft::catalogue {

namespace {

using ports::StoreFailure;

/// @brief Makes the call if the budget allows it, and notes how it ended.
template <typename Call>
auto Spend(bool is_allowed, PlatformRateLimiter& budget, Call call)
    -> decltype(call()) {
  if (!is_allowed) {
    return StoreFailure::kUnavailable;
  }
  auto result = call();
  budget.RecordOutcome(IsOk(result));
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
      filled_at_(clock.Now()),
      reachability_since_(clock.Now()) {}

bool PlatformRateLimiter::TryAcquireRead() {
  const std::lock_guard lock(mutex_);
  const bool is_taken = TakeLocked(reads_);
  ++(is_taken ? counts_.reads : counts_.refused_reads);
  return is_taken;
}

bool PlatformRateLimiter::TryAcquireWrite() {
  const std::lock_guard lock(mutex_);
  const bool is_taken = TakeLocked(writes_);
  ++(is_taken ? counts_.writes : counts_.refused_writes);
  return is_taken;
}

bool PlatformRateLimiter::TakeLocked(Bucket& bucket) {
  const MonotonicTime now = clock_.Now();
  const double seconds = ToSeconds(now - filled_at_);
  filled_at_ = now;
  for (Bucket* each : {&reads_, &writes_}) {
    each->tokens =
        std::min(each->burst, each->tokens + seconds * each->per_second);
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
                                             PlatformRateLimiter& budget)
    : table_(table), budget_(budget) {}

Result<ports::Row, StoreFailure> RateLimitedTableStore::Read(
    std::string_view key) {
  return Spend(budget_.TryAcquireRead(), budget_,
               [&] { return table_.Read(key); });
}

Result<std::vector<ports::Row>, StoreFailure> RateLimitedTableStore::Scan(
    std::string_view first,
    std::string_view last,
    std::size_t limit) {
  return Spend(budget_.TryAcquireRead(), budget_,
               [&] { return table_.Scan(first, last, limit); });
}

Result<ports::TransactionOutcome, StoreFailure> RateLimitedTableStore::Commit(
    const ports::Transaction& transaction) {
  return Spend(budget_.TryAcquireWrite(), budget_,
               [&] { return table_.Commit(transaction); });
}

RateLimitedObjectStore::RateLimitedObjectStore(ports::ObjectStore& objects,
                                               PlatformRateLimiter& budget)
    : objects_(objects), budget_(budget) {}

Result<std::optional<std::string>, StoreFailure> RateLimitedObjectStore::Get(
    std::string_view name) {
  return Spend(budget_.TryAcquireRead(), budget_,
               [&] { return objects_.Get(name); });
}

Result<Success, StoreFailure> RateLimitedObjectStore::Put(
    std::string_view name,
    std::string_view bytes) {
  return Spend(budget_.TryAcquireWrite(), budget_,
               [&] { return objects_.Put(name, bytes); });
}

}  // namespace medlarcroft::catalogue
