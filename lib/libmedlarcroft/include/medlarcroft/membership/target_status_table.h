#ifndef MEDLARCROFT_MEMBERSHIP_TARGET_STATUS_TABLE_H_
#define MEDLARCROFT_MEMBERSHIP_TARGET_STATUS_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/membership/host_state.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/host_list.h"

namespace medlarcroft::membership {

struct TargetStatusOptions {
  /// Observations this old are ignored.
  Duration forget_after = std::chrono::seconds(30);
  /// A target that was observed leaving counts as back only when the newest
  /// observation of a host says so, and this long after the last report from
  /// any host that it is leaving.
  Duration return_after = std::chrono::seconds(30);
};

/// @brief What the hosts of the domain together observe of one target.
struct MergedTargetStatus {
  bool is_leaving = false;
  std::uint32_t observers = 0;
  std::uint32_t ejected_by = 0;
  std::uint32_t outstanding = 0;
  /// Median of the observers' newest values, so that one slow path or one wrong
  /// observer does not decide.
  Duration median_latency{};
  Duration newest_age{};
};

/// @brief Merges the observations of a domain's hosts about its targets. The
/// first report that a target is leaving takes precedence, whether from the
/// target itself, the platform's list or the operator: work placed on a leaving
/// target is interrupted or refused, while not using a target that stays costs
/// only a part of the domain's capacity for a while. Not thread-safe.
class TargetStatusTable {
 public:
  TargetStatusTable(TargetStatusOptions options, const ports::Clock& clock);

  /// @return whether it contained anything new.
  bool Receive(const TargetObservation& observation);
  void ApplyHostList(std::span<const ports::ListedHost> hosts);
  /// @brief Sets the targets that the operator drains, from the catalogue. They
  /// count as leaving until the next call.
  void SetDrained(std::set<TargetName> targets);

  [[nodiscard]] MergedTargetStatus MergedStatusOf(
      const TargetName& target) const;
  [[nodiscard]] bool IsLeaving(const TargetName& target) const;
  /// @return the newest observation of each target by each observer, with the
  /// current `age`.
  [[nodiscard]] std::vector<TargetObservation> Observations() const;

 private:
  struct ReceivedObservation {
    TargetObservation observation;
    MonotonicTime observed_at;
  };
  struct Record {
    std::map<HostName, ReceivedObservation> by_observer;
    std::optional<MonotonicTime>
        leaving_at;  ///< When any host last observed it leaving.
  };

  [[nodiscard]] bool IsSeenLeaving(const Record& record) const;

  TargetStatusOptions options_;
  const ports::Clock& clock_;
  std::map<TargetName, Record> records_;
  std::set<TargetName> drained_;
  std::set<TargetName> listed_leaving_;
};

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_TARGET_STATUS_TABLE_H_
