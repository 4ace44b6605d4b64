#ifndef MEDLARCROFT_REPLICATION_STORE_AVAILABILITY_H_
#define MEDLARCROFT_REPLICATION_STORE_AVAILABILITY_H_

#include <optional>

#include "medlarcroft/core/time.h"

namespace medlarcroft::replication {

/// @brief A time, by the store's steady clock, in which the store answered
/// hosts without a pause in which rows could expire.
struct AvailableTime {
  Duration since{0};
  Duration until{0};  ///< The last answer that is known.
};

/// @brief Distinguishes an outage of the store from a host's own loss of the
/// store: the store may have answered other hosts meanwhile.
///
/// The store stamps its answers with its steady clock, so the answers that
/// different hosts received can be put in one order. Hosts tell each other the
/// time over which they know the store to have answered.
class StoreAvailability {
 public:
  /// @param max_pause between two answers without an outage of the store in
  /// between that matters.
  explicit StoreAvailability(Duration max_pause) : max_pause_(max_pause) {}

  /// @param store_time the store's clock in an answer that this host received.
  /// @return whether the store may have been away before it.
  bool OnAnswer(Duration store_time);
  /// @brief Adds what another host knows.
  void OnKnownByPeer(const AvailableTime& known);

  /// @return the latest known time; nullopt before the first answer.
  [[nodiscard]] const std::optional<AvailableTime>& Current() const {
    return current_;
  }
  /// @return whether the store may have been away before `Current`. What was
  /// before the first answer does not count.
  [[nodiscard]] bool HasGap() const { return previous_.has_value(); }

 private:
  [[nodiscard]] bool Touches(const AvailableTime& earlier,
                             const AvailableTime& later) const {
    return later.since - earlier.until <= max_pause_;
  }
  /// @return whether `added` follows or overlaps the known time, which it then
  /// extends.
  bool Extend(AvailableTime& known, const AvailableTime& added) const;
  void CloseGap();

  Duration max_pause_;
  std::optional<AvailableTime> current_;
  /// The time before the last pause that was too long.
  std::optional<AvailableTime> previous_;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_STORE_AVAILABILITY_H_
