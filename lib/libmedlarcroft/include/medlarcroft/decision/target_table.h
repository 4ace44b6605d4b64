#ifndef MEDLARCROFT_DECISION_TARGET_TABLE_H_
#define MEDLARCROFT_DECISION_TARGET_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/explanation.h"
#include "medlarcroft/decision/leaving_status.h"
#include "medlarcroft/decision/service_config.h"
#include "medlarcroft/decision/slot_ramp.h"
#include "medlarcroft/decision/target_health.h"
#include "medlarcroft/ports/slot_source.h"

namespace medlarcroft::decision {

using TargetIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;

/// @brief One service's use of one target.
struct TargetMembership {
  ServiceIndex service = 0;
  std::uint32_t outstanding = 0;
  /// False after a snapshot has removed the target from the service.
  bool is_member = true;
  /// The request class takes much longer than the shortest class on this
  /// target.
  bool is_long_running = false;
  /// Position in the service's list of available targets; absent if not
  /// listed.
  std::optional<std::size_t> position;
};

/// @brief State of one target, shared by all services that use it.
struct TargetState {
  TargetConfig config;
  bool is_configured = false;
  bool is_watched = false;        ///< Refreshed periodically.
  std::uint32_t outstanding = 0;  ///< This host's, including delayed releases.
  std::uint32_t usable = 0;       ///< As of the last refresh.
  LeavingStatus leaving;
  TargetHealth health;
  SlotRamp ramp;
  /// Outstanding requests from all hosts in the latest report.
  std::uint32_t reported_total = 0;
  /// Outstanding requests from other hosts in the latest report.
  std::uint32_t reported_by_others = 0;
  /// When the target counted them; absent if there is no report.
  std::optional<MonotonicTime> reported_at;
  /// Until this time, timeouts and lost connections are not counted as failures
  /// of the target: a connection to it was found silent (open, but no data
  /// arrives), and others that were opened as early may be silent too.
  MonotonicTime failures_excused_until{};
  /// Until this time, the target wants no requests from this host.
  MonotonicTime rests_until{};
  bool is_rest_end_unreported = false;
  std::vector<TargetMembership> memberships;
};

/// @brief The targets of a service, all of which rest or leave.
struct RestingTargets {
  Duration shortest_rest{0};
  std::uint32_t slots = 0;  ///< This host's on the targets that rest.
};

/// @brief A service's targets according to a routing snapshot.
struct ServiceTargets {
  ServiceIndex service = 0;
  Duration expected_service_time{0};
  std::span<const TargetConfig> targets;
};

/// @brief All targets, the number of their slots that are usable now, and the
/// targets with a free slot.
///
/// A slot is taken at dispatch and released once the attempt has definitely
/// ended, so that this host never exceeds its share of a target. Each service
/// has an array of its available targets, so choosing one does not require a
/// scan of all targets.
class TargetTable {
 public:
  void Configure(std::span<const ServiceTargets> services,
                 Duration cold_ramp,
                 MonotonicTime now);

  /// @return targets of the service that had a free slot at the last refresh.
  [[nodiscard]] std::span<const TargetIndex> Available(
      ServiceIndex service) const;
  [[nodiscard]] std::span<const TargetIndex> Members(
      ServiceIndex service) const;
  [[nodiscard]] std::uint32_t UsableSlots(ServiceIndex service) const;
  /// @return whether any target of the service neither leaves nor rests.
  [[nodiscard]] bool HasLiveTarget(ServiceIndex service,
                                   MonotonicTime now) const;

  [[nodiscard]] std::optional<TargetIndex> Find(const TargetName& name) const;
  [[nodiscard]] const TargetState& At(TargetIndex target) const {
    return targets_[target];
  }
  [[nodiscard]] TargetState& At(TargetIndex target) { return targets_[target]; }

  /// Visits every target of the current snapshot.
  template <typename Visitor>
  void ForEach(Visitor&& visit) const {
    for (const TargetState& target : targets_) {
      if (target.is_configured)
        visit(target);
    }
  }

  /// @brief Sets the source that must grant each slot at dispatch, in addition
  /// to the limit of the configured share. There is none by default.
  void SetSlotSource(ports::SlotSource& slots) { slots_ = &slots; }

