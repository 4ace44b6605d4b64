#ifndef MEDLARCROFT_CATALOGUE_PLATFORM_RATE_LIMITER_H_
#define MEDLARCROFT_CATALOGUE_PLATFORM_RATE_LIMITER_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/object_store.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::catalogue {

/// @brief Number of calls that a host made to the platform, by outcome.
struct PlatformCallCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused_reads = 0;  ///< Above the rate limit; never sent.
  std::uint64_t refused_writes = 0;
  std::uint64_t failures = 0;  ///< Sent, but without a usable response.
};

/// @brief Whether the platform answered the last call of this host.
struct PlatformReachability {
  bool is_reachable = false;
  Duration since{};  ///< How long this state has lasted.
};

/// @brief Limits the reads and writes of one host with a token bucket for each.
///
/// Protects the platform when a region or the platform itself recovers and all
/// hosts poll and retry at once. Without the limit, 880 hosts would keep the
/// table service, which handles about 2,000 reads and several hundred writes
/// per second in total, from recovering. With 2 reads and 0.25 writes per
/// second, 880 hosts make at most 1,760 reads and 220 writes per second even if
/// each uses its full rate. The burst is sufficient for a cold start or for a
/// script of one operator.
class PlatformRateLimiter {
 public:
  struct Options {
    double reads_per_second = 2.0;
    double read_burst = 20.0;
    double writes_per_second = 0.25;
    double write_burst = 10.0;
  };

  PlatformRateLimiter(Options options, const ports::Clock& clock);

  [[nodiscard]] bool TryAcquireRead();
  [[nodiscard]] bool TryAcquireWrite();
  void RecordOutcome(bool was_answered);

  [[nodiscard]] PlatformCallCounts Counts() const;
  [[nodiscard]] PlatformReachability Reachability() const;

 private:
  struct Bucket {
    double per_second;
    double burst;
    double tokens;
  };

  [[nodiscard]] bool TryAcquireLocked(Bucket& bucket);

  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  Bucket reads_;
  Bucket writes_;
  MonotonicTime refilled_at_;
  PlatformCallCounts counts_;
  bool is_reachable_ = false;
  MonotonicTime reachability_since_;
};

/// @brief Table store decorator that applies the rate limit. A call above the
/// limit fails as unavailable, which is accurate because it had no effect.
class RateLimitedTableStore final : public ports::TableStore {
 public:
  RateLimitedTableStore(ports::TableStore& table,
                        PlatformRateLimiter& rate_limiter);

  [[nodiscard]] Result<ports::Row, ports::StoreFailure> Read(
      std::string_view key) override;
  [[nodiscard]] Result<std::vector<ports::Row>, ports::StoreFailure> Scan(
      std::string_view first,
      std::string_view last,
      std::size_t limit) override;
  [[nodiscard]] Result<ports::TransactionOutcome, ports::StoreFailure> Commit(
      const ports::Transaction& transaction) override;

 private:
  ports::TableStore& table_;
  PlatformRateLimiter& rate_limiter_;
};

/// @brief Object store decorator that applies the same rate limit.
class RateLimitedObjectStore final : public ports::ObjectStore {
 public:
  RateLimitedObjectStore(ports::ObjectStore& objects,
                         PlatformRateLimiter& rate_limiter);

  [[nodiscard]] Result<std::optional<std::string>, ports::StoreFailure> Get(
      std::string_view name) override;
  [[nodiscard]] Result<Success, ports::StoreFailure> Put(
      std::string_view name,
      std::string_view bytes) override;

 private:
  ports::ObjectStore& objects_;
  PlatformRateLimiter& rate_limiter_;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_PLATFORM_RATE_LIMITER_H_
