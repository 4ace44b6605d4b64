#include "medlarcroft/membership/membership_table.h"

#include <algorithm>
#include <string>
#include <utility>

namespace medlarcroft::membership {

namespace {

void Replace(std::string& kept, const std::string& told) {
  if (!told.empty()) {
    kept = told;
  }
}

/// Takes over all but the loads; addresses only when they were told.
void Merge(HostState& kept, const HostState& told) {
  kept.host = told.host;
  kept.failure_domain = told.failure_domain;
  kept.number = told.number;
  kept.phase = told.phase;
  kept.catalogue_revision =
      std::max(kept.catalogue_revision, told.catalogue_revision);
  kept.seats = told.seats;
  Replace(kept.lookup_address, told.lookup_address);
  Replace(kept.entry_address, told.entry_address);
  Replace(kept.peer_address, told.peer_address);
  Replace(kept.share_address, told.share_address);
}

void AddLoads(std::vector<ServiceLoad>& sum,
              const std::vector<ServiceLoad>& loads) {
  for (const ServiceLoad& load : loads) {
    auto total = std::ranges::find(sum, load.service, &ServiceLoad::service);
    if (total == sum.end()) {
      sum.push_back(load);
      continue;
    }
    total->demand_per_second += load.demand_per_second;
    total->outstanding += load.outstanding;
    total->queued += load.queued;
    total->usable_slots += load.usable_slots;
    total->refused_per_second += load.refused_per_second;
    total->shifted_in_per_second += load.shifted_in_per_second;
  }
}

}  // namespace

MembershipTable::MembershipTable(MembershipOptions options,
                                 HostState self,
                                 const ports::Clock& clock)
    : options_(options),
      self_(std::move(self)),
      clock_(clock),
      ticked_at_(clock.Now()),
      resumed_at_(ticked_at_) {}

bool MembershipTable::Tick() {
  const MonotonicTime now = clock_.Now();
  const bool was_paused = now - ticked_at_ > options_.suspect_after;
  ticked_at_ = now;
  if (was_paused) {
    resumed_at_ = now;
    ++self_.number.incarnation;
    self_.number.sequence = 0;
    // Calls that failed before the pause do not make one span with later ones.
    for (auto& [host, record] : records_) {
      record.first_failed_at.reset();
    }
  }
  ForgetGone(now);
  return was_paused;
}

void MembershipTable::UpdateSelf(
    const std::function<void(HostState&)>& change) {
  const StateNumber number = self_.number;
  const bool was_leaving = self_.phase == HostPhase::kLeaving;
  change(self_);
  self_.number = {.incarnation = number.incarnation,
                  .sequence = number.sequence + 1};
  if (was_leaving) {
    self_.phase = HostPhase::kLeaving;
  }
}

bool MembershipTable::Receive(const HostState& state) {
  if (state.host == self_.host) {
    return ReceiveOwn(state);
  }
  // A host that is long gone must not come back through an old message.
  const bool is_known = records_.contains(state.host);
  if (!is_known && state.age >= options_.dead_after) {
    return false;
  }
  const MonotonicTime heard_at =
      clock_.Now() - std::max(state.age, Duration::zero());
  Record& record = RecordOf(state.host);
  const bool is_new = !record.state || record.state->number < state.number;
  if (is_new) {
    HostState merged = record.state.value_or(HostState{});
    const bool is_other_process =
        record.state && ProcessOf(merged.number.incarnation) !=
                            ProcessOf(state.number.incarnation);
    if (is_other_process) {
      merged = HostState{};
      record.loads_number = {};
    }
    Merge(merged, state);
    record.state = std::move(merged);
    record.content_at = heard_at;
  }
  if (record.alive_number < state.number) {
    record.alive_number = state.number;
    record.heard_at = heard_at;
  }
  if (record.is_leaving_unheard) {
    NoteLeaving(record);
  }
  // Whatever overtook it: a process that leaves does not change its mind.
  if (state.phase == HostPhase::kLeaving) {
    record.leaving_through = std::max(record.leaving_through.value_or(0),
                                      ProcessOf(state.number.incarnation));
  }
  const bool has_newer_loads = !state.loads.empty() &&
                               record.loads_number < state.number &&
                               ProcessOf(state.number.incarnation) ==
                                   ProcessOf(record.state->number.incarnation);
  if (has_newer_loads) {
    record.state->loads = state.loads;
    record.loads_number = state.number;
    record.loads_at = heard_at;
  }
  return is_new || has_newer_loads;
}

bool MembershipTable::Receive(const Heartbeat& heartbeat) {
  const auto found = std::ranges::find_if(records_, [&](const auto& entry) {
    return entry.second.host_hash == heartbeat.host_hash && entry.second.state;
  });
  if (found == records_.end()) {
    return false;
  }
  Record& record = found->second;
  const bool is_newer =
      HashOf(record.alive_number.incarnation) == heartbeat.incarnation_hash &&
      record.alive_number.sequence < heartbeat.sequence;
  if (!is_newer) {
    return false;
  }
  record.alive_number.sequence = heartbeat.sequence;
  record.heard_at = std::max(record.heard_at, clock_.Now() - heartbeat.age);
  return true;
}

bool MembershipTable::ReceiveOwn(const HostState& state) {
  if (state.number <= self_.number) {
    return false;
  }
  // Peers know a later number than this process gave: its wall clock was set
  // back between two starts. Without this they would ignore all it says.
  self_.number = {.incarnation = state.number.incarnation + 1, .sequence = 0};
  return true;
}

void MembershipTable::NoteAnswer(const HostName& host) {
  Record& record = RecordOf(host);
  record.answered_at = clock_.Now();
  record.first_failed_at.reset();
}

void MembershipTable::NoteNoAnswer(const HostName& host) {
  Record& record = RecordOf(host);
  record.last_failed_at = clock_.Now();
  if (!record.first_failed_at) {
    record.first_failed_at = record.last_failed_at;
  }
}

void MembershipTable::ApplyHostList(std::span<const ports::ListedHost> hosts) {
  for (auto& [name, record] : records_) {
    record.is_listed = false;
  }
  for (const ports::ListedHost& listed : hosts) {
    if (listed.role != ports::ListedRole::kEntryHost ||
        listed.name == self_.host.Value()) {
      continue;
    }
    Record& record = RecordOf(HostName(listed.name));
    record.is_listed = true;
    record.listed_domain = listed.failure_domain;
    record.listed_address = listed.address;
    // Failure: a restarted host is kept out by the list, which still shows its
    // predecessor leaving. So only the first sight of the sign counts, and for
    // the process known then.
    if (listed.is_leaving && !record.is_listed_leaving) {
      NoteLeaving(record);
    }
    record.is_listed_leaving = listed.is_leaving;
  }
}

void MembershipTable::MarkLeaving(const HostName& host) {
  if (host == self_.host) {
    UpdateSelf([](HostState& self) { self.phase = HostPhase::kLeaving; });
    return;
  }
  NoteLeaving(RecordOf(host));
}

bool MembershipTable::Receive(const DomainSummary& summary) {
  const MonotonicTime heard_at = clock_.Now() - summary.age;
  const bool is_useful = summary.failure_domain != self_.failure_domain &&
                         summary.age < options_.unknown_after;
  if (!is_useful) {
    return false;
  }
  const auto found = summaries_.find(summary.failure_domain);
  if (found != summaries_.end()) {
    const HeardSummary& known = found->second;
    const bool is_same_reporter = known.summary.reporter == summary.reporter;
    const bool is_newer = is_same_reporter
                              ? known.summary.number < summary.number
                              : known.heard_at < heard_at;
    if (!is_newer) {
      return false;
    }
  }
  summaries_[summary.failure_domain] = {.summary = summary,
                                        .heard_at = heard_at};
  return true;
}

std::vector<DomainSummary> MembershipTable::Summaries() const {
  const MonotonicTime now = clock_.Now();
  std::vector<DomainSummary> fresh;
  for (const auto& [domain, heard] : summaries_) {
    if (now - heard.heard_at >= options_.unknown_after) {
      continue;
    }
    fresh.push_back(heard.summary);
    fresh.back().age = now - heard.heard_at;
  }
  return fresh;
}

DomainSummary MembershipTable::Summarise() const {
  DomainSummary summary{.failure_domain = self_.failure_domain,
                        .reporter = self_.host,
                        .number = self_.number,
                        .loads = self_.loads,
                        .live_hosts = 1,
                        .catalogue_revision = self_.catalogue_revision};
  for (const Member& member : Members()) {
    const bool counts = member.state.failure_domain == self_.failure_domain &&
                        (member.liveness == Liveness::kAlive ||
                         member.liveness == Liveness::kSuspect);
    if (!counts) {
      continue;
    }
    ++summary.live_hosts;
    // The lowest: the domain has a revision when all its hosts have it.
    summary.catalogue_revision =
        std::min(summary.catalogue_revision, member.state.catalogue_revision);
    AddLoads(summary.loads, member.state.loads);
  }
  return summary;
}

std::vector<Member> MembershipTable::Members() const {
  const MonotonicTime now = clock_.Now();
  std::vector<Member> members;
  members.reserve(records_.size());
  for (const auto& [host, record] : records_) {
    members.push_back(MemberOf(host, record, now));
  }
  return members;
}

void MembershipTable::VisitHostStates(
    const std::function<void(const HostStateView&)>& visit) const {
  const MonotonicTime now = clock_.Now();
  for (const auto& [host, record] : records_) {
    if (record.state) {
      visit({.state = *record.state,
             .age = now - record.heard_at,
             .is_leaving = IsLeaving(record)});
    }
  }
}

std::optional<Member> MembershipTable::Find(const HostName& host) const {
  const auto found = records_.find(host);
  return found == records_.end()
             ? std::nullopt
             : std::optional(MemberOf(host, found->second, clock_.Now()));
}

std::vector<HostName> MembershipTable::LiveHosts() const {
  const MonotonicTime now = clock_.Now();
  std::vector<HostName> hosts;
  if (self_.phase != HostPhase::kLeaving) {
    hosts.push_back(self_.host);
  }
  for (const auto& [host, record] : records_) {
    const Liveness liveness = LivenessOf(record, now);
    const bool is_live =
        liveness == Liveness::kAlive || liveness == Liveness::kSuspect;
    if (is_live && record.state &&
        record.state->failure_domain == self_.failure_domain) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

MembershipTable::Record& MembershipTable::RecordOf(const HostName& host) {
  Record& record = records_[host];
  record.host_hash = HashOf(host);
  return record;
}

bool MembershipTable::IsLeaving(const Record& record) {
  if (!record.state) {
    return record.is_leaving_unheard;
  }
  return record.leaving_through >= ProcessOf(record.state->number.incarnation);
}

void MembershipTable::NoteLeaving(Record& record) {
  if (!record.state) {
    record.is_leaving_unheard = true;
    return;
  }
  const std::uint64_t process = ProcessOf(record.state->number.incarnation);
  record.leaving_through =
      std::max(record.leaving_through.value_or(0), process);
  record.is_leaving_unheard = false;
}

Liveness MembershipTable::LivenessOf(const Record& record,
                                     MonotonicTime now) const {
  if (!record.state) {
    return record.is_leaving_unheard ? Liveness::kLeaving : Liveness::kUnknown;
  }
  const bool is_own_domain =
      record.state->failure_domain == self_.failure_domain;
  // After a pause of this process everybody looks old: they are suspect at
  // first, and dead only when they stay silent from now on.
  const MonotonicTime heard_at =
      std::max(record.heard_at, resumed_at_ - options_.suspect_after);
  const Duration age = now - heard_at;
  if (!is_own_domain && age >= options_.unknown_after) {
    return Liveness::kUnknown;
  }
  if (is_own_domain && age >= options_.dead_after) {
    return Liveness::kDead;
  }
  if (IsLeaving(record)) {
    return Liveness::kLeaving;
  }
  return is_own_domain && age >= options_.suspect_after ? Liveness::kSuspect
                                                        : Liveness::kAlive;
}

Member MembershipTable::MemberOf(const HostName& host,
                                 const Record& record,
                                 MonotonicTime now) const {
  const HostState unheard{.host = host,
                          .failure_domain = record.listed_domain,
                          .peer_address = record.listed_address};
  Member member{
      .state = record.state.value_or(unheard),
      .liveness = LivenessOf(record, now),
      .alive_number = record.alive_number,
      .loads_number = record.loads_number,
      .answered_at = record.answered_at,
      .is_listed_live = record.is_listed && !record.is_listed_leaving};
  if (record.first_failed_at) {
    member.silent_for = record.last_failed_at - *record.first_failed_at;
  }
  if (record.state) {
    member.state.age = now - record.heard_at;
    member.content_age = now - record.content_at;
    member.loads_age = now - record.loads_at;
  }
  return member;
}

void MembershipTable::ForgetGone(MonotonicTime now) {
  std::erase_if(records_, [&](const auto& entry) {
    const Record& record = entry.second;
    const MonotonicTime last_sign =
        std::max(record.heard_at, record.answered_at.value_or(MonotonicTime()));
    return !record.is_listed && !record.is_leaving_unheard &&
           now - last_sign >= options_.forget_after;
  });
}

}  // namespace medlarcroft::membership
