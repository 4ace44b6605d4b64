// TargetTable: applies a routing snapshot.
#include <algorithm>

#include "medlarcroft/decision/target_table.h"

namespace medlarcroft::decision {
namespace {

// A request class counts as long-running, and may not use the reserved slots,
// if it takes more than this many times as long as the shortest one on the
// target.
constexpr int kLongRunningRatio = 4;

}  // namespace

void TargetTable::Configure(std::span<const ServiceTargets> services,
                            Duration cold_ramp,
                            MonotonicTime now) {
  std::vector<ServiceTargetLists> previous = std::move(services_);
  services_.clear();
  std::size_t service_count = previous.size();
  for (const ServiceTargets& service : services) {
    service_count = std::max<std::size_t>(service_count, service.service + 1);
  }
  services_.resize(service_count);
  previous.resize(service_count);

  for (TargetState& target : targets_) {
    target.is_configured = false;
    for (TargetMembership& membership : target.memberships) {
      membership.position.reset();
      membership.is_member = false;
    }
  }

  for (const ServiceTargets& service : services) {
    // Only a target that joins a running service starts cold. A host that has
    // just started does not know which targets were running before, and must
    // not ramp up all of them.
    const bool is_cold = !previous[service.service].members.empty();
    for (const TargetConfig& config : service.targets) {
      AddMembership(service, FindOrAdd(config, is_cold, cold_ramp, now));
    }
  }

  MarkLongRunningClasses(services);
  for (TargetState& target : targets_) {
    target.usable = 0;
    std::erase_if(target.memberships, [](const TargetMembership& membership) {
      return !membership.is_member && membership.outstanding == 0;
    });
  }
  RefreshAll(now);
  EraseRemovedTargets(now);
}

TargetIndex TargetTable::FindOrAdd(const TargetConfig& config,
                                   bool is_cold,
                                   Duration cold_ramp,
                                   MonotonicTime now) {
  const auto found = indexes_.find(config.name);
  if (found != indexes_.end() && targets_[found->second].is_configured) {
    // Another service in this snapshot uses the target too: apply the smaller
    // share.
    TargetConfig& merged = targets_[found->second].config;
    merged.share = std::min(merged.share, config.share);
    if (config.is_leaving) {
      targets_[found->second].leaving.OnSnapshot(true, now);
    }
    return found->second;
  }

  TargetIndex target = 0;
  if (found != indexes_.end()) {
    target = found->second;
  } else if (!free_target_indexes_.empty()) {
    target = free_target_indexes_.back();
    free_target_indexes_.pop_back();
  } else {
    target = static_cast<TargetIndex>(targets_.size());
    targets_.emplace_back();
  }
  if (found == indexes_.end()) {
    indexes_.emplace(config.name, target);
    targets_[target] = TargetState{};
    if (is_cold)
      targets_[target].ramp.Start(now, 0.0, cold_ramp);
  }

  targets_[target].config = config;
  targets_[target].is_configured = true;
  targets_[target].leaving.OnSnapshot(config.is_leaving, now);
  return target;
}

void TargetTable::AddMembership(const ServiceTargets& service,
                                TargetIndex target) {
  TargetMembership* known = FindMembership(target, service.service);
  if (known != nullptr && known->is_member)
    return;

  services_[service.service].members.push_back(target);
  if (known != nullptr) {
    known->is_member = true;
  } else {
    targets_[target].memberships.push_back({.service = service.service});
  }
}

void TargetTable::MarkLongRunningClasses(
    std::span<const ServiceTargets> services) {
  std::vector<Duration> expected(services_.size(), Duration(0));
  for (const ServiceTargets& service : services) {
    expected[service.service] = service.expected_service_time;
  }
  for (TargetState& target : targets_) {
    Duration shortest = Duration::max();
    for (const TargetMembership& membership : target.memberships) {
      shortest = std::min(shortest, expected[membership.service]);
    }
    for (TargetMembership& membership : target.memberships) {
      membership.is_long_running =
          expected[membership.service] > shortest * kLongRunningRatio;
    }
  }
}

void TargetTable::EraseRemovedTargets(MonotonicTime now) {
  std::erase_if(indexes_, [&](const auto& entry) {
    TargetState& target = targets_[entry.second];
    if (target.is_configured || target.outstanding > 0 ||
        now < target.rests_until)
      return false;
    unreported_rests_ -= target.is_rest_end_unreported ? 1 : 0;
    target = TargetState{};
    free_target_indexes_.push_back(entry.second);
    return true;
  });
}

}  // namespace medlarcroft::decision
