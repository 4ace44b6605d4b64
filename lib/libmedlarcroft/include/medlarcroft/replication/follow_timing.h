#ifndef MEDLARCROFT_REPLICATION_FOLLOW_TIMING_H_
#define MEDLARCROFT_REPLICATION_FOLLOW_TIMING_H_

#include <algorithm>
#include <cstddef>

#include "medlarcroft/core/time.h"
#include "medlarcroft/replication/row_expiry.h"
#include "medlarcroft/replication/row_source.h"

namespace medlarcroft::replication {

/// @brief How long a host's calls for a table's changes are held, and how it
/// retries them.
struct FollowTiming {
  /// How long the store holds a call when nothing changes.
  Duration wait{0};
  /// Pause after a change, so that one call returns several changes. When many
  /// hosts and targets start at once, each change that is returned alone costs
  /// a call of every host.
  Duration pause_after_change{0};
  /// How long the host that reads for the region holds a call when nothing
  /// changes.
  Duration reader_wait = std::chrono::milliseconds(600);
  /// Pauses between failed calls of a host that others follow or that follows
  /// no reader. They must be short enough for changes to apply within a second
  /// of the store's return, and long enough for the store to recover under the
  /// load of all its readers.
  Duration first_retry_pause = std::chrono::milliseconds(150);
  Duration max_retry_pause = std::chrono::milliseconds(900);
  /// The same for a host that follows a reader.
  Duration first_retry_pause_of_followers = first_retry_pause;
  Duration max_retry_pause_of_followers = max_retry_pause;
};

/// Time from giving up a call to the answer of the next one: a pause, and a new
/// connection to another region.
inline constexpr Duration kRetryTime = std::chrono::milliseconds(450);

/// How much later than its hold, plus the pause after a change, an answer of
/// the store may arrive: the latency to another region and one retransmission.
inline constexpr Duration kStoreLatencyMargin = std::chrono::milliseconds(250);

/// @return how long a reader's rows count as fresh.
///
/// A reader pauses after a change and then holds its next call for the full
/// time. If the pause were left out of the sum, the reader would refuse all its
/// followers after each change, and all of them would call the store.
[[nodiscard]] constexpr Duration FreshnessLimit(const FollowTiming& timing) {
  return timing.wait + timing.pause_after_change + kStoreLatencyMargin;
}

/// How much later than its hold a host's answer may arrive. The host is in the
/// same region, and one lost packet is retransmitted within 300 ms.
inline constexpr Duration kPeerAnswerMargin = std::chrono::milliseconds(400);

/// @return how old the store's last answer may be at a host that follows a
/// reader, if neither has failed.
[[nodiscard]] constexpr Duration MaxAgeBehindReader(
    const FollowTiming& timing) {
  return FreshnessLimit(timing) + timing.reader_wait + kPeerAnswerMargin;
}

/// For hosts that each read the store themselves. The hold is limited by
/// `MaxHold`.
inline constexpr FollowTiming kDirectReadTiming{
    .wait = std::chrono::milliseconds(4800),
    .pause_after_change = std::chrono::milliseconds(120)};

/// For regions in which one host reads for the others.
///
/// `LimitSharedHolds` limits both holds.
inline constexpr FollowTiming kSharedReadTiming{
    .wait = std::chrono::milliseconds(900),
    .pause_after_change = std::chrono::milliseconds(250)};

/// For the table of hosts. They start together, each writes its own row, and
/// the hosts of a region also learn of each other by datagrams.
///
/// A call may reach a store that hangs, and never be answered. Until the host
/// gives the call up, it does not count hosts that join, and sends more than
/// its share of what all hosts may send. Hosts join seldom, so the hold is
/// longer than for the other tables.
///
/// The table also holds blocked requests. A host that is disconnected from the
/// reader of its region, but not from the store, keeps sending a request that
/// crashes targets until its call to the reader times out. That timeout, which
/// includes `reader_wait`, and the host's own call to the store must fit in the
/// time in which all hosts have to apply a block.
inline constexpr FollowTiming kHostListTiming{
    .wait = std::chrono::seconds(9),
    .pause_after_change = std::chrono::milliseconds(1000),
    .reader_wait = std::chrono::seconds(2),
    .max_retry_pause = std::chrono::seconds(4)};

/// In a region of up to this many hosts, each reads the store itself. In larger
/// ones one host reads each table for all, since calls to the store have a
/// price and a limit for all hosts together.
inline constexpr std::size_t kMaxDirectReaders = 5;

/// @brief The longest hold for hosts that must be up to date with the store
/// once both have been without a fault for `in_touch_after`.
///
/// The store may hang as a call reaches it, then resume and never answer that
/// call, while the connection stays open. The host learns of no change until it
/// gives the call up; meanwhile it denies routes that were added and serves by
/// the previous configuration. Only the elapsed time distinguishes such a call
/// from one without changes, so the hold, the margin and another call must fit
/// in the time that the host has.
[[nodiscard]] constexpr Duration MaxHold(Duration in_touch_after) {
  constexpr Duration kMinHold = std::chrono::milliseconds(300);
  return std::max(kMinHold, in_touch_after - kStoreAnswerMargin - kRetryTime);
}

/// @brief The longest pause between failed calls of hosts that follow a reader,
/// which may report to them that the store is reachable again.
///
/// The store may refuse hundreds of hosts at once, and a refused call has a
/// price too. A host whose reader can't report that must find out by itself
/// within `in_touch_after`, with time for the call and what follows it.
[[nodiscard]] constexpr Duration MaxRetryPause(Duration in_touch_after) {
  constexpr Duration kMinPause = std::chrono::milliseconds(900);
  constexpr Duration kCallAndApplyTime = std::chrono::milliseconds(2800);
  return std::max(kMinPause, in_touch_after - kCallAndApplyTime);
}

/// @brief The promises of a deployment that the times of its hosts must keep.
struct FollowBounds {
  /// See `MaxHold`.
  Duration in_touch_after{0};
  /// Time in which hosts in touch with the store must act on a change.
  Duration changes_known_within{0};
  /// Interval at which targets renew their entries.
  Duration target_heartbeat{0};
};

/// @brief The longest hold between whose answers no outage of the store can
/// hide in which entries of targets expire.
[[nodiscard]] constexpr Duration MaxHoldBetweenExpiries(
    const FollowTiming& timing,
    Duration target_heartbeat) {
  return RowExpiryFor(target_heartbeat, Duration(0)).shortest_outage -
         timing.pause_after_change - kStoreLatencyMargin;
}

/// @brief Limits the holds of a region with a reader, so that its hosts know of
/// changes in time.
///
/// The reader may lose the store and then fail before its rows count as
/// outdated. All its followers then act on old rows until the reader would have
/// reported it, then until their call to it is given up, and until a call of
/// their own is answered.
constexpr void LimitSharedHolds(FollowTiming& timing,
                                Duration changes_known_within) {
  constexpr Duration kMinHold = std::chrono::milliseconds(100);
  const Duration holds = std::max(
      2 * kMinHold, changes_known_within - timing.pause_after_change -
                        kStoreLatencyMargin - kPeerAnswerMargin - kRetryTime);
  const Duration reader_wait = holds * 2 / 5;
  timing.reader_wait = std::min(timing.reader_wait, reader_wait);
  timing.wait = std::min(timing.wait, holds - reader_wait);
}

[[nodiscard]] constexpr FollowTiming FollowTimingFor(
    std::size_t hosts_in_region,
    const FollowBounds& bounds) {
  const Duration in_touch_after = bounds.in_touch_after;
  FollowTiming timing = hosts_in_region > kMaxDirectReaders ? kSharedReadTiming
                                                            : kDirectReadTiming;
  timing.wait =
      std::min({timing.wait, MaxHold(in_touch_after),
                MaxHoldBetweenExpiries(timing, bounds.target_heartbeat)});
  if (hosts_in_region > kMaxDirectReaders) {
    LimitSharedHolds(timing, bounds.changes_known_within);
    timing.first_retry_pause_of_followers = std::chrono::milliseconds(600);
    timing.max_retry_pause_of_followers = MaxRetryPause(in_touch_after);
  }
  return timing;
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_FOLLOW_TIMING_H_
