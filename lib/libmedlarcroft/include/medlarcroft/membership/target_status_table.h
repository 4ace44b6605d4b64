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
  /// An observation this old counts no more.
  Duration forget_after = std::chrono::seconds(30);
  /// A target that was seen leaving is believed to be back only when an
  /// observer says so by its newest observation, and this long after the last
  /// sign of leaving from anyone.
  Duration return_after = std::chrono::seconds(30);
};

/// @brief What the hosts of the domain together see of one target.
struct MergedTargetStatus {
  bool is_leaving = false;
  std::uint32_t observers = 0;
  std::uint32_t ejected_by = 0;
  std::uint32_t outstanding = 0;
  /// Of the observers' latest, the middle one: one bad path or one lying
  /// observer does not decide.
  Duration median_latency{};
  Duration newest_age{};
};

/// @brief Merges what the hosts of a domain see of its targets. The first sign
/// of leaving wins, whether from the target itself, the platform's list or the
/// operator: work placed on a leaving target is cut or refused, while sparing a
/// target that stays costs a part of the domain's capacity for a while. Not
/// safe to share between threads.
class TargetStatusTable {
 public:
  TargetStatusTable(TargetStatusOptions options, const ports::Clock& clock);

  /// @return whether it told something new.
  bool Receive(const TargetObservation& observation);
  void ApplyHostList(std::span<const ports::ListedHost> hosts);
  /// @brief The operator's word, from the catalogue; it holds while it stands.
  void SetDrained(std::set<TargetName> targets);

  [[nodiscard]] MergedTargetStatus ViewOf(const TargetName& target) const;
  [[nodiscard]] bool IsLeaving(const TargetName& target) const;
  /// @return the newest observation of each target by each observer, `age` as
  /// of now.
  [[nodiscard]] std::vector<TargetObservation> Observations() const;

 private:
  struct Heard {
    TargetObservation observation;
    MonotonicTime heard_at;
  };
  struct Record {
    std::map<HostName, Heard> by_observer;
    std::optional<MonotonicTime> leaving_at;  ///< Last seen leaving by anyone.
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
