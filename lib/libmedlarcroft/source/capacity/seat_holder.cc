#include "medlarcroft/capacity/seat_holder.h"

#include <algorithm>

#include "medlarcroft/capacity/seat_policy.h"

namespace medlarcroft::capacity {

SeatHolder::SeatHolder(SeatHolderOptions options,
                       ports::TableStore& store,
                       const ports::Clock& clock)
    : options_(std::move(options)),
      table_(options_.failure_domain, store),
      clock_(clock),
      heartbeat_at_(clock.Now()),
      resumed_at_(heartbeat_at_),
      wait_until_(heartbeat_at_) {}

void SeatHolder::RecordHeartbeat() {
  const std::lock_guard lock(mutex_);
  DetectPause();
}

void SeatHolder::Step(std::uint32_t seats,
                      std::uint64_t split_revision,
                      const DomainEvidence& evidence) {
  std::uint64_t pauses = 0;
  {
    const std::lock_guard lock(mutex_);
    DetectPause();
    pauses = pauses_;
    split_revision_ = std::max(split_revision_, split_revision);
  }
  const auto snapshots = table_.Read(seats);
  std::optional<PlannedWrite> write;
  {
    const std::lock_guard lock(mutex_);
    DetectPause();
    if (!snapshots) {
      StepWithoutPlatform(evidence);
      return;
    }
    // Rows read before a pause may be out of date after it.
    if (pauses_ != pauses) {
      return;
    }
    // Without any owner no other split can be in use.
    unanimous_revision_ = IsAnyTaken(*snapshots)
                              ? CommonRevision(*snapshots)
                              : std::optional(split_revision_);
    RecordOwners(*snapshots);
    write = Plan(*snapshots, seats, evidence);
  }
  if (!write) {
    return;
  }
  const auto result = table_.Commit(write->transaction);
  // Without an answer nothing is assumed: the next round reads the rows again.
  if (!IsOk(result) || !ValueOf(result).committed) {
    return;
  }
  const std::lock_guard lock(mutex_);
  DetectPause();
  ApplyWrite(*write, pauses_ != pauses);
}

void SeatHolder::ReleaseSeat() {
  const std::lock_guard lock(mutex_);
  is_releasing_ = true;
  ResetSeat();
}

std::optional<SeatHandover> SeatHolder::HandOver(const SeatOwner& successor) {
  const std::lock_guard lock(mutex_);
  DetectPause();
  if (handover_) {
    return handover_->successor == successor ? handover_ : std::nullopt;
  }
  if (state_ != SeatState::kHeld || successor == options_.self) {
    return std::nullopt;
  }
  handover_ = SeatHandover{.failure_domain = options_.failure_domain,
                           .seat = *seat_,
                           .epoch = epoch_,
                           .generation = generation_ + 1,
                           .adopted_revision = split_revision_,
                           .successor = successor};
  is_releasing_ = true;
  ResetSeat();
  return handover_;
}

bool SeatHolder::Accept(const SeatHandover& handover) {
  const std::lock_guard lock(mutex_);
  DetectPause();
  const bool is_for_this = handover.successor == options_.self &&
                           handover.failure_domain == options_.failure_domain;
  if (!is_for_this || is_releasing_) {
    return false;
  }
  const std::pair number{handover.epoch, handover.generation};
  const auto newest = newest_handovers_.find(handover.seat);
  const bool is_repeat =
      newest != newest_handovers_.end() && newest->second >= number;
  if (is_repeat) {
    return seat_ == handover.seat && epoch_ == handover.epoch &&
           generation_ == handover.generation;
  }
  // Adopting an older split could make the sum of shares exceed the limit.
  if (state_ != SeatState::kNone ||
      handover.adopted_revision > split_revision_) {
    return false;
  }
  newest_handovers_[handover.seat] = number;
  AssumeSeat(handover.seat, handover.epoch,
             options_.rules.ReuseDelayAfterRelease());
  generation_ = handover.generation;
  is_delegated_ = true;
  return true;
}

SeatState SeatHolder::State() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

std::optional<std::uint32_t> SeatHolder::Seat() const {
  const std::lock_guard lock(mutex_);
  return seat_;
}

MonotonicTime SeatHolder::ValidUntil() const {
  const std::lock_guard lock(mutex_);
  return state_ == SeatState::kHeld ? heartbeat_at_ + options_.rules.lease
                                    : MonotonicTime::min();
}

std::vector<HostName> SeatHolder::HostsToProbe(
    const DomainEvidence& evidence) const {
  const std::lock_guard lock(mutex_);
  std::vector<HostName> hosts;
  for (const PeerEvidence& peer : evidence.peers) {
    const bool is_owner =
        std::ranges::find(owners_, peer.host) != owners_.end();
    if (state_ == SeatState::kUnconfirmed || state_ == SeatState::kWaiting ||
        options_.is_sibling || (is_owner && !peer.is_listed_live)) {
      hosts.push_back(peer.host);
    }
  }
  return hosts;
}

std::optional<std::uint64_t> SeatHolder::UnanimousRevision() const {
  const std::lock_guard lock(mutex_);
  return unanimous_revision_;
}

bool SeatHolder::WantsSeat(const DomainEvidence& evidence) const {
  if (is_releasing_) {
    return false;
  }
  return !options_.is_sibling ||
         MayServeSibling(options_.failure_domain, evidence, options_.rules,
                         resumed_at_, clock_.Now());
}

bool SeatHolder::IsClaimedByPeer(std::uint32_t seat,
                                 const DomainEvidence& evidence) const {
  return IsSeatContested(seat, evidence, clock_.Now() - options_.rules.lease);
}

void SeatHolder::ApplyWrite(const PlannedWrite& write, bool was_paused) {
  if (write.kind == WriteKind::kFree) {
    return;
  }
  if (write.kind == WriteKind::kUpdate) {
    if (seat_ == write.seat) {
      epoch_ = write.row.epoch;
      is_delegated_ = false;
    }
    return;
  }
  if (state_ != SeatState::kNone || is_releasing_) {
    return;  // Freed as an orphaned row in the next round.
  }
  AssumeSeat(write.seat, write.row.epoch, write.wait);
  if (was_paused) {
    state_ = SeatState::kUnconfirmed;
  }
}

void SeatHolder::StepWithoutPlatform(const DomainEvidence& evidence) {
  if (state_ == SeatState::kNone) {
    return;
  }
  const bool must_yield = state_ == SeatState::kWaiting ||
                          (state_ == SeatState::kHeld && is_provisional_);
  if (must_yield && IsClaimedByPeer(*seat_, evidence)) {
    ResetSeat();
    return;
  }
  if (state_ == SeatState::kUnconfirmed) {
    if (!MayResume(evidence)) {
      return;
    }
    is_provisional_ = true;
  }
  UpdateState(evidence);
}

void SeatHolder::RecordOwners(const SeatSnapshots& snapshots) {
  owners_.clear();
  for (const SeatSnapshot& entry : snapshots) {
    if (entry.IsTaken() && state_ == SeatState::kNone) {
      owners_.push_back(entry.row.owner.host);
    }
  }
}

bool SeatHolder::MayResume(const DomainEvidence& evidence) {
  const MonotonicTime now = clock_.Now();
  if (IsSeatContested(*seat_, evidence, resumed_at_)) {
    uncontested_since_ = now;
  }
  return HasProbedAll(evidence, resumed_at_) &&
         now - uncontested_since_ > options_.rules.ReuseDelayAfterRelease();
}

// Guards against two users of a seat after a pause: this process is stopped for
// a minute, a sibling takes the seat, and after resuming both use it, so the
// target gets more requests than it has slots. The clock advances during the
// pause, so the gap between two heartbeats reveals it. `ValidUntil` has passed
// by then and stops dispatching even before this check.
void SeatHolder::DetectPause() {
  const MonotonicTime now = clock_.Now();
  const Duration gap = now - heartbeat_at_;
  heartbeat_at_ = now;
  if (gap <= options_.rules.lease) {
    return;
  }
  // A host that takes a seat waits for the same time before it uses it.
  was_long_pause_ = gap > options_.rules.ReuseDelay() ||
                    (was_long_pause_ && state_ == SeatState::kUnconfirmed);
  ++pauses_;
  resumed_at_ = now;
  uncontested_since_ = now;
  if (state_ != SeatState::kNone) {
    state_ = SeatState::kUnconfirmed;
  }
}

// Guards against two users of a seat after a handover: the seat was handed over
// to a host that cannot reach the platform, and with 52 hosts its claim spreads
// slowly. The new owner therefore calls every peer before it uses the seat; a
// peer that claims the seat is found that way.
void SeatHolder::UpdateState(const DomainEvidence& evidence) {
  const bool had_owner = wait_until_ > taken_at_;
  const bool is_waiting = clock_.Now() < wait_until_ ||
                          (had_owner && !HasProbedAll(evidence, taken_at_));
  state_ = is_waiting ? SeatState::kWaiting : SeatState::kHeld;
}

void SeatHolder::AssumeSeat(std::uint32_t seat,
                            std::uint64_t epoch,
                            Duration wait) {
  seat_ = seat;
  epoch_ = epoch;
  generation_ = 0;
  is_delegated_ = false;
  is_provisional_ = false;
  taken_at_ = clock_.Now();
  wait_until_ = taken_at_ + wait;
  state_ = wait > Duration::zero() ? SeatState::kWaiting : SeatState::kHeld;
}

void SeatHolder::ResetSeat() {
  state_ = SeatState::kNone;
  seat_.reset();
  is_delegated_ = false;
  is_provisional_ = false;
}

}  // namespace medlarcroft::capacity
