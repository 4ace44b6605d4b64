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

/// @brief How many calls a host made to the platform, and how they ended.
struct PlatformCallCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused_reads = 0;  ///< Over the budget, never sent.
  std::uint64_t refused_writes = 0;
  std::uint64_t failures = 0;  ///< Sent, but without a usable answer.
};

/// @brief Whether the platform answered this host's last call.
struct PlatformReachability {
  bool is_reachable = false;
  Duration since{};  ///< Since when it has been so.
};

/// @brief A token bucket each for reads and writes of one host.
///
/// Load: all hosts at once after a region or the platform comes back. Harm
/// prevented: 880 hosts that poll and retry together would keep the table
/// service (about 2,000 reads and several hundred writes a second for all) from
/// recovering. Limits: 880 hosts at 2 reads and 0.25 writes a second are 1,760
/// and 220 a second even when every host uses up its budget; the burst lets a
/// cold start or one operator's script through.
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

  [[nodiscard]] bool TakeLocked(Bucket& bucket);

  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  Bucket reads_;
  Bucket writes_;
  MonotonicTime filled_at_;
  PlatformCallCounts counts_;
  bool is_reachable_ = false;
  MonotonicTime reachability_since_;
};

/// @brief A table service that spends a budget; a call beyond it is refused as
/// unavailable, which is true: it had no effect.
class RateLimitedTableStore final : public ports::TableStore {
 public:
  RateLimitedTableStore(ports::TableStore& table, PlatformRateLimiter& budget);

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
  PlatformRateLimiter& budget_;
};

/// @brief An object store that spends the same budget.
class RateLimitedObjectStore final : public ports::ObjectStore {
 public:
  RateLimitedObjectStore(ports::ObjectStore& objects,
                         PlatformRateLimiter& budget);

  [[nodiscard]] Result<std::optional<std::string>, ports::StoreFailure> Get(
      std::string_view name) override;
  [[nodiscard]] Result<Success, ports::StoreFailure> Put(
      std::string_view name,
      std::string_view bytes) override;

 private:
  ports::ObjectStore& objects_;
  PlatformRateLimiter& budget_;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_PLATFORM_RATE_LIMITER_H_
