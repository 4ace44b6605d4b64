#ifndef MEDLARCROFT_PEER_UPDATES_UPDATE_TIMING_H_
#define MEDLARCROFT_PEER_UPDATES_UPDATE_TIMING_H_

#include <algorithm>
#include <cstddef>

#include "medlarcroft/core/time.h"

/// @file
/// @brief How often hosts of a region tell each other what they know.

namespace medlarcroft::peer_updates {

/// Up to so many others each host tells each other itself: ten datagrams a
/// second, with some fifty loads of five bytes, stay within the 7 KB a second
/// that a host's control may take.
inline constexpr std::size_t kMaxDirectPeers = 8;

[[nodiscard]] constexpr bool UsesDirectDelivery(std::size_t peers) {
  return peers <= kMaxDirectPeers;
}

inline constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(800);
/// Three beats and the way by two relays: one lost datagram must not take a
/// host out of look-ups, and a dead one must be out well before callers have
/// tried it often.
inline constexpr Duration kLivenessTimeout = std::chrono::milliseconds(2600);

/// Hosts that are told the whole state with each beat, in turn: all of them at
/// once would be a datagram of each host to each.
inline constexpr std::size_t kStatesABeat = 4;

inline constexpr Duration kNewsDelayPerPeer = std::chrono::milliseconds(2);
inline constexpr Duration kLongestNewsDelay = std::chrono::milliseconds(200);

/// @return how long news of placed objects waits for more of it, to go out in
/// one datagram. It must stay well below the work of an object that is not
/// warm, in which another host may place it elsewhere.
[[nodiscard]] constexpr Duration PlacedNewsDelay(std::size_t peers) {
  return std::min(kNewsDelayPerPeer * static_cast<int>(peers),
                  kLongestNewsDelay);
}

/// How long news waits to go to the relay together, and loads to go to all: in
/// half a second a load loses its worth.
inline constexpr Duration kReportBatchDelay = std::chrono::milliseconds(100);

/// Objects and loads in one datagram of a host's own news.
inline constexpr std::size_t kMostPlacedTogether = 100;
inline constexpr std::size_t kMostLoadsTogether = 50;
inline constexpr std::size_t kMostCrashesTogether = 60;
inline constexpr std::size_t kMostLimitsTogether = 100;

/// Hosts of each other region that receive a global report. More than one, in
/// case a host is down or a datagram is lost.
inline constexpr std::size_t kReceiversPerRegion = 2;
/// Interval at which a host repeats its global reports, for hosts that were
/// disconnected, paused or restarted in the meantime.
inline constexpr Duration kGlobalRepeatPeriod = std::chrono::seconds(1);

/// Between a relay's datagrams. With their size it bounds what each host hears
/// to 6.5 KB a second.
inline constexpr Duration kRelayPeriod = std::chrono::milliseconds(200);
inline constexpr std::size_t kMostDigestBytes = 1200;

/// A relay that is not heard for so long is passed over: three datagrams are
/// missing.
inline constexpr Duration kRelaySilence = std::chrono::milliseconds(700);
/// And for so long; a paused one may be back then.
inline constexpr Duration kPassedOver = std::chrono::seconds(5);
/// A host relays for so long after it was last reported to.
inline constexpr Duration kRelayAfterAsked = std::chrono::seconds(2);

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_UPDATE_TIMING_H_
