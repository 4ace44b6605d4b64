#ifndef MEDLARCROFT_MEMBERSHIP_HOST_SHARE_H_
#define MEDLARCROFT_MEMBERSHIP_HOST_SHARE_H_

#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::membership {

/// @brief One host's share of the limits for all hosts together.
struct HostShare {
  std::uint32_t hosts = 0;  ///< That share the limits; 0: unknown.
  /// What this host's share was used for before this time is unknown to this
  /// process, or the other hosts used it.
  MonotonicTime known_since{};

  /// @param window in which the limit holds.
  /// @return the fraction of the limit that this host may use, from 0 to 1.
  [[nodiscard]] double Of(Duration window, MonotonicTime now) const {
    const bool is_usable = hosts > 0 && now - known_since >= window;
    return is_usable ? 1.0 / hosts : 0.0;
  }

  friend bool operator==(const HostShare&, const HostShare&) = default;
};

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_HOST_SHARE_H_
