#include "medlarcroft/capacity/capacity_manager.h"

#include <algorithm>
#include <utility>

#include "medlarcroft/capacity/split.h"

namespace medlarcroft::capacity {

namespace {

/// Interval between two loan requests for one target: a few service times, so
/// that even a shortage of one second is relieved, and at most four messages a
/// second per target.
constexpr Duration kBorrowRetryInterval = std::chrono::milliseconds(250);

}  // namespace

CapacityManager::CapacityManager(const Options& options,
                                 ports::TableStore& store,
                                 const ports::Clock& clock)
    : options_(options),
      store_(store),
      clock_(clock),
      allocator_({.host = options.host,
                  .incarnation = options.incarnation,
                  .rules = options.rules},
                 clock) {}

void CapacityManager::ApplyPlan(CapacityPlan plan) {
  const std::lock_guard lock(mutex_);
  lenders_ = std::move(plan.lenders);
  evidence_ = std::move(plan.evidence);
  for (const SeatDomainPlan& domain : plan.domains) {
    Domain& known = domains_[domain.failure_domain];
    known.plan = domain;
    if (!known.holder) {
      known.holder = std::make_shared<SeatHolder>(
          SeatHolderOptions{.self = {options_.host, options_.incarnation},
                            .failure_domain = domain.failure_domain,
                            .is_sibling = domain.is_sibling,
                            .rules = options_.rules},
          store_, clock_);
    }
  }

  for (auto& [name, limit] : limits_) {
    limit.plan.slots = 0;
  }
  for (const SlotLimit& planned : plan.limits) {
    const std::string name = SlotLimitName(planned.target.Value());
    const auto [found, is_new] = limits_.try_emplace(
        name,
        Limit{.plan = planned, .transition = SplitTransition(options_.rules)});
    found->second.plan = planned;
  }
  RefreshOwnShares();
}

void CapacityManager::RecordHeartbeat() {
  const std::lock_guard lock(mutex_);
  for (auto& [name, domain] : domains_) {
    domain.holder->RecordHeartbeat();
  }
  RefreshOwnShares();
}

void CapacityManager::StepSeats(bool are_targets_reachable) {
  std::vector<Domain> domains;
  CapacityEvidence evidence;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, domain] : domains_) {
      domains.push_back(domain);
    }
    evidence = evidence_;
  }
  for (const Domain& domain : domains) {
    domain.holder->Step(
        domain.plan.seats, domain.plan.split_revision,
        evidence.For(domain.plan.failure_domain, are_targets_reachable));
  }
  const std::lock_guard lock(mutex_);
  RefreshOwnShares();
}

std::set<HostName> CapacityManager::HostsToProbe() const {
  const std::lock_guard lock(mutex_);
  std::set<HostName> wanted;
  for (const auto& [name, domain] : domains_) {
    // Target reachability does not affect which hosts to call.
    const DomainEvidence evidence = evidence_.For(name, false);
    for (HostName& host : domain.holder->HostsToProbe(evidence)) {
      wanted.insert(std::move(host));
    }
  }
  return wanted;
}

void CapacityManager::ReleaseSeats() {
  const std::lock_guard lock(mutex_);
  is_releasing_ = true;
  for (auto& [name, domain] : domains_) {
    domain.holder->ReleaseSeat();
  }
  RefreshOwnShares();
}

bool CapacityManager::TryTake(const TargetName& target) {
  const std::lock_guard lock(mutex_);
  const std::string name = SlotLimitName(target.Value());
  const auto found = limits_.find(name);
  if (found == limits_.end()) {
    return false;
  }
  RefreshLimit(name, found->second);
  auto unit = allocator_.TryAcquire(name);
  if (!unit) {
    return false;
  }
  found->second.acquired_units.push_back(*std::move(unit));
  return true;
}

void CapacityManager::Release(const TargetName& target) {
  const std::lock_guard lock(mutex_);
  const auto found = limits_.find(SlotLimitName(target.Value()));
  if (found == limits_.end() || found->second.acquired_units.empty()) {
    return;
  }
  // The acquired units are interchangeable for the target. Release the one with
  // the earliest deadline, so that no loan is used beyond its end.
  std::vector<AcquiredUnit>& acquired_units = found->second.acquired_units;
  const auto first =
      std::ranges::min_element(acquired_units, {}, &AcquiredUnit::deadline);
  allocator_.Release(*first);
  acquired_units.erase(first);
}

UsableSlots CapacityManager::UsableSlotsOf(const TargetName& target) const {
  const std::lock_guard lock(mutex_);
  const ShareState state = allocator_.State(SlotLimitName(target.Value()));
  return {.own = state.own,
          .borrowed = state.borrowed,
          .lent = std::min(state.own, state.lent)};
}

std::map<FailureDomainName, std::uint32_t> CapacityManager::Seats() const {
  const std::lock_guard lock(mutex_);
  std::map<FailureDomainName, std::uint32_t> seats;
  for (const auto& [name, domain] : domains_) {
    if (const auto seat = domain.holder->Seat()) {
      seats[name] = *seat;
    }
  }
  return seats;
}

std::vector<SeatStatus> CapacityManager::Status() const {
  const std::lock_guard lock(mutex_);
  std::vector<SeatStatus> status;
  for (const auto& [name, domain] : domains_) {
    status.push_back({.failure_domain = name,
                      .state = domain.holder->State(),
                      .seat = domain.holder->Seat()});
  }
  return status;
}

bool CapacityManager::HasSeat() const {
  const std::lock_guard lock(mutex_);
  return std::ranges::any_of(domains_, [](const auto& each) {
    return each.second.holder->State() == SeatState::kHeld;
  });
}

