#ifndef MEDLARCROFT_PEER_UPDATES_UPDATE_TIMING_H_
#define MEDLARCROFT_PEER_UPDATES_UPDATE_TIMING_H_

#include <algorithm>
#include <cstddef>

#include "medlarcroft/core/time.h"

/// @file
/// @brief Intervals, batch delays and size limits of the updates between hosts.

namespace medlarcroft::peer_updates {

/// With up to this many peers, a host sends to each of them directly. Ten
/// datagrams a second, with some fifty loads of five bytes, stay within the 7
/// KB/s that a host may use for control traffic.
inline constexpr std::size_t kMaxDirectPeers = 8;

[[nodiscard]] constexpr bool UsesDirectDelivery(std::size_t peers) {
  return peers <= kMaxDirectPeers;
}

inline constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(800);
/// Three heartbeats and the latency of two relays: one lost datagram must not
/// remove a host from look-up answers, and a dead host must be removed before
/// callers have tried it often.
inline constexpr Duration kLivenessTimeout = std::chrono::milliseconds(2600);

/// Hosts that receive the whole state with each heartbeat, in rotation. Sending
/// to all of them at once would take a datagram from each host to each other
/// one.
inline constexpr std::size_t kStatesPerHeartbeat = 4;

inline constexpr Duration kBatchDelayPerPeer = std::chrono::milliseconds(2);
inline constexpr Duration kMaxBatchDelay = std::chrono::milliseconds(200);

/// @return how long a placed object waits for others to share its datagram. It
/// must stay well below the processing time of an object that is not warm,
/// during which another host may place it elsewhere.
[[nodiscard]] constexpr Duration PlacementBatchDelay(std::size_t peers) {
  return std::min(kBatchDelayPerPeer * static_cast<int>(peers), kMaxBatchDelay);
}

/// How long updates to a relay, and loads to all hosts, wait for others to
/// share their datagram. A load is outdated after half a second.
inline constexpr Duration kReportBatchDelay = std::chrono::milliseconds(100);

/// Limits on one datagram of a host's own updates.
inline constexpr std::size_t kMaxPlacementsPerDatagram = 100;
inline constexpr std::size_t kMaxLoadsPerDatagram = 50;
inline constexpr std::size_t kMaxCrashesPerDatagram = 60;
inline constexpr std::size_t kMaxLimitsPerDatagram = 100;

/// Hosts of each other region that receive a global report. More than one, in
/// case a host is down or a datagram is lost.
inline constexpr std::size_t kReceiversPerRegion = 2;
/// Interval at which a host repeats its global reports, for hosts that were
/// disconnected, paused or restarted in the meantime.
inline constexpr Duration kGlobalRepeatPeriod = std::chrono::seconds(1);

/// Interval between a relay's datagrams. With their maximum size it limits what
/// each host receives to 6.5 KB/s.
inline constexpr Duration kRelayPeriod = std::chrono::milliseconds(200);
inline constexpr std::size_t kMaxRelayDatagramBytes = 1200;

/// A relay that sent nothing for this long has missed three datagrams and is
/// replaced.
inline constexpr Duration kRelayTimeout = std::chrono::milliseconds(700);
/// How long a relay that stopped sending is not chosen again. A paused host may
/// have resumed by then.
inline constexpr Duration kRelayExclusionTime = std::chrono::seconds(5);
/// A host relays for this long after it last received a report or an exchange.
inline constexpr Duration kRelayActiveTime = std::chrono::seconds(2);

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_UPDATE_TIMING_H_
