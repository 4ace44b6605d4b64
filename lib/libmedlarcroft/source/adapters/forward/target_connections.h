#ifndef MEDLARCROFT_ADAPTERS_FORWARD_TARGET_CONNECTIONS_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_TARGET_CONNECTIONS_H_

#include <algorithm>

#include "medlarcroft/core/time.h"

/// @file
/// @brief Times of connections to targets.

namespace medlarcroft::adapters {

/// If a target closes an idle connection while a request is sent on it, it is
/// unknown whether the request ran, so a request that is not idempotent can't
/// be retried. Servers keep idle connections open for seconds, so a connection
/// that was in use a moment ago is safe.
[[nodiscard]] constexpr Duration MaxIdleBeforeSend(bool may_repeat) {
  constexpr Duration kIfRepeatable = std::chrono::seconds(8);
  constexpr Duration kIfNotRepeatable = std::chrono::milliseconds(2500);
  return may_repeat ? kIfRepeatable : kIfNotRepeatable;
}

/// A new connection takes one round trip. A lost SYN packet is retransmitted
/// after one second, so a longer timeout than that gains little.
[[nodiscard]] constexpr Duration ConnectTimeout(Duration round_trip) {
  constexpr Duration kMin = std::chrono::milliseconds(250);
  constexpr int kRoundTrips = 4;
  return std::max<Duration>(kMin, kRoundTrips * round_trip);
}

/// For targets of any region.
inline constexpr Duration kMaxRelayConnectTime = std::chrono::milliseconds(450);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_TARGET_CONNECTIONS_H_
