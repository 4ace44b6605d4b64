#include "medlarcroft/request_path/target_directory.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::request_path {

std::vector<RegionTargets> GroupByRegion(
    std::span<TargetState* const> targets) {
  std::map<RegionName, RegionTargets> groups;
  for (TargetState* const target : targets) {
    RegionTargets& group = groups[target->Region()];
    group.targets.push_back(target);
    group.slots += target->Record().slots;
  }
  std::vector<RegionTargets> grouped;
  for (auto& [region, group] : groups) {
    group.region = region;
    grouped.push_back(std::move(group));
  }
  return grouped;
}

TargetDirectory::TargetDirectory(DomainRegions regions,
                                 TargetDirectoryObserver& observer)
    : regions_(std::move(regions)), observer_(observer) {}

void TargetDirectory::ReplaceAll(std::span<const TargetRecord> targets,
                                 std::span<const TargetName> unreadable,
                                 std::optional<MonotonicTime> retained_until,
                                 MonotonicTime now) {
  std::set<TargetName> listed(unreadable.begin(), unreadable.end());
  for (const TargetRecord& target : targets) {
    listed.insert(target.id);
    Put(target, now);
  }
  for (const TargetName& id : unreadable) {
    Suspend(id);
  }
  std::vector<TargetName> missing;
  for (const auto& [id, entry] : targets_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const TargetName& id : missing) {
    Remove(id, retained_until);
  }
  is_first_list_ = false;
}

void TargetDirectory::Put(const TargetRecord& target, MonotonicTime now) {
  const auto found = targets_.find(target.id);
  if (found == targets_.end()) {
    if (!IsOlderThanDeparture(target)) {
      Add(target, now);
    }
    return;
  }
  Entry& entry = found->second;
  const TargetIncarnation known = entry.state->Record().incarnation;
  if (target.incarnation > known) {
    Restart(entry, target, now);
    return;
  }
  // An entry without an incarnation may belong to the known process and
  // announce its shutdown, which must not be missed.
  if (target.incarnation != known &&
      target.incarnation != kUnknownIncarnation) {
    return;
  }
  TargetRecord updated = target;
  updated.incarnation = known;
  Update(entry, std::move(updated), now);
}

void TargetDirectory::Update(Entry& entry,
                             TargetRecord target,
                             MonotonicTime now) {
  if (entry.retained_until || entry.is_unreadable) {
    entry.retained_until.reset();
    entry.is_unreadable = false;
    usable_.clear();
    observer_.OnTargetChange(TargetChange::kReregistered, target);
  }
  const TargetRecord& known = entry.state->Record();
  target.is_leaving = target.is_leaving || known.is_leaving;
  if (target == known) {
    return;
  }
  if (target.cold_remaining > Duration(0)) {
    entry.state->MarkCold(now + target.cold_remaining);
  }
  const bool leaves_now = target.is_leaving && !known.is_leaving;
  entry.state->Update(target);
  entry.state->SetRegion(RegionOf(target.domain));
  usable_.clear();
  observer_.OnTargetChange(
      leaves_now ? TargetChange::kLeaving : TargetChange::kUpdated, target);
}

void TargetDirectory::Restart(Entry& entry,
                              const TargetRecord& target,
                              MonotonicTime now) {
  numbers_.erase(NumberOf(entry.state->Record().Identity()));
  entry = {.state = MakeStartedState(target, now)};
  numbers_[NumberOf(target.Identity())] = entry.state.get();
  usable_.clear();
  observer_.OnTargetChange(TargetChange::kRestarted, target);
}

std::unique_ptr<TargetState> TargetDirectory::MakeState(
    const TargetRecord& target) const {
  auto state = std::make_unique<TargetState>(target, RegionOf(target.domain));
  const auto rest = rests_.find(target.Identity());
  if (rest != rests_.end()) {
    state->RestUntil(rest->second.until);
  }
  return state;
}

std::unique_ptr<TargetState> TargetDirectory::MakeStartedState(
    const TargetRecord& target,
    MonotonicTime now) const {
  std::unique_ptr<TargetState> state = MakeState(target);
  state->MarkCold(now +
                  std::max(target.cold_remaining, ColdTimeOf(target.service)));
  return state;
}

