#include "medlarcroft/membership/membership_table.h"

#include <algorithm>
#include <string>
#include <utility>

namespace medlarcroft::membership {

namespace {

void Replace(std::string& kept, const std::string& received) {
  if (!received.empty()) {
    kept = received;
  }
}

/// Copies everything but the loads; addresses only when the sender included
/// them.
void Merge(HostState& kept, const HostState& received) {
  kept.host = received.host;
  kept.failure_domain = received.failure_domain;
  kept.number = received.number;
  kept.phase = received.phase;
  kept.catalogue_revision =
      std::max(kept.catalogue_revision, received.catalogue_revision);
  kept.seats = received.seats;
  Replace(kept.lookup_address, received.lookup_address);
  Replace(kept.entry_address, received.entry_address);
  Replace(kept.peer_address, received.peer_address);
  Replace(kept.share_address, received.share_address);
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
    // Calls that failed before the pause do not form one period without answers
    // with later ones.
    for (auto& [host, record] : records_) {
      record.first_failed_at.reset();
    }
  }
  RemoveExpired(now);
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
  // A dead host must not be added again by an old message.
  const bool is_known = records_.contains(state.host);
  if (!is_known && state.age >= options_.dead_after) {
    return false;
  }
  const MonotonicTime last_seen_at =
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
    record.content_at = last_seen_at;
  }
  if (record.alive_number < state.number) {
    record.alive_number = state.number;
    record.last_seen_at = last_seen_at;
  }
  if (record.is_leaving_before_state) {
    SetLeaving(record);
  }
  // Applies even to a message that arrives out of order, since a leaving
  // process never returns to another phase.
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
    record.loads_at = last_seen_at;
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
  record.last_seen_at =
      std::max(record.last_seen_at, clock_.Now() - heartbeat.age);
  return true;
}

bool MembershipTable::ReceiveOwn(const HostState& state) {
  if (state.number <= self_.number) {
    return false;
  }
  // Peers have a later number than this process has used: its wall clock was
  // set back between two starts. Without a higher number, peers would ignore
  // all its statements.
  self_.number = {.incarnation = state.number.incarnation + 1, .sequence = 0};
  return true;
}

void MembershipTable::RecordAnswer(const HostName& host) {
  Record& record = RecordOf(host);
  record.answered_at = clock_.Now();
  record.first_failed_at.reset();
}

void MembershipTable::RecordFailedCall(const HostName& host) {
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
    // The list may still show the previous process of a restarted host as
    // leaving, and the new process would be excluded. So only the first
    // appearance of the mark counts, and only for the process known then.
    if (listed.is_leaving && !record.is_listed_leaving) {
      SetLeaving(record);
    }
    record.is_listed_leaving = listed.is_leaving;
  }
}

void MembershipTable::MarkLeaving(const HostName& host) {
  if (host == self_.host) {
    UpdateSelf([](HostState& self) { self.phase = HostPhase::kLeaving; });
    return;
  }
  SetLeaving(RecordOf(host));
}

bool MembershipTable::Receive(const DomainSummary& summary) {
  const MonotonicTime reported_at = clock_.Now() - summary.age;
  const bool is_useful = summary.failure_domain != self_.failure_domain &&
                         summary.age < options_.unknown_after;
  if (!is_useful) {
    return false;
  }
  const auto found = summaries_.find(summary.failure_domain);
  if (found != summaries_.end()) {
    const ReceivedSummary& known = found->second;
    const bool is_same_reporter = known.summary.reporter == summary.reporter;
    const bool is_newer = is_same_reporter
                              ? known.summary.number < summary.number
                              : known.reported_at < reported_at;
    if (!is_newer) {
      return false;
    }
  }
  summaries_[summary.failure_domain] = {.summary = summary,
                                        .reported_at = reported_at};
  return true;
}

std::vector<DomainSummary> MembershipTable::Summaries() const {
  const MonotonicTime now = clock_.Now();
  std::vector<DomainSummary> fresh;
  for (const auto& [domain, received] : summaries_) {
    if (now - received.reported_at >= options_.unknown_after) {
      continue;
    }
    fresh.push_back(received.summary);
    fresh.back().age = now - received.reported_at;
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
    // The minimum, since the domain has a revision only when all its hosts have
    // it.
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
             .age = now - record.last_seen_at,
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
    return record.is_leaving_before_state;
  }
  return record.leaving_through >= ProcessOf(record.state->number.incarnation);
}

void MembershipTable::SetLeaving(Record& record) {
  if (!record.state) {
    record.is_leaving_before_state = true;
    return;
  }
  const std::uint64_t process = ProcessOf(record.state->number.incarnation);
  record.leaving_through =
      std::max(record.leaving_through.value_or(0), process);
  record.is_leaving_before_state = false;
}

Liveness MembershipTable::LivenessOf(const Record& record,
                                     MonotonicTime now) const {
  if (!record.state) {
    return record.is_leaving_before_state ? Liveness::kLeaving
                                          : Liveness::kUnknown;
  }
  const bool is_own_domain =
      record.state->failure_domain == self_.failure_domain;
  // After a pause of this process the last heartbeats of all hosts look old.
  // The hosts are suspect at first, and dead only if no state or heartbeat
  // arrives from now on.
  const MonotonicTime last_seen_at =
      std::max(record.last_seen_at, resumed_at_ - options_.suspect_after);
  const Duration age = now - last_seen_at;
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
  const HostState listed_state{.host = host,
                               .failure_domain = record.listed_domain,
                               .peer_address = record.listed_address};
  Member member{
      .state = record.state.value_or(listed_state),
      .liveness = LivenessOf(record, now),
      .alive_number = record.alive_number,
      .loads_number = record.loads_number,
      .answered_at = record.answered_at,
      .is_listed_live = record.is_listed && !record.is_listed_leaving};
  if (record.first_failed_at) {
    member.silent_for = record.last_failed_at - *record.first_failed_at;
  }
  if (record.state) {
    member.state.age = now - record.last_seen_at;
    member.content_age = now - record.content_at;
    member.loads_age = now - record.loads_at;
  }
  return member;
}

void MembershipTable::RemoveExpired(MonotonicTime now) {
  std::erase_if(records_, [&](const auto& entry) {
    const Record& record = entry.second;
    const MonotonicTime last_contact_at = std::max(
        record.last_seen_at, record.answered_at.value_or(MonotonicTime()));
    return !record.is_listed && !record.is_leaving_before_state &&
           now - last_contact_at >= options_.forget_after;
  });
}

}  // namespace medlarcroft::membership
