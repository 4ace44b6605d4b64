// How a `SeatHolder` chooses its next write from what the rows show.
#include <algorithm>
#include <functional>

#include "medlarcroft/capacity/seat_holder.h"
#include "medlarcroft/capacity/seat_policy.h"

namespace medlarcroft::capacity {

std::optional<SeatHolder::PlannedWrite> SeatHolder::Plan(
    const SeenSeats& seen,
    std::uint32_t seats,
    const DomainEvidence& evidence) {
  const bool is_undeclared = seat_ && *seat_ >= seats;
  if (!WantsSeat(evidence) || is_undeclared) {
    Drop();
    return PlanFree(seen);
  }
  if (standing_ == SeatState::kNone) {
    return PlanTake(seen, seats, evidence);
  }
  if (auto write = PlanKeep(seen, evidence)) {
    return write;
  }
  return PlanFree(seen);
}

std::optional<SeatHolder::PlannedWrite> SeatHolder::PlanTake(
    const SeenSeats& seen,
    std::uint32_t seats,
    const DomainEvidence& evidence) {
  // With an older catalogue the seat could not be used, and the growth of the
  // others' parts would wait for it.
  const bool is_behind = std::ranges::any_of(seen, [this](const SeenSeat& s) {
    return !s.row.owner.host.IsEmpty() &&
           s.row.adopted_revision > split_revision_;
  });
  if (is_behind || seats == 0) {
    return std::nullopt;
  }
  const auto is_own = [this](const SeenSeat& s) {
    return s.row.owner.host == options_.self.host;
  };
  const auto own = std::ranges::find_if(seen, is_own);
  if (own != seen.end() && own->seat < seats) {
    // A write of this process whose answer was lost, or the seat of its
    // predecessor on this host.
    if (own->row.owner == options_.self) {
      Occupy(own->seat, own->row.epoch, options_.rules.WaitOut());
      return std::nullopt;
    }
    // The predecessor may have passed it on before it ended.
    return IsClaimedByPeer(own->seat, evidence)
               ? std::nullopt
               : std::optional(WriteTo(*own, seen, WriteKind::kTake));
  }
  const std::size_t first = std::hash<HostName>()(options_.self.host) % seats;
  const SeenSeat* best = nullptr;
  for (std::uint32_t i = 0; i < seats; ++i) {
    const SeenSeat& candidate = seen[(first + i) % seats];
    if (!MayTake(candidate, evidence)) {
      continue;
    }
    // One without an owner before one that was abandoned.
    if (best == nullptr || (candidate.row.owner.host.IsEmpty() &&
                            !best->row.owner.host.IsEmpty())) {
      best = &candidate;
    }
  }
  return best == nullptr
             ? std::nullopt
             : std::optional(WriteTo(*best, seen, WriteKind::kTake));
}

std::optional<SeatHolder::PlannedWrite> SeatHolder::PlanKeep(
    const SeenSeats& seen,
    const DomainEvidence& evidence) {
  const auto found = std::ranges::find_if(
      seen, [this](const SeenSeat& s) { return s.seat == *seat_; });
  if (found == seen.end() || !found->is_readable) {
    return std::nullopt;
  }
  const bool is_named = found->row.owner == options_.self;
  const bool is_delegation = is_delegated_ && found->row.epoch == epoch_;
  if (!is_named && !is_delegation) {
    Drop();
    return std::nullopt;
  }
  // The owner that was thought gone is back and uses the seat.
  if (standing_ == SeatState::kWaiting && IsClaimedByPeer(*seat_, evidence)) {
    Drop();
    return WriteTo(*found, seen, WriteKind::kFree);
  }
  if (is_named) {
    epoch_ = found->row.epoch;
    is_delegated_ = false;
  }
  // Failure: the row still names this process after a long pause, but a former
  // owner, with the platform down and this one silent, took the seat up again
  // and has work running. It sees the claim and drops the seat; then its work
  // has to end.
  if (standing_ == SeatState::kUnconfirmed && was_long_pause_ &&
      !evidence.peers.empty() && !IsDoubtOver(evidence)) {
    return std::nullopt;
  }
  is_provisional_ = false;
  Settle(evidence);
  const bool is_current =
      is_named && found->row.adopted_revision >= split_revision_;
  return is_current ? std::nullopt
                    : std::optional(WriteTo(*found, seen, WriteKind::kUpdate));
}

std::optional<SeatHolder::PlannedWrite> SeatHolder::PlanFree(
    const SeenSeats& seen) const {
  const auto stray = std::ranges::find_if(seen, [this](const SeenSeat& s) {
    return s.row.owner == options_.self && seat_ != s.seat;
  });
  // A seat that was passed on stays in this name until the successor, which
  // refers to its epoch, writes its own.
  if (stray == seen.end() || (passed_on_ && passed_on_->seat == stray->seat)) {
    return std::nullopt;
  }
  return WriteTo(*stray, seen, WriteKind::kFree);
}

SeatHolder::PlannedWrite SeatHolder::WriteTo(const SeenSeat& seen,
                                             const SeenSeats& conditions,
                                             WriteKind kind) const {
  PlannedWrite write{.kind = kind,
                     .seat = seen.seat,
                     .row = {.owner = options_.self,
                             .epoch = seen.row.epoch + 1,
                             .adopted_revision = split_revision_},
                     .wait = seen.IsTaken()
                                 ? options_.rules.WaitOut()
                                 : options_.rules.WaitOutAfterRelease()};
  if (seen.version == 0) {
    write.wait = Duration::zero();  // Nobody ever had it.
  }
  if (kind == WriteKind::kFree) {
    write.row.owner = {};
  }
  if (kind == WriteKind::kUpdate && seen.row.owner == options_.self) {
    write.row.epoch = seen.row.epoch;
  }
  // A take depends on what all rows say: a holder that adopts a newer split
  // meanwhile must not overlook the newcomer.
  write.transaction =
      table_.WriteIf(kind == WriteKind::kTake ? conditions : SeenSeats{seen},
                     seen.seat, write.row);
  return write;
}

bool SeatHolder::MayTake(const SeenSeat& candidate,
                         const DomainEvidence& evidence) const {
  if (!candidate.is_readable) {
    return false;
  }
  if (candidate.version == 0 || candidate.row.owner.host.IsEmpty()) {
    return true;
  }
  return IsAbandoned(candidate.row.owner, candidate.seat, evidence,
                     options_.rules, resumed_at_, clock_.Now());
}

}  // namespace medlarcroft::capacity
