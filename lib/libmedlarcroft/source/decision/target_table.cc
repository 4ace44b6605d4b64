#include "medlarcroft/decision/target_table.h"

#include <algorithm>

namespace medlarcroft::decision {
namespace {

constexpr Duration kRefreshInterval = std::chrono::milliseconds(50);
// Long-running classes leave 1/4 of the usable slots of a target, at least one,
// to the other classes.
constexpr std::uint32_t kShortClassReserveDivisor = 4;
// At most 1/3 of a service's targets is ejected at the same time. If more of
// them are slow, they have a common cause, and the remaining targets could not
// carry the load.
constexpr std::size_t kEjectedTargetsDivisor = 3;
// A target that has just asked for rest gets its share back in this time.
constexpr Duration kRampAfterRest = std::chrono::seconds(2);

bool IsResting(const TargetState& target, MonotonicTime now) {
  return now < target.rests_until;
}

}  // namespace

std::span<const TargetIndex> TargetTable::Available(
    ServiceIndex service) const {
  return services_[service].available;
}

std::span<const TargetIndex> TargetTable::Members(ServiceIndex service) const {
  return services_[service].members;
}

std::uint32_t TargetTable::UsableSlots(ServiceIndex service) const {
  return services_[service].usable;
}

bool TargetTable::HasLiveTarget(ServiceIndex service, MonotonicTime now) const {
  return std::ranges::any_of(
      services_[service].members, [&](TargetIndex target) {
        const TargetState& state = targets_[target];
        return !state.leaving.IsLeaving(now) && !IsResting(state, now);
      });
}

std::optional<RestingTargets> TargetTable::AllResting(ServiceIndex service,
                                                      MonotonicTime now) const {
  std::optional<RestingTargets> resting;
  for (const TargetIndex target : services_[service].members) {
    const TargetState& state = targets_[target];
    if (state.leaving.IsLeaving(now))
      continue;
    if (!IsResting(state, now))
      return std::nullopt;
    const Duration left = state.rests_until - now;
    if (!resting)
      resting = RestingTargets{.shortest_rest = left};
    resting->shortest_rest = std::min(resting->shortest_rest, left);
    resting->slots += std::min(state.config.share, state.config.slots);
  }
  return resting;
}

std::optional<TargetIndex> TargetTable::Find(const TargetName& name) const {
  const auto found = indexes_.find(name);
  if (found == indexes_.end())
    return std::nullopt;
  return found->second;
}

bool TargetTable::TryTake(TargetIndex target,
                          ServiceIndex service,
                          MonotonicTime now) {
  TargetState& state = targets_[target];
  // The host may have been paused since the last refresh. If the lease on its
  // share has expired, the slots may already belong to another host.
  if (state.outstanding >= ComputeUsableSlots(state, now)) {
    Refresh(target, now);
    return false;
  }
  // If the slot is not granted, the share has shrunk since it was configured.
  // The target is skipped until its next refresh; the next snapshot has the new
  // share.
  if (slots_ != nullptr && !slots_->TryTake(state.config.name)) {
    HideUntilRefresh(target);
    return false;
  }

  ++state.outstanding;
  TargetMembership* membership = FindMembership(target, service);
  ++membership->outstanding;
  for (TargetMembership& each : state.memberships) {
    if (each.is_member)
      SetAvailable(target, each, HasFreeSlot(state, each));
  }
  return true;
}

void TargetTable::Release(TargetIndex target,
                          ServiceIndex service,
                          MonotonicTime now) {
  --targets_[target].outstanding;
  if (slots_ != nullptr) {
    slots_->Release(targets_[target].config.name);
  }
  if (TargetMembership* membership = FindMembership(target, service)) {
    --membership->outstanding;
  }
  Refresh(target, now);
}

void TargetTable::ReleaseAt(TargetIndex target,
                            ServiceIndex service,
                            MonotonicTime until) {
  held_slots_.push({.until = until, .target = target, .service = service});
}

void TargetTable::EjectIfOutlier(TargetIndex target, MonotonicTime now) {
  if (!targets_[target].health.IsOutlier() || !MayEject(target, now))
    return;

  targets_[target].health.Eject(now);
  Refresh(target, now);
}

void TargetTable::MarkLeaving(TargetIndex target, MonotonicTime now) {
  TargetState& state = targets_[target];
  state.leaving.OnLeavingReport(now);
  next_expiry_ = std::min(next_expiry_, state.leaving.ReportExpiresAt());
  Refresh(target, now);
}

void TargetTable::MarkStaying(TargetIndex target,
                              MonotonicTime queried_at,
                              MonotonicTime now) {
  TargetState& state = targets_[target];
  if (state.leaving.IsReportedLeaving(now)) {
    state.leaving.OnStayingReport(queried_at);
    Refresh(target, now);
  }
}

bool TargetTable::Rest(TargetIndex target,
                       MonotonicTime until,
                       MonotonicTime now) {
  TargetState& state = targets_[target];
  const bool is_new = !IsResting(state, now);
  if (until <= state.rests_until)
    return false;
  state.rests_until = until;
  unreported_rests_ += state.is_rest_end_unreported ? 0 : 1;
  state.is_rest_end_unreported = true;
  state.ramp.Start(until, 0.0, kRampAfterRest);
  next_expiry_ = std::min(next_expiry_, until);
  Refresh(target, now);
  return is_new;
}

std::vector<TargetName> TargetTable::TakeEndedRests(MonotonicTime now) {
  std::vector<TargetName> ended;
  if (unreported_rests_ == 0)
    return ended;
  for (TargetState& target : targets_) {
    if (target.is_rest_end_unreported && !IsResting(target, now)) {
      target.is_rest_end_unreported = false;
      --unreported_rests_;
      ended.push_back(target.config.name);
    }
  }
  return ended;
}

void TargetTable::Refresh(TargetIndex target, MonotonicTime now) {
  TargetState& state = targets_[target];
  const std::uint32_t usable = ComputeUsableSlots(state, now);
  for (const TargetMembership& membership : state.memberships) {
    if (!membership.is_member)
      continue;
    services_[membership.service].usable += usable;
    services_[membership.service].usable -= state.usable;
  }
  state.usable = usable;
  for (TargetMembership& membership : state.memberships) {
    if (!membership.is_member)
      continue;
    SetAvailable(target, membership, HasFreeSlot(state, membership));
  }
  WatchIfTransitional(target, now);
}

void TargetTable::HideUntilRefresh(TargetIndex target) {
  for (TargetMembership& membership : targets_[target].memberships) {
    SetAvailable(target, membership, false);
  }
}

void TargetTable::Advance(MonotonicTime now) {
  while (!held_slots_.empty() && held_slots_.top().until <= now) {
    const HeldSlot held = held_slots_.top();
    held_slots_.pop();
    Release(held.target, held.service, now);
  }

  if (now >= next_expiry_)
    RefreshAll(now);

  if (now < next_refresh_)
    return;
  next_refresh_ = MonotonicTime::max();
  const std::vector<TargetIndex> due_targets = std::move(watched_targets_);
  watched_targets_.clear();
  for (const TargetIndex target : due_targets) {
    TargetState& state = targets_[target];
    state.is_watched = false;
    const bool was_probing = state.health.State() == HealthState::kProbing;
    const bool has_changed = state.health.Update(now);
    if (has_changed && was_probing &&
        state.health.State() == HealthState::kHealthy) {
      state.ramp.Start(now, 0.0, std::chrono::seconds(5));
    }
    Refresh(target, now);
  }
}

MonotonicTime TargetTable::NextChange() const {
  MonotonicTime next = std::min(next_refresh_, next_expiry_);
  if (!held_slots_.empty())
    next = std::min(next, held_slots_.top().until);
  return next;
}

TargetUsageRule TargetTable::RuleOf(TargetIndex target,
                                    MonotonicTime now) const {
  const TargetState& state = targets_[target];
  if (state.leaving.IsLeaving(now))
    return TargetUsageRule::kLeaving;
  if (IsResting(state, now))
    return TargetUsageRule::kResting;
  if (state.config.share_lease_until &&
      now >= *state.config.share_lease_until) {
    return TargetUsageRule::kLeaseExpired;
  }
  if (state.config.share == 0)
    return TargetUsageRule::kNoShare;
  if (state.health.State() == HealthState::kEjected) {
    return TargetUsageRule::kEjected;
  }
  if (state.health.State() == HealthState::kProbing) {
    return TargetUsageRule::kProbing;
  }
  return state.ramp.IsActive(now) ? TargetUsageRule::kRamping
                                  : TargetUsageRule::kFullShare;
}

bool TargetTable::MayEject(TargetIndex target, MonotonicTime now) const {
  return std::ranges::all_of(
      targets_[target].memberships, [&](const TargetMembership& membership) {
        std::size_t live = 0;
        std::size_t ejected = 0;
        for (const TargetIndex each : services_[membership.service].members) {
          const TargetState& state = targets_[each];
          // Targets without capacity cannot replace the ejected one.
          if (state.leaving.IsLeaving(now) || IsResting(state, now) ||
              state.config.share == 0) {
            continue;
          }
          ++live;
          if (state.health.State() != HealthState::kHealthy)
            ++ejected;
        }
        if (live < 2)
          return false;
        return ejected <
               std::max<std::size_t>(1, live / kEjectedTargetsDivisor);
      });
}

std::uint32_t TargetTable::ComputeUsableSlots(const TargetState& target,
                                              MonotonicTime now) const {
  const TargetConfig& config = target.config;
  if (!target.is_configured || target.leaving.IsLeaving(now) ||
      IsResting(target, now)) {
    return 0;
  }
  if (config.share_lease_until && now >= *config.share_lease_until)
    return 0;

  const std::uint32_t share =
      std::min({config.share, config.slots, config.max_connections});
  if (target.health.State() == HealthState::kEjected)
    return 0;
  if (target.health.State() == HealthState::kProbing) {
    return std::min(share, 1U);
  }
  return target.ramp.Usable(share, now);
}

bool TargetTable::HasFreeSlot(const TargetState& target,
                              const TargetMembership& membership) {
  if (target.outstanding >= target.usable)
    return false;
  if (!membership.is_long_running || target.usable < 2)
    return true;

  const std::uint32_t reserved =
      std::max(1U, target.usable / kShortClassReserveDivisor);
  return membership.outstanding < target.usable - reserved;
}

void TargetTable::SetAvailable(TargetIndex target,
                               TargetMembership& membership,
                               bool is_available) {
  if (membership.position.has_value() == is_available)
    return;

  std::vector<TargetIndex>& available = services_[membership.service].available;
  if (is_available) {
    membership.position = available.size();
    available.push_back(target);
    return;
  }

  const std::size_t vacated_position = *membership.position;
  const TargetIndex last = available.back();
  available[vacated_position] = last;
  available.pop_back();
  membership.position.reset();
  if (last != target) {
    FindMembership(last, membership.service)->position = vacated_position;
  }
}

TargetMembership* TargetTable::FindMembership(TargetIndex target,
                                              ServiceIndex service) {
  std::vector<TargetMembership>& memberships = targets_[target].memberships;
  const auto found =
      std::ranges::find(memberships, service, &TargetMembership::service);
  return found == memberships.end() ? nullptr : &*found;
}

void TargetTable::RefreshAll(MonotonicTime now) {
  next_expiry_ = MonotonicTime::max();
  for (TargetIndex target = 0; target < targets_.size(); ++target) {
    Refresh(target, now);
    const TargetState& state = targets_[target];
    if (!state.is_configured)
      continue;

    const MonotonicTime lease_end =
        state.config.share_lease_until.value_or(MonotonicTime::max());
    for (const MonotonicTime end :
         {lease_end, state.leaving.ReportExpiresAt(), state.rests_until}) {
      if (end > now)
        next_expiry_ = std::min(next_expiry_, end);
    }
  }
}

void TargetTable::WatchIfTransitional(TargetIndex target, MonotonicTime now) {
  const TargetState& state = targets_[target];
  if (!state.is_configured)
    return;
  if (state.health.State() == HealthState::kHealthy &&
      !state.ramp.IsActive(now)) {
    return;
  }

  if (!targets_[target].is_watched)
    watched_targets_.push_back(target);
  targets_[target].is_watched = true;
  next_refresh_ = std::min(next_refresh_, now + kRefreshInterval);
}

}  // namespace medlarcroft::decision
