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
      beat_at_(clock.Now()),
      resumed_at_(beat_at_),
      wait_until_(beat_at_) {}

void SeatHolder::RecordHeartbeat() {
  const std::lock_guard lock(mutex_);
  NotePause();
}

void SeatHolder::Step(std::uint32_t seats,
                      std::uint64_t split_revision,
                      const DomainEvidence& evidence) {
  std::uint64_t pauses = 0;
  {
    const std::lock_guard lock(mutex_);
    NotePause();
    pauses = pauses_;
    split_revision_ = std::max(split_revision_, split_revision);
  }
  const auto seen = table_.Read(seats);
  std::optional<PlannedWrite> write;
  {
    const std::lock_guard lock(mutex_);
    NotePause();
    if (!seen) {
      KeepWithoutPlatform(evidence);
      return;
    }
    // What was read before a pause says nothing about the time after it.
    if (pauses_ != pauses) {
      return;
    }
    // Without any owner there is no other split that could be in use.
    unanimous_revision_ = IsAnyTaken(*seen) ? SharedRevision(*seen)
                                            : std::optional(split_revision_);
    NoteOwners(*seen);
    write = Plan(*seen, seats, evidence);
  }
  if (!write) {
    return;
  }
  const auto result = table_.Commit(write->transaction);
  // Without an answer nothing is assumed: the next round reads the rows.
  if (!IsOk(result) || !ValueOf(result).committed) {
    return;
  }
  const std::lock_guard lock(mutex_);
  NotePause();
  ApplyWrite(*write, pauses_ != pauses);
}

void SeatHolder::GiveUp() {
  const std::lock_guard lock(mutex_);
  is_giving_up_ = true;
  Drop();
}

std::optional<SeatHandover> SeatHolder::HandOver(const SeatOwner& successor) {
  const std::lock_guard lock(mutex_);
  NotePause();
  if (passed_on_) {
    return passed_on_->successor == successor ? passed_on_ : std::nullopt;
  }
  if (standing_ != SeatState::kHeld || successor == options_.self) {
    return std::nullopt;
  }
  passed_on_ = SeatHandover{.failure_domain = options_.failure_domain,
                            .seat = *seat_,
                            .epoch = epoch_,
                            .generation = generation_ + 1,
                            .adopted_revision = split_revision_,
                            .successor = successor};
  is_giving_up_ = true;
  Drop();
  return passed_on_;
}

bool SeatHolder::Accept(const SeatHandover& handover) {
  const std::lock_guard lock(mutex_);
  NotePause();
  const bool is_for_this = handover.successor == options_.self &&
                           handover.failure_domain == options_.failure_domain;
  if (!is_for_this || is_giving_up_) {
    return false;
  }
  const std::pair number{handover.epoch, handover.generation};
  const auto newest = seen_.find(handover.seat);
  const bool is_repeat = newest != seen_.end() && newest->second >= number;
  if (is_repeat) {
    return seat_ == handover.seat && epoch_ == handover.epoch &&
           generation_ == handover.generation;
  }
  // An older split in use here would break the sum.
  if (standing_ != SeatState::kNone ||
      handover.adopted_revision > split_revision_) {
    return false;
  }
  seen_[handover.seat] = number;
  Occupy(handover.seat, handover.epoch, options_.rules.WaitOutAfterRelease());
  generation_ = handover.generation;
  is_delegated_ = true;
  return true;
}

SeatState SeatHolder::State() const {
  const std::lock_guard lock(mutex_);
  return standing_;
}

std::optional<std::uint32_t> SeatHolder::Seat() const {
  const std::lock_guard lock(mutex_);
  return seat_;
}

MonotonicTime SeatHolder::ValidUntil() const {
  const std::lock_guard lock(mutex_);
  return standing_ == SeatState::kHeld ? beat_at_ + options_.rules.lease
                                       : MonotonicTime::min();
}

