#include "medlarcroft/membership/target_status_table.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::membership {

TargetStatusTable::TargetStatusTable(TargetStatusOptions options,
                                     const ports::Clock& clock)
    : options_(options), clock_(clock) {}

bool TargetStatusTable::Receive(const TargetObservation& observation) {
  const Duration age = std::max(observation.age, Duration::zero());
  if (age >= options_.forget_after) {
    return false;
  }
  const MonotonicTime observed_at = clock_.Now() - age;
  Record& record = records_[observation.target];
  // A report of leaving counts even if it arrives out of order.
  if (observation.is_leaving) {
    record.leaving_at =
        std::max(record.leaving_at.value_or(observed_at), observed_at);
  }
  const auto known = record.by_observer.find(observation.observer);
  const bool is_new = known == record.by_observer.end() ||
                      known->second.observation.sequence < observation.sequence;
  if (is_new) {
    record.by_observer[observation.observer] = {.observation = observation,
                                                .observed_at = observed_at};
  }
  return is_new;
}

void TargetStatusTable::ApplyHostList(
    std::span<const ports::ListedHost> hosts) {
  listed_leaving_.clear();
  for (const ports::ListedHost& listed : hosts) {
    if (listed.role == ports::ListedRole::kTarget && listed.is_leaving) {
      const TargetName target(listed.name);
      listed_leaving_.insert(target);
      records_[target].leaving_at = clock_.Now();
    }
  }
}

void TargetStatusTable::SetDrained(std::set<TargetName> targets) {
  drained_ = std::move(targets);
}

MergedTargetStatus TargetStatusTable::MergedStatusOf(
    const TargetName& target) const {
  MergedTargetStatus view{.is_leaving = IsLeaving(target)};
  const auto found = records_.find(target);
  if (found == records_.end()) {
    return view;
  }
  const MonotonicTime now = clock_.Now();
  std::vector<Duration> latencies;
  view.newest_age = Duration::max();
  for (const auto& [observer, received] : found->second.by_observer) {
    const Duration age = now - received.observed_at;
    if (age >= options_.forget_after) {
      continue;
    }
    ++view.observers;
    view.ejected_by += received.observation.is_ejected ? 1 : 0;
    view.outstanding += received.observation.outstanding;
    view.newest_age = std::min(view.newest_age, age);
    latencies.push_back(received.observation.latency);
  }
  if (latencies.empty()) {
    view.newest_age = Duration::zero();
    return view;
  }
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::ranges::nth_element(latencies, middle);
  view.median_latency = *middle;
  return view;
}

bool TargetStatusTable::IsLeaving(const TargetName& target) const {
  if (drained_.contains(target) || listed_leaving_.contains(target)) {
    return true;
  }
  const auto found = records_.find(target);
  return found != records_.end() && IsSeenLeaving(found->second);
}

std::vector<TargetObservation> TargetStatusTable::Observations() const {
  const MonotonicTime now = clock_.Now();
  std::vector<TargetObservation> observations;
  for (const auto& [target, record] : records_) {
    for (const auto& [observer, received] : record.by_observer) {
      const Duration age = now - received.observed_at;
      if (age < options_.forget_after) {
        observations.push_back(received.observation);
        observations.back().age = age;
      }
    }
  }
  return observations;
}

bool TargetStatusTable::IsSeenLeaving(const Record& record) const {
  if (!record.leaving_at) {
    return false;
  }
  // The target is back only when a host has observed it as not leaving, at
  // least `return_after` after the last report that it is leaving, and no
  // recent observation says that it is leaving.
  const MonotonicTime now = clock_.Now();
  bool is_seen_back = false;
  for (const auto& [observer, received] : record.by_observer) {
    if (now - received.observed_at >= options_.forget_after) {
      continue;
    }
    if (received.observation.is_leaving) {
      return true;
    }
    const bool is_after =
        received.observed_at > *record.leaving_at + options_.return_after;
    is_seen_back = is_seen_back || is_after;
  }
  return !is_seen_back;
}

}  // namespace medlarcroft::membership
