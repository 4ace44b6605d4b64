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
  /// False once a snapshot took the target out of the service.
  bool is_member = true;
  /// Its class runs far longer than another on this target.
  bool is_long_running = false;
  /// Place in the service's list of available targets, if it is there.
  std::optional<std::size_t> position;
};

/// @brief What is known of one target; shared by all services that use it.
struct TargetState {
  TargetConfig config;
  bool is_configured = false;
  bool is_watched = false;        ///< Refreshed at intervals.
  std::uint32_t outstanding = 0;  ///< This host's, with slots still held.
  std::uint32_t usable = 0;       ///< As of the last refresh.
  LeavingStatus leaving;
  TargetHealth health;
  SlotRamp ramp;
  /// Work of other hosts at the last report, and when that was true.
  std::uint32_t reported_total = 0;
  std::uint32_t reported_by_others = 0;
  std::optional<MonotonicTime> reported_at;
  /// Until then timeouts say nothing about the target: connections to it were
  /// found silent, and others opened as early may be so too.
  MonotonicTime no_blame_until{};
  std::vector<TargetMembership> memberships;
};

/// @brief A service's targets as a snapshot names them.
struct ServiceTargets {
  ServiceIndex service = 0;
  Duration expected_service_time{0};
  std::span<const TargetConfig> targets;
};

/// @brief All targets, how many of their slots may be used now, and which have
/// one free.
///
/// A slot is taken at dispatch and comes back when the attempt has ended for
/// certain, so that this host never has more at a target than its share.
/// Choosing needs no walk over all targets: the available ones stand in one
/// array for each service.
class TargetTable {
 public:
  void Configure(std::span<const ServiceTargets> services,
                 Duration cold_ramp,
                 MonotonicTime now);

  /// @return targets of the service with a free slot, as of the last refresh.
  [[nodiscard]] std::span<const TargetIndex> Available(
      ServiceIndex service) const;
  [[nodiscard]] std::span<const TargetIndex> Members(
      ServiceIndex service) const;
  [[nodiscard]] std::uint32_t UsableSlots(ServiceIndex service) const;
  [[nodiscard]] bool HasLiveTarget(ServiceIndex service,
                                   MonotonicTime now) const;

  [[nodiscard]] std::optional<TargetIndex> Find(const TargetName& name) const;
  [[nodiscard]] const TargetState& At(TargetIndex target) const {
    return targets_[target];
  }
  [[nodiscard]] TargetState& At(TargetIndex target) { return targets_[target]; }

  /// Visits every target of the present snapshot.
  template <typename Visitor>
  void ForEach(Visitor&& visit) const {
    for (const TargetState& target : targets_) {
      if (target.is_configured)
        visit(target);
    }
  }

  /// @brief Sets who is asked for each slot at the moment of dispatch, beside
  /// the configured share. None by default.
  void SetSlotSource(ports::SlotSource& slots) { slots_ = &slots; }

  /// Takes a slot, unless the target may no longer be used at `now`.
  [[nodiscard]] bool TryTake(TargetIndex target,
                             ServiceIndex service,
                             MonotonicTime now);
  void Release(TargetIndex target, ServiceIndex service, MonotonicTime now);
  /// Keeps the slot until `until`: the target may work on the attempt until
  /// then, although this host has ended it.
  void ReleaseAt(TargetIndex target, ServiceIndex service, MonotonicTime until);

  /// Takes out an outlier unless too many of its services' targets are out.
  void EjectIfOutlier(TargetIndex target, MonotonicTime now);
  /// Notes a sign that the target leaves: it gets no new work from now on.
  void MarkLeaving(TargetIndex target, MonotonicTime now);
  void MarkStaying(TargetIndex target,
                   MonotonicTime asked_at,
                   MonotonicTime now);
  /// Works out anew what is usable of the target.
  void Refresh(TargetIndex target, MonotonicTime now);
  /// Takes the target out of the available lists until its next refresh.
  void Hide(TargetIndex target);

  void Advance(MonotonicTime now);
  /// @return when `Advance` next has work; the maximum when it has none.
  [[nodiscard]] MonotonicTime NextChange() const;

  [[nodiscard]] TargetUsageRule RuleOf(TargetIndex target,
                                       MonotonicTime now) const;

 private:
  struct ServiceView {
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
  void MarkLongClasses(std::span<const ServiceTargets> services);
  void ForgetRemoved();
  [[nodiscard]] bool MayEject(TargetIndex target, MonotonicTime now) const;
  [[nodiscard]] std::uint32_t UsableNow(const TargetState& target,
                                        MonotonicTime now) const;
  [[nodiscard]] static bool HasRoom(const TargetState& target,
                                    const TargetMembership& membership);
  void SetAvailable(TargetIndex target,
                    TargetMembership& membership,
                    bool is_available);
  [[nodiscard]] TargetMembership* MembershipOf(TargetIndex target,
                                               ServiceIndex service);
  void RefreshAll(MonotonicTime now);
  void WatchIfChanging(TargetIndex target, MonotonicTime now);

  ports::SlotSource* slots_ = nullptr;
  std::vector<TargetState> targets_;
  std::vector<TargetIndex> free_indexes_;
  std::unordered_map<TargetName, TargetIndex> indexes_;
  std::vector<ServiceView> services_;
  std::priority_queue<HeldSlot, std::vector<HeldSlot>, std::greater<>> held_;
  // Ramping, ejected or probing: refreshed at intervals.
  std::vector<TargetIndex> changing_;
  MonotonicTime next_refresh_ = MonotonicTime::max();
  // The earliest end of a lease or of an unconfirmed leaving mark.
  MonotonicTime next_limit_end_ = MonotonicTime::max();
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_TARGET_TABLE_H_
