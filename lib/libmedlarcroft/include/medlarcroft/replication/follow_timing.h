#ifndef MEDLARCROFT_REPLICATION_FOLLOW_TIMING_H_
#define MEDLARCROFT_REPLICATION_FOLLOW_TIMING_H_

#include <algorithm>
#include <cstddef>

#include "medlarcroft/core/time.h"
#include "medlarcroft/replication/row_source.h"

namespace medlarcroft::replication {

/// @brief How a host follows a table.
struct FollowTiming {
  /// How long the store holds a call when nothing changes.
  Duration wait{0};
  /// How long changes may wait to be heard together: where many hosts and
  /// targets start at once, each change that is heard alone is a call of every
  /// host.
  Duration pause_after_change{0};
  /// How long a host that reads for the region holds a call when nothing
  /// changes.
  Duration reader_wait = std::chrono::milliseconds(600);
  /// Between calls that fail, of a host that others follow or that follows
  /// nobody: quick enough for news to be in force a second after the store is
  /// back, slow enough for it to come back under all its readers.
  Duration first_pause = std::chrono::milliseconds(150);
  Duration longest_pause = std::chrono::milliseconds(900);
  /// The same, of a host that follows a reader.
  Duration first_pause_of_followers = first_pause;
  Duration longest_pause_of_followers = longest_pause;
};

/// From a call that is given up to the answer of the next one: a pause, and a
/// new connection to another region.
inline constexpr Duration kRetryTime = std::chrono::milliseconds(450);

/// How much later than the hold an answer of the store may come, over the pause
/// after a change: the way to another region and a packet sent again.
inline constexpr Duration kStoreWayMargin = std::chrono::milliseconds(250);

/// @return how long a reader's news counts as fresh.
///
/// Failure: a reader pauses after a change, then holds its next call for all of
/// its time. Symptom: were the pause left out, it would turn all its followers
/// away each time, and all of them would call the store.
[[nodiscard]] constexpr Duration FreshFor(const FollowTiming& pace) {
  return pace.wait + pace.pause_after_change + kStoreWayMargin;
}

/// How much later than its hold a host's answer may come: it lies in the same
/// region, and one lost packet is sent again within 300 ms.
inline constexpr Duration kPeerAnswerMargin = std::chrono::milliseconds(400);

/// Each host reads for itself. The hold is cut to `LongestHold`.
inline constexpr FollowTiming kDirectReadTiming{
    .wait = std::chrono::milliseconds(4800),
    .pause_after_change = std::chrono::milliseconds(120)};

/// One host reads for a region.
///
/// Failure: the reader is cut off from the store, and dies before its news
/// counts as old. Symptom: all who follow it act on old news, for the sum of
/// both times: 900 + 500 ms until it says so, 600 + 400 ms until a call to a
/// dead one is given up. The sum and a call of their own stay below 2.5 s, in
/// which leaving targets and configurations have to be known.
inline constexpr FollowTiming kSharedReadTiming{
    .wait = std::chrono::milliseconds(900),
    .pause_after_change = std::chrono::milliseconds(250)};

/// The table of hosts: they start together, each writes its row, and those of a
/// region hear of each other by datagrams as well.
///
/// Failure: a host's call reaches a store that hangs, and is never answered.
/// Symptom: it does not count a host that joins, and spends more than its part
/// of what all may send, until it gives the call up. Hosts join seldom, so the
/// hold is longer than that of the other tables.
///
/// The table also holds blocked requests. Failure: a host loses its connection
/// to the reader of its region, but not to the store. Symptom: it keeps sending
/// a request that crashes targets until its call to the reader times out. That
/// timeout, which includes `reader_wait`, and the host's own call to the store
/// must fit in the time in which all hosts have to apply a block.
inline constexpr FollowTiming kHostListTiming{
    .wait = std::chrono::seconds(9),
    .pause_after_change = std::chrono::milliseconds(1000),
    .reader_wait = std::chrono::seconds(2),
    .longest_pause = std::chrono::seconds(4)};

/// Up to so many hosts of a region each read the store for themselves; in
/// larger ones one reads each table for all, since calls to the store have a
/// price and a limit for all hosts together.
inline constexpr std::size_t kMaxDirectReaders = 5;

/// @brief The longest hold of hosts that must be in step with the store once
/// both have been without trouble for `in_touch_after`.
///
/// Failure: the store hangs as a call reaches it, goes on, and never answers
/// that call; the connection stays up. Symptom: the host hears of no change
/// until it gives the call up, and meanwhile denies routes that were added and
/// serves as the configuration before says. Nothing but the time tells such a
/// call from one without news, so hold, margin and a further call must fit in
/// the time that the host has.
[[nodiscard]] constexpr Duration LongestHold(Duration in_touch_after) {
  constexpr Duration kShortest = std::chrono::milliseconds(300);
  return std::max(kShortest, in_touch_after - kStoreAnswerMargin - kRetryTime);
}

/// @brief The longest pause between failing calls of hosts that follow a
/// reader, which may tell them of the store's return.
///
/// Load: the store turns hundreds of hosts away at once; each call has a price
/// also when it is refused. A host that its reader can't tell must find out by
/// itself within `in_touch_after`, with time for the call and what follows it.
[[nodiscard]] constexpr Duration LongestPause(Duration in_touch_after) {
  constexpr Duration kShortest = std::chrono::milliseconds(900);
  constexpr Duration kRest = std::chrono::milliseconds(2800);
  return std::max(kShortest, in_touch_after - kRest);
}

[[nodiscard]] constexpr FollowTiming FollowTimingFor(
    std::size_t hosts_in_region,
    Duration in_touch_after) {
  FollowTiming pace = hosts_in_region > kMaxDirectReaders ? kSharedReadTiming
                                                          : kDirectReadTiming;
  pace.wait = std::min(pace.wait, LongestHold(in_touch_after));
  if (hosts_in_region > kMaxDirectReaders) {
    pace.first_pause_of_followers = std::chrono::milliseconds(600);
    pace.longest_pause_of_followers = LongestPause(in_touch_after);
  }
  return pace;
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_FOLLOW_TIMING_H_
