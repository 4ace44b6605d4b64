#ifndef MEDLARCROFT_ADAPTERS_ENTRY_CLAIM_WORKER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_CLAIM_WORKER_H_

#include <cstddef>
#include <functional>

#include "adapters/process/worker_thread.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"
#include "medlarcroft/idempotency/durable_claims.h"

namespace medlarcroft::adapters {

/// @brief Runs the claims of durable keys one after the other on a thread of
/// its own, so that a slow platform holds up no other request.
class ClaimWorker {
 public:
  using Callback = std::function<void(idempotency::ClaimResult)>;

  /// A claim takes about 5 ms; more than this many in the queue would wait
  /// longer than a booking's deadline leaves when the platform is slow.
  static constexpr std::size_t kMaxQueued = 128;

  ClaimWorker(idempotency::DurableClaims& claims,
              const catalogue::PlatformRateLimiter& budget)
      : claims_(claims), budget_(budget) {}

  /// @brief Claims `key`; `callback` runs on the worker's thread.
  ///
  /// Failure: the platform is down, and each claim waits for its timeout.
  /// Symptom: bookings queue for seconds and are refused in the end. So while
  /// it does not answer only one claim at a time tries it, and all others are
  /// refused at once; the first that succeeds opens the way again.
  /// @return false when the claim is not tried: nothing was or will be claimed.
  [[nodiscard]] bool Claim(const idempotency::Key& key, Callback callback) {
    const bool is_down =
        budget_.Counts().failures > 0 && !budget_.Reachability().is_reachable;
    return worker_.Post(
        [this, key, callback = std::move(callback)] {
          callback(claims_.Claim(key));
        },
        is_down ? 1 : kMaxQueued);
  }

  /// @brief Notes that a claimed key was sent to a target.
  void MarkDispatched(const idempotency::Key& key) {
    worker_.PostFront(
        [this, key] { static_cast<void>(claims_.MarkDispatched(key)); });
  }

  /// @return claims and notes that wait for the platform.
  [[nodiscard]] std::size_t Waiting() const { return worker_.Waiting(); }

 private:
  idempotency::DurableClaims& claims_;
  const catalogue::PlatformRateLimiter& budget_;
  WorkerThread worker_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_CLAIM_WORKER_H_