std::vector<HostName> SeatHolder::HostsToProbe(
    const DomainEvidence& evidence) const {
  const std::lock_guard lock(mutex_);
  std::vector<HostName> hosts;
  for (const PeerEvidence& peer : evidence.peers) {
    const bool is_owner =
        std::ranges::find(owners_, peer.host) != owners_.end();
    if (standing_ == SeatState::kUnconfirmed ||
        standing_ == SeatState::kWaiting || options_.is_sibling ||
        (is_owner && !peer.is_listed_live)) {
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
  if (is_giving_up_) {
    return false;
  }
  return !options_.is_sibling ||
         MayServeSibling(options_.failure_domain, evidence, options_.rules,
                         resumed_at_, clock_.Now());
}

bool SeatHolder::IsClaimedByPeer(std::uint32_t seat,
                                 const DomainEvidence& evidence) const {
  return IsSeatDisputed(seat, evidence, clock_.Now() - options_.rules.lease);
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
  if (standing_ != SeatState::kNone || is_giving_up_) {
    return;  // Freed as a stray row in the next round.
  }
  Occupy(write.seat, write.row.epoch, write.wait);
  if (was_paused) {
    standing_ = SeatState::kUnconfirmed;
  }
}

void SeatHolder::KeepWithoutPlatform(const DomainEvidence& evidence) {
  if (standing_ == SeatState::kNone) {
    return;
  }
  const bool must_yield = standing_ == SeatState::kWaiting ||
                          (standing_ == SeatState::kHeld && is_provisional_);
  if (must_yield && IsClaimedByPeer(*seat_, evidence)) {
    Drop();
    return;
  }
  if (standing_ == SeatState::kUnconfirmed) {
    if (!IsDoubtOver(evidence)) {
      return;
    }
    is_provisional_ = true;
  }
  Settle(evidence);
}

void SeatHolder::NoteOwners(const SeenSeats& seen) {
  owners_.clear();
  for (const SeenSeat& entry : seen) {
    if (entry.IsTaken() && standing_ == SeatState::kNone) {
      owners_.push_back(entry.row.owner.host);
    }
  }
}

bool SeatHolder::IsDoubtOver(const DomainEvidence& evidence) {
  const MonotonicTime now = clock_.Now();
  if (IsSeatDisputed(*seat_, evidence, resumed_at_)) {
    undisputed_since_ = now;
  }
  return HasCalledAll(evidence, resumed_at_) &&
         now - undisputed_since_ > options_.rules.WaitOutAfterRelease();
}

// Failure: this process is stopped for a minute, a sibling takes the seat, and
// on waking both use it; the target gets more than its slots. The clock counts
// on through the pause, so the gap between two beats shows it, and
// `ValidUntil`, which passed meanwhile, stops the dispatch even before this.
void SeatHolder::NotePause() {
  const MonotonicTime now = clock_.Now();
  const Duration gap = now - beat_at_;
  beat_at_ = now;
  if (gap <= options_.rules.lease) {
    return;
  }
  // Whoever takes a seat waits as long before it uses it.
  was_long_pause_ = gap > options_.rules.WaitOut() ||
                    (was_long_pause_ && standing_ == SeatState::kUnconfirmed);
  ++pauses_;
  resumed_at_ = now;
  undisputed_since_ = now;
  if (standing_ != SeatState::kNone) {
    standing_ = SeatState::kUnconfirmed;
  }
}

// Failure: the seat had been handed to a host that does not reach the platform,
// whose claim goes round slowly at 52 hosts, and both use the seat. So the new
// owner has called every peer before it uses it; one that claims the seat
// shows.
void SeatHolder::Settle(const DomainEvidence& evidence) {
  const bool had_owner = wait_until_ > taken_at_;
  const bool is_waiting = clock_.Now() < wait_until_ ||
                          (had_owner && !HasCalledAll(evidence, taken_at_));
  standing_ = is_waiting ? SeatState::kWaiting : SeatState::kHeld;
}

void SeatHolder::Occupy(std::uint32_t seat,
                        std::uint64_t epoch,
                        Duration wait) {
  seat_ = seat;
  epoch_ = epoch;
  generation_ = 0;
  is_delegated_ = false;
  is_provisional_ = false;
  taken_at_ = clock_.Now();
  wait_until_ = taken_at_ + wait;
  standing_ = wait > Duration::zero() ? SeatState::kWaiting : SeatState::kHeld;
}

void SeatHolder::Drop() {
  standing_ = SeatState::kNone;
  seat_.reset();
  is_delegated_ = false;
  is_provisional_ = false;
}

}  // namespace medlarcroft::capacity