  /// Takes a slot, unless the target may not be used at `now`.
  /// @return whether a slot was taken.
  [[nodiscard]] bool TryTake(TargetIndex target,
                             ServiceIndex service,
                             MonotonicTime now);
  void Release(TargetIndex target, ServiceIndex service, MonotonicTime now);
  /// Releases the slot at `until`: this host has ended the attempt, but the
  /// target may still be working on it.
  void ReleaseAt(TargetIndex target, ServiceIndex service, MonotonicTime until);

  /// Ejects the target if it is an outlier, unless too many targets of one of
  /// its services are ejected already.
  void EjectIfOutlier(TargetIndex target, MonotonicTime now);
  /// Records a report that the target is leaving: it gets no new requests.
  void MarkLeaving(TargetIndex target, MonotonicTime now);
  void MarkStaying(TargetIndex target,
                   MonotonicTime queried_at,
                   MonotonicTime now);
  /// Records that the target wants no requests from this host until `until`. It
  /// then ramps up. The latest time counts, also if the target is removed from
  /// the snapshot and returns meanwhile.
  /// @return whether the target did not rest before.
  bool Rest(TargetIndex target, MonotonicTime until, MonotonicTime now);
  /// @return the targets whose rest has ended, each once.
  [[nodiscard]] std::vector<TargetName> TakeEndedRests(MonotonicTime now);
  /// @return nullopt if some target of the service neither rests nor leaves, or
  /// all leave.
  [[nodiscard]] std::optional<RestingTargets> AllResting(
      ServiceIndex service,
      MonotonicTime now) const;
  /// Recomputes the usable slots and the availability of the target.
  void Refresh(TargetIndex target, MonotonicTime now);
  /// Removes the target from the lists of available targets until its next
  /// refresh.
  void HideUntilRefresh(TargetIndex target);

  void Advance(MonotonicTime now);
  /// @return when `Advance` next has work to do; `MonotonicTime::max()` if
  /// never.
  [[nodiscard]] MonotonicTime NextChange() const;

  [[nodiscard]] TargetUsageRule RuleOf(TargetIndex target,
                                       MonotonicTime now) const;

 private:
  struct ServiceTargetLists {
    std::vector<TargetIndex> members;
    std::vector<TargetIndex> available;
    std::uint32_t usable = 0;
  };
  struct HeldSlot {
    MonotonicTime until;
    TargetIndex target = 0;
    ServiceIndex service = 0;

    friend auto operator<=>(const HeldSlot&, const HeldSlot&) = default;
  };

  TargetIndex FindOrAdd(const TargetConfig& config,
                        bool is_cold,
                        Duration cold_ramp,
                        MonotonicTime now);
  void AddMembership(const ServiceTargets& service, TargetIndex target);
  void MarkLongRunningClasses(std::span<const ServiceTargets> services);
  void EraseRemovedTargets(MonotonicTime now);
  [[nodiscard]] bool MayEject(TargetIndex target, MonotonicTime now) const;
  [[nodiscard]] std::uint32_t ComputeUsableSlots(const TargetState& target,
                                                 MonotonicTime now) const;
  [[nodiscard]] static bool HasFreeSlot(const TargetState& target,
                                        const TargetMembership& membership);
  void SetAvailable(TargetIndex target,
                    TargetMembership& membership,
                    bool is_available);
  [[nodiscard]] TargetMembership* FindMembership(TargetIndex target,
                                                 ServiceIndex service);
  void RefreshAll(MonotonicTime now);
  void WatchIfTransitional(TargetIndex target, MonotonicTime now);

  ports::SlotSource* slots_ = nullptr;
  std::vector<TargetState> targets_;
  std::vector<TargetIndex> free_target_indexes_;
  std::unordered_map<TargetName, TargetIndex> indexes_;
  std::vector<ServiceTargetLists> services_;
  std::priority_queue<HeldSlot, std::vector<HeldSlot>, std::greater<>>
      held_slots_;
  // Ramping, ejected or probing targets, which are refreshed periodically.
  std::vector<TargetIndex> watched_targets_;
  MonotonicTime next_refresh_ = MonotonicTime::max();
  // The earliest end of a lease, of a rest or of a report that a target is
  // leaving.
  MonotonicTime next_expiry_ = MonotonicTime::max();
  /// Targets whose rest has not been reported as ended.
  std::size_t unreported_rests_ = 0;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_TARGET_TABLE_H_