bool CapacityManager::IsWaitingForSplit() const {
  const std::lock_guard lock(mutex_);
  return std::ranges::any_of(limits_, [this](const auto& each) {
    const SeatHolder* holder = HolderOf(each.second.plan.failure_domain);
    const bool is_held =
        holder != nullptr && holder->State() == SeatState::kHeld;
    // With more seats than slots, most splits permanently give this seat
    // nothing, so there is nothing to wait for.
    const SplitTransition& split = each.second.transition;
    const bool has_share =
        each.second.is_started && (split.Amount() > 0 || !split.IsGrowing());
    return is_held && each.second.plan.slots > 0 && !has_share;
  });
}

double CapacityManager::OwnRateShare(const FailureDomainName& domain,
                                     double rate) const {
  const std::lock_guard lock(mutex_);
  const auto found = domains_.find(domain);
  if (found == domains_.end() ||
      clock_.Now() >= found->second.holder->ValidUntil()) {
    return 0.0;
  }
  const auto seat = found->second.holder->Seat();
  return seat ? SplitRate(rate, found->second.plan.seats, *seat) : 0.0;
}

ShareGrant CapacityManager::Lend(const ShareRequest& request) {
  const std::lock_guard lock(mutex_);
  const auto found = limits_.find(request.limit_name);
  if (found == limits_.end() || is_releasing_) {
    return {.request_id = request.request_id};
  }
  RefreshLimit(request.limit_name, found->second);
  return allocator_.Lend(request);
}

void CapacityManager::AcceptReturn(const ShareRequest& request) {
  const std::lock_guard lock(mutex_);
  allocator_.AcceptReturn(request);
}

CapacityManager::DueRequests CapacityManager::CollectDueRequests(
    const std::vector<TargetName>& saturated) {
  const std::lock_guard lock(mutex_);
  const MonotonicTime now = clock_.Now();
  DueRequests due{.requests = allocator_.Renewals(),
                  .returns = allocator_.Returns()};
  for (const auto& [name, limit] : limits_) {
    allocator_.SetRecall(
        name,
        std::ranges::find(saturated, limit.plan.target) != saturated.end());
  }
  for (const TargetName& target : saturated) {
    const std::string name = SlotLimitName(target.Value());
    const auto limit = limits_.find(name);
    if (limit == limits_.end() || is_releasing_) {
      continue;
    }
    BorrowHistory& history = borrow_history_[name];
    if (now - history.last_request_at < kBorrowRetryInterval) {
      continue;
    }
    if (const auto lender = ChooseLender(name, limit->second)) {
      history.last_request_at = now;
      ++history.next_lender;
      due.requests.push_back(
          allocator_.Borrow(name, options_.borrow_amount, *lender));
    }
  }
  return due;
}

void CapacityManager::Apply(const OutgoingShareRequest& outgoing,
                            const ShareGrant& grant) {
  const std::lock_guard lock(mutex_);
  allocator_.Apply(outgoing, grant);
}

void CapacityManager::RefreshOwnShares() {
  MonotonicTime valid_until = MonotonicTime::max();
  bool has_seat = false;
  for (const auto& [name, domain] : domains_) {
    const MonotonicTime until = domain.holder->ValidUntil();
    if (until == MonotonicTime::min()) {
      continue;
    }
    has_seat = true;
    valid_until = std::min(valid_until, until);
  }
  allocator_.SetOwnValidUntil(has_seat ? valid_until : MonotonicTime::min());
  for (auto& [name, limit] : limits_) {
    RefreshLimit(name, limit);
  }
}

void CapacityManager::RefreshLimit(const std::string& name, Limit& limit) {
  const SeatHolder* holder = HolderOf(limit.plan.failure_domain);
  const auto seat = holder == nullptr ? std::nullopt : holder->Seat();
  const bool is_held = seat && holder->ValidUntil() > clock_.Now();
  if (!is_held) {
    // A lost or unconfirmed seat has no share; the split starts anew when the
    // seat is held again.
    limit.is_started = false;
    allocator_.SetOwn(name, 0);
    return;
  }

  const SeatDomainPlan& plan = domains_.at(limit.plan.failure_domain).plan;
  const std::uint32_t amount =
      SplitLimit(name, limit.plan.slots, plan.seats, *seat);
  const auto unanimous = holder->UnanimousRevision();
  if (!std::exchange(limit.is_started, true)) {
    limit.transition.Begin(plan.split_revision, amount, unanimous);
  }
  limit.transition.Propose(plan.split_revision, amount);
  limit.transition.Confirm(unanimous, clock_.Now());
  allocator_.SetOwn(name, limit.transition.Amount());
}

const SeatHolder* CapacityManager::HolderOf(
    const FailureDomainName& domain) const {
  const auto found = domains_.find(domain);
  return found == domains_.end() ? nullptr : found->second.holder.get();
}

std::optional<HostName> CapacityManager::ChooseLender(
    const std::string& name,
    const Limit& limit) const {
  const auto domain = domains_.find(limit.plan.failure_domain);
  if (domain == domains_.end()) {
    return std::nullopt;
  }
  const std::vector<std::uint32_t> with_share =
      SeatsWithShare(name, limit.plan.slots, domain->second.plan.seats);
  std::vector<const Lender*> candidates;
  for (const Lender& lender : lenders_) {
    const auto seat = lender.seats.find(limit.plan.failure_domain);
    const bool has_share =
        seat != lender.seats.end() &&
        std::ranges::find(with_share, seat->second) != with_share.end();
    if (has_share && lender.host != options_.host) {
      candidates.push_back(&lender);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto history = borrow_history_.find(name);
  const std::size_t next_lender =
      history == borrow_history_.end() ? 0 : history->second.next_lender;
  return candidates[next_lender % candidates.size()]->host;
}

}  // namespace medlarcroft::capacity