bool TargetDirectory::IsOlderThanDeparture(const TargetRecord& target) const {
  const auto found = departed_.find(target.id);
  if (found == departed_.end()) {
    return false;
  }
  const Departure& departure = found->second;
  if (departure.is_announced) {
    return target.incarnation <= departure.incarnation;
  }
  return target.incarnation != kUnknownIncarnation &&
         target.incarnation < departure.incarnation;
}

void TargetDirectory::Add(const TargetRecord& target, MonotonicTime now) {
  // A target that appears while this host runs has just started, whatever its
  // first entry states.
  auto state = MakeStartedState(target, now);
  if (is_first_list_) {
    state = MakeState(target);
    state->MarkCold(now + target.cold_remaining);
  }
  numbers_[NumberOf(target.Identity())] = state.get();
  targets_.emplace(target.id, Entry{.state = std::move(state)});
  usable_.clear();
  departed_.erase(target.id);
  observer_.OnTargetChange(
      target.is_leaving ? TargetChange::kLeaving : TargetChange::kAdded,
      target);
}

void TargetDirectory::Suspend(const TargetName& target) {
  const auto found = targets_.find(target);
  if (found == targets_.end() || found->second.is_unreadable) {
    return;
  }
  found->second.is_unreadable = true;
  usable_.clear();
  observer_.OnTargetChange(TargetChange::kUnreadable,
                           found->second.state->Record());
}

void TargetDirectory::Remove(const TargetName& target,
                             std::optional<MonotonicTime> retained_until) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (retained_until && !entry.state->Record().is_leaving) {
    if (!entry.retained_until) {
      entry.retained_until = retained_until;
      observer_.OnTargetChange(TargetChange::kRetained, entry.state->Record());
    }
    return;
  }
  Erase(target);
}

void TargetDirectory::Erase(const TargetName& target) {
  const auto found = targets_.find(target);
  observer_.OnTargetChange(TargetChange::kRemoved,
                           found->second.state->Record());
  const TargetRecord& record = found->second.state->Record();
  if (record.is_leaving || record.incarnation != kUnknownIncarnation) {
    departed_[target] = {.incarnation = record.incarnation,
                         .is_announced = record.is_leaving};
  }
  numbers_.erase(NumberOf(record.Identity()));
  targets_.erase(found);
  usable_.clear();
}

void TargetDirectory::LimitRetention(MonotonicTime end, MonotonicTime now) {
  for (auto& [id, entry] : targets_) {
    if (entry.retained_until) {
      entry.retained_until = std::min(*entry.retained_until, end);
    }
  }
  Advance(now);
}

void TargetDirectory::Advance(MonotonicTime now) {
  std::vector<TargetName> expired;
  for (const auto& [id, entry] : targets_) {
    if (entry.retained_until && now >= *entry.retained_until) {
      expired.push_back(id);
    }
  }
  for (const TargetName& id : expired) {
    Erase(id);
  }
  EndRests(now);
}

void TargetDirectory::Rest(const TargetIdentity& target,
                           const RestRequest& rest,
                           MonotonicTime now) {
  EndRests(now);
  const MonotonicTime asked_until = now + rest.length;
  const auto [found, is_new] = rests_.try_emplace(target);
  RestPeriod& period = found->second;
  if (asked_until <= period.asked_until) {
    return;
  }
  period.asked_until = asked_until;
  period.until = std::max(period.until, asked_until + rest.delay);
  if (TargetState* const state = Find(target)) {
    state->RestUntil(period.until);
  }
  if (is_new) {
    observer_.OnRestStarted(target, period.until - now, rest.request);
  }
}

void TargetDirectory::EndRests(MonotonicTime now) {
  for (auto rest = rests_.begin(); rest != rests_.end();) {
    if (now < rest->second.until) {
      ++rest;
      continue;
    }
    const TargetIdentity target = rest->first;
    rest = rests_.erase(rest);
    observer_.OnRestEnded(target);
  }
}

