#include "medlarcroft/request_path/target_book.h"

#include <utility>

namespace medlarcroft::request_path {

TargetBook::TargetBook(DomainRegions regions, BookObserver& observer)
    : regions_(std::move(regions)), observer_(observer) {}

void TargetBook::ReplaceAll(std::span<const TargetRecord> targets,
                            std::optional<MonotonicTime> doubted_until,
                            MonotonicTime now) {
  std::set<TargetName> listed;
  for (const TargetRecord& target : targets) {
    listed.insert(target.id);
    Put(target, now);
  }
  std::vector<TargetName> missing;
  for (const auto& [id, entry] : targets_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const TargetName& id : missing) {
    Remove(id, doubted_until);
  }
  is_first_list_ = false;
}

void TargetBook::Put(const TargetRecord& target, MonotonicTime now) {
  const auto found = targets_.find(target.id);
  if (found == targets_.end()) {
    if (!departed_.contains(target.id)) {
      Add(target, now);
    }
    return;
  }
  Entry& entry = found->second;
  if (entry.doubted_until) {
    entry.doubted_until.reset();
    observer_.OnTargetChange(BookChange::kReturned, target);
  }
  TargetRecord updated = target;
  const TargetRecord& known = entry.state->Record();
  updated.is_leaving = updated.is_leaving || known.is_leaving;
  if (updated == known) {
    return;
  }
  if (updated.cold_remaining > Duration(0)) {
    entry.state->MarkCold(now + updated.cold_remaining);
  }
  const bool leaves_now = updated.is_leaving && !known.is_leaving;
  entry.state->Update(updated);
  observer_.OnTargetChange(
      leaves_now ? BookChange::kLeaving : BookChange::kUpdated, updated);
}

void TargetBook::Add(const TargetRecord& target, MonotonicTime now) {
  auto state = std::make_unique<TargetState>(target, RegionOf(target.domain));
  // A target that appears while this host runs has just started, whatever its
  // first entry says.
  const Duration cold = is_first_list_ ? target.cold_remaining
                                       : std::max(target.cold_remaining,
                                                  ColdTimeOf(target.service));
  if (cold > Duration(0)) {
    state->MarkCold(now + cold);
  }
  targets_.emplace(target.id, Entry{.state = std::move(state)});
  observer_.OnTargetChange(
      target.is_leaving ? BookChange::kLeaving : BookChange::kAdded, target);
}

void TargetBook::Remove(const TargetName& target,
                        std::optional<MonotonicTime> doubted_until) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  Entry& entry = found->second;
  if (doubted_until && !entry.state->Record().is_leaving) {
    if (!entry.doubted_until) {
      entry.doubted_until = doubted_until;
      observer_.OnTargetChange(BookChange::kDoubted, entry.state->Record());
    }
    return;
  }
  Erase(target);
}

void TargetBook::Erase(const TargetName& target) {
  const auto found = targets_.find(target);
  observer_.OnTargetChange(BookChange::kRemoved, found->second.state->Record());
  if (found->second.state->Record().is_leaving) {
    departed_.insert(target);
  }
  targets_.erase(found);
}

void TargetBook::Advance(MonotonicTime now) {
  std::vector<TargetName> ended;
  for (const auto& [id, entry] : targets_) {
    if (entry.doubted_until && now >= *entry.doubted_until) {
      ended.push_back(id);
    }
  }
  for (const TargetName& id : ended) {
    Erase(id);
  }
}

void TargetBook::SetEvacuated(std::set<FailureDomainName> domains,
                              MonotonicTime now) {
  for (const auto& [id, entry] : targets_) {
    const TargetRecord& record = entry.state->Record();
    if (evacuated_.contains(record.domain) &&
        !domains.contains(record.domain)) {
      entry.state->MarkCold(now + ColdTimeOf(record.service));
    }
  }
  evacuated_ = std::move(domains);
}

void TargetBook::SetColdTime(const ServiceName& service, Duration cold_time) {
  cold_times_[service] = cold_time;
}

std::vector<TargetState*> TargetBook::Usable(const ServiceName& service) {
  std::vector<TargetState*> usable;
  for (const auto& [id, entry] : targets_) {
    const TargetRecord& record = entry.state->Record();
    if (record.service == service && !record.is_leaving &&
        !entry.state->IsReplaced() && !evacuated_.contains(record.domain)) {
      usable.push_back(entry.state.get());
    }
  }
  return usable;
}

TargetState* TargetBook::Find(const TargetName& target) {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : found->second.state.get();
}

RegionName TargetBook::RegionOf(const FailureDomainName& domain) const {
  const auto found = regions_.find(domain);
  return found == regions_.end() ? RegionName() : found->second;
}

Duration TargetBook::ColdTimeOf(const ServiceName& service) const {
  const auto found = cold_times_.find(service);
  return found == cold_times_.end() ? Duration(0) : found->second;
}

}  // namespace medlarcroft::request_path
