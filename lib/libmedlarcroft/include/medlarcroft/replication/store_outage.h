#ifndef MEDLARCROFT_REPLICATION_STORE_OUTAGE_H_
#define MEDLARCROFT_REPLICATION_STORE_OUTAGE_H_

#include <optional>

#include "medlarcroft/core/time.h"

namespace medlarcroft::replication {

/// The store may refuse some hosts while it serves others. Shorter outages are
/// not taken for one of all hosts.
inline constexpr Duration kStoreAwayAfter = std::chrono::seconds(15);

/// A reader that refused is asked again after three seconds.
inline constexpr Duration kRefusalMemory = std::chrono::seconds(5);

/// @brief What a host knows of an outage of the store.
struct StoreOutage {
  /// Since the first call to the store that failed; nullopt: it answers.
  std::optional<Duration> disconnected_for;
  /// Since a host of another region said that the store doesn't answer it
  /// either; nullopt: none did.
  std::optional<Duration> refused_elsewhere_ago;
};

/// @return whether the store seems to answer no host, so that its rows don't
/// change. A host or a region that is cut off hears of no other region. That
/// the store refuses all readers for long, and serves others, can't be told
/// apart.
[[nodiscard]] constexpr bool IsAwayForAll(const StoreOutage& outage) {
  return outage.disconnected_for.value_or(Duration(0)) >= kStoreAwayAfter &&
         outage.refused_elsewhere_ago &&
         *outage.refused_elsewhere_ago < kRefusalMemory;
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_STORE_OUTAGE_H_