void TargetDirectory::MarkLeaving(const TargetIdentity& target,
                                  std::string_view request) {
  if (TargetState* const state = Find(target)) {
    if (state->Record().is_leaving) {
      return;
    }
    TargetRecord record = state->Record();
    record.is_leaving = true;
    state->Update(std::move(record));
    usable_.clear();
    observer_.OnLeavingStated(target, request);
    return;
  }
  if (targets_.contains(target.name)) {
    return;  // Another process has the name by now.
  }
  // Its entry may be missing for a moment, and return.
  Departure& departure = departed_[target.name];
  if (departure.is_announced && target.incarnation <= departure.incarnation) {
    return;
  }
  departure = {
      .incarnation = std::max(departure.incarnation, target.incarnation),
      .is_announced = true};
  observer_.OnLeavingStated(target, request);
}

void TargetDirectory::SetEvacuated(std::set<FailureDomainName> domains,
                                   MonotonicTime now) {
  for (const auto& [id, entry] : targets_) {
    const TargetRecord& record = entry.state->Record();
    if (evacuated_.contains(record.domain) &&
        !domains.contains(record.domain)) {
      entry.state->MarkCold(now + ColdTimeOf(record.service));
    }
  }
  evacuated_ = std::move(domains);
  usable_.clear();
}

void TargetDirectory::SetColdTime(const ServiceName& service,
                                  Duration cold_time) {
  cold_times_[service] = cold_time;
}

std::span<const RegionTargets> TargetDirectory::Usable(
    const ServiceName& service) {
  const auto [found, is_new] = usable_.try_emplace(service);
  if (is_new) {
    found->second = GatherUsable(service);
  }
  return found->second;
}

bool TargetDirectory::IsUsable(const Entry& entry) const {
  const TargetRecord& record = entry.state->Record();
  return !record.is_leaving && !entry.is_unreadable &&
         !entry.state->IsReplaced() &&
         // The region of an unknown domain is unknown, so whether the target
         // may be used there is too.
         !entry.state->Region().IsEmpty() &&
         !evacuated_.contains(record.domain);
}

std::optional<std::string> TargetDirectory::FindUsableAddress(
    const TargetIdentity& target,
    MonotonicTime now) const {
  const auto found = targets_.find(target.name);
  const bool is_usable =
      found != targets_.end() &&
      found->second.state->Record().incarnation == target.incarnation &&
      IsUsable(found->second) && !found->second.state->IsResting(now);
  return is_usable ? std::optional(found->second.state->Record().address)
                   : std::nullopt;
}

std::vector<ReachCandidate> TargetDirectory::ReachCandidates(
    MonotonicTime now) const {
  std::vector<ReachCandidate> candidates;
  for (const auto& [id, entry] : targets_) {
    if (IsUsable(entry) && !entry.state->IsResting(now)) {
      const TargetRecord& record = entry.state->Record();
      candidates.push_back({.target = entry.state->Number(),
                            .address = record.address,
                            .domain = record.domain});
    }
  }
  return candidates;
}

void TargetDirectory::ForgetFailures() {
  for (const auto& [id, entry] : targets_) {
    entry.state->ForgetFailures();
  }
}

std::vector<RegionTargets> TargetDirectory::GatherUsable(
    const ServiceName& service) const {
  std::vector<TargetState*> usable;
  for (const auto& [id, entry] : targets_) {
    if (entry.state->Record().service == service && IsUsable(entry)) {
      usable.push_back(entry.state.get());
    }
  }
  return GroupByRegion(usable);
}

void TargetDirectory::MarkReplaced(const TargetIdentity& target) {
  if (TargetState* const state = Find(target)) {
    state->MarkReplaced();
    usable_.clear();
  }
}

TargetState* TargetDirectory::Find(const TargetIdentity& target) {
  const auto found = targets_.find(target.name);
  if (found == targets_.end() ||
      found->second.state->Record().incarnation != target.incarnation) {
    return nullptr;
  }
  return found->second.state.get();
}

TargetState* TargetDirectory::Find(TargetNumber target) {
  const auto found = numbers_.find(target);
  return found == numbers_.end() ? nullptr : found->second;
}

RegionName TargetDirectory::RegionOf(const FailureDomainName& domain) const {
  const auto found = regions_.find(domain);
  return found == regions_.end() ? RegionName() : found->second;
}

Duration TargetDirectory::ColdTimeOf(const ServiceName& service) const {
  const auto found = cold_times_.find(service);
  return found == cold_times_.end() ? Duration(0) : found->second;
}

}  // namespace medlarcroft::request_path
