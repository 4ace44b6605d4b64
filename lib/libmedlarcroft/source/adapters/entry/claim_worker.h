#ifndef MEDLARCROFT_ADAPTERS_ENTRY_CLAIM_WORKER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_CLAIM_WORKER_H_

#include <cstddef>
#include <functional>

#include "adapters/process/worker_thread.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"
#include "medlarcroft/idempotency/durable_claims.h"

namespace medlarcroft::adapters {

/// @brief Claims durable idempotency keys one at a time on a dedicated thread,
/// so that a slow platform does not delay other requests.
class ClaimWorker {
 public:
  using Callback = std::function<void(idempotency::ClaimResult)>;

  /// A claim takes about 5 ms. When the platform is slow, a longer queue would
  /// make claims wait longer than the deadline of a booking request allows.
  static constexpr std::size_t kMaxQueued = 128;

  ClaimWorker(idempotency::DurableClaims& claims,
              const catalogue::PlatformRateLimiter& budget)
      : claims_(claims), budget_(budget) {}

  /// @brief Claims `key`; `callback` runs on the worker's thread.
  ///
  /// If every claim waited for its timeout while the platform is down, bookings
  /// would queue for seconds and be refused in the end. While the platform does
  /// not answer, therefore, only one claim at a time is attempted and all
  /// others are refused at once; the first claim that succeeds ends this mode.
  /// @return false if the claim is not attempted: nothing was or will be
  /// claimed.
  [[nodiscard]] bool Claim(const idempotency::Key& key, Callback callback) {
    const bool is_down =
        budget_.Counts().failures > 0 && !budget_.Reachability().is_reachable;
    return worker_.Post(
        [this, key, callback = std::move(callback)] {
          callback(claims_.Claim(key));
        },
        is_down ? 1 : kMaxQueued);
  }

  /// @brief Records that a request with a claimed key was sent to a target.
  void MarkDispatched(const idempotency::Key& key) {
    worker_.PostFront(
        [this, key] { static_cast<void>(claims_.MarkDispatched(key)); });
  }

  /// @return number of queued claims and dispatch records.
  [[nodiscard]] std::size_t Waiting() const { return worker_.Waiting(); }

 private:
  idempotency::DurableClaims& claims_;
  const catalogue::PlatformRateLimiter& budget_;
  WorkerThread worker_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_CLAIM_WORKER_H_
