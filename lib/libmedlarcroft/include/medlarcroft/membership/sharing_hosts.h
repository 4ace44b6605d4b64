#ifndef MEDLARCROFT_MEMBERSHIP_SHARING_HOSTS_H_
#define MEDLARCROFT_MEMBERSHIP_SHARING_HOSTS_H_

#include <cstdint>
#include <optional>

#include "medlarcroft/core/time.h"
#include "medlarcroft/membership/host_share.h"

namespace medlarcroft::membership {

/// @brief Counts the hosts that share the limits for all hosts together.
///
/// A host that is disconnected may be removed from the list while it still uses
/// its share, and does not count hosts that join meanwhile. If the others
/// divided a limit among fewer hosts, or it among too few, all of them together
/// would exceed the limit. So a removed host counts for a while, and a host
/// without a current list assumes that others have joined.
class ShareCount {
 public:
  /// @param listed hosts in the list, this one included.
  /// @param is_current whether the list contains all recent changes.
  /// @return the number of hosts that share the limits.
  std::uint32_t Update(std::uint32_t listed,
                       bool is_current,
                       MonotonicTime now);

 private:
  std::uint32_t most_in_period_ = 0;
  std::uint32_t most_in_last_period_ = 0;
  MonotonicTime period_began_at_{};
};

/// @brief The list of hosts, as known to one of them.
struct HostListView {
  std::uint32_t listed = 0;            ///< This host included.
  std::uint32_t listed_in_region = 0;  ///< This host included.
  /// Whether the list was ever read.
  bool is_known = false;
  /// Whether it contains all recent changes.
  bool is_current = false;
  /// When this process wrote its row; nullopt: it found one.
  std::optional<MonotonicTime> row_written_at;
};

/// @brief Decides among how many hosts the limits for all hosts are divided,
/// and from when on this process may use its share of them.
///
/// A process that begins knows neither how many hosts there are nor what its
/// predecessor used a moment ago. If it used its share at once, hosts that
/// restart together would use all limits twice, and one that has not read the
/// list would use all of them alone. A host whose row is new, or was missing,
/// is not counted by the others yet.
class SharingHosts {
 public:
  struct Options {
    /// Once the store and a host have worked without errors for this long, the
    /// host counts every host whose row was written before.
    Duration in_touch_after{0};
    MonotonicTime started_at{};
  };

  explicit SharingHosts(const Options& options)
      : options_(options), share_{.known_since = options.started_at} {}

  void Update(const HostListView& view, MonotonicTime now);

  [[nodiscard]] const HostShare& Share() const { return share_; }
  /// @return the hosts of this region that share limits; 0: unknown.
  [[nodiscard]] std::uint32_t HostsInRegion() const { return in_region_; }
  /// @return when all other hosts count this one; nullopt: unknown.
  [[nodiscard]] std::optional<MonotonicTime> CountedSince() const {
    return counted_since_;
  }

 private:
  Options options_;
  ShareCount all_;
  ShareCount in_own_region_;
  HostShare share_;
  std::uint32_t in_region_ = 0;
  std::optional<MonotonicTime> counted_since_;
};

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_SHARING_HOSTS_H_
