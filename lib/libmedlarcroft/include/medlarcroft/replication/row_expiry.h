#ifndef MEDLARCROFT_REPLICATION_ROW_EXPIRY_H_
#define MEDLARCROFT_REPLICATION_ROW_EXPIRY_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::replication {

/// @brief Rows that their writers renew, and that the store removes when they
/// are not renewed: after an outage of the store a row may be missing although
/// its writer is alive.
struct RowExpiry {
  /// A shorter outage expires no row.
  Duration shortest_outage{0};
  /// Time from the store's return until live writers have written their rows
  /// again.
  Duration rewritten_within{0};
  /// From then on without a fault, a host must act on every removal.
  Duration in_touch_after{0};
};

/// A row expires after this many heartbeats of its writer have failed.
inline constexpr int kHeartbeatsUntilExpiry = 3;

/// Writers are back within about two seconds of the store's return; the rest is
/// for the row to reach this host.
inline constexpr Duration kRewriteTime =
    std::chrono::seconds(2) + std::chrono::milliseconds(200);

/// @param heartbeat interval at which writers renew their rows. The last
/// heartbeat before an outage may be that old, and a fifth of it is for writers
/// that are not punctual.
[[nodiscard]] constexpr RowExpiry RowExpiryFor(Duration heartbeat,
                                               Duration in_touch_after) {
  return {.shortest_outage =
              (kHeartbeatsUntilExpiry - 1) * heartbeat - heartbeat / 5,
          .rewritten_within = kRewriteTime,
          .in_touch_after = in_touch_after};
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_ROW_EXPIRY_H_
