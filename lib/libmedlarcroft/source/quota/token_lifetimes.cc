#include "medlarcroft/quota/token_lifetimes.h"

#include <algorithm>

namespace medlarcroft::quota {

namespace {

// Part of the permitted excess that becomes tokens. The rest covers clocks that
// run at different speeds, and hosts that join while others are disconnected.
constexpr double kUsedExcess = 0.8;
// An unused quota gains nothing from tokens older than this.
constexpr double kMaxSumSeconds = 30;
// A request for tokens may have to travel to another region and back.
constexpr double kTransferFraction = 0.3;
constexpr double kHeldFraction = 0.3;
constexpr double kMaxTransferSeconds = 4.0;
constexpr double kMaxHeldSeconds = 1.0;

}  // namespace

TokenLifetimes LifetimesFor(const routing::Quota& quota,
                            const QuotaBounds& bounds) {
  if (quota.IsUnlimited()) {
    return {};
  }
  const double rate = quota.requests_per_second;
  const double excess =
      bounds.overage * (rate * ToSeconds(bounds.window) + quota.burst) +
      bounds.slack;
  const double sum =
      std::min((quota.burst + kUsedExcess * excess) / rate, kMaxSumSeconds);
  const double transfer =
      std::min(sum * kTransferFraction, kMaxTransferSeconds);
  const double held = std::min(sum * kHeldFraction, kMaxHeldSeconds);
  return {.stock = FromSeconds(sum - transfer - held),
          .transfer = FromSeconds(transfer),
          .held = FromSeconds(held)};
}

}  // namespace medlarcroft::quota
