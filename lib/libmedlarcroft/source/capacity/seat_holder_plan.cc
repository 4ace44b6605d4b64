// Chooses the next write of a `SeatHolder` from the rows read.
#include <algorithm>
#include <functional>

#include "medlarcroft/capacity/seat_holder.h"
#include "medlarcroft/capacity/seat_policy.h"

namespace medlarcroft::capacity {

std::optional<SeatHolder::PlannedWrite> SeatHolder::Plan(
    const SeatSnapshots& snapshots,
    std::uint32_t seats,
    const DomainEvidence& evidence) {
  const bool is_undeclared = seat_ && *seat_ >= seats;
  if (!WantsSeat(evidence) || is_undeclared) {
    ResetSeat();
    return PlanFree(snapshots);
  }
  if (state_ == SeatState::kNone) {
    return PlanTake(snapshots, seats, evidence);
  }
  if (auto write = PlanKeep(snapshots, evidence)) {
    return write;
  }
  return PlanFree(snapshots);
}

std::optional<SeatHolder::PlannedWrite> SeatHolder::PlanTake(
    const SeatSnapshots& snapshots,
    std::uint32_t seats,
    const DomainEvidence& evidence) {
  // With an older catalogue the seat would be unusable, and the other shares
  // could not grow until this host caught up.
  const bool is_behind =
      std::ranges::any_of(snapshots, [this](const SeatSnapshot& s) {
        return !s.row.owner.host.IsEmpty() &&
               s.row.adopted_revision > split_revision_;
      });
  if (is_behind || seats == 0) {
    return std::nullopt;
  }
  const auto is_own = [this](const SeatSnapshot& s) {
    return s.row.owner.host == options_.self.host;
  };
  const auto own = std::ranges::find_if(snapshots, is_own);
  if (own != snapshots.end() && own->seat < seats) {
    // Either a write of this process whose answer was lost, or the seat of its
    // predecessor on this host.
    if (own->row.owner == options_.self) {
      AssumeSeat(own->seat, own->row.epoch, options_.rules.ReuseDelay());
      return std::nullopt;
    }
    // The predecessor may have handed it over before it ended.
    return IsClaimedByPeer(own->seat, evidence)
               ? std::nullopt
               : std::optional(MakeWrite(*own, snapshots, WriteKind::kTake));
  }
  const std::size_t first = std::hash<HostName>()(options_.self.host) % seats;
  const SeatSnapshot* best = nullptr;
  for (std::uint32_t i = 0; i < seats; ++i) {
    const SeatSnapshot& candidate = snapshots[(first + i) % seats];
    if (!MayTake(candidate, evidence)) {
      continue;
    }
    // Prefer a seat without an owner to an abandoned one.
    if (best == nullptr || (candidate.row.owner.host.IsEmpty() &&
                            !best->row.owner.host.IsEmpty())) {
      best = &candidate;
    }
  }
  return best == nullptr
             ? std::nullopt
             : std::optional(MakeWrite(*best, snapshots, WriteKind::kTake));
}

std::optional<SeatHolder::PlannedWrite> SeatHolder::PlanKeep(
    const SeatSnapshots& snapshots,
    const DomainEvidence& evidence) {
  const auto found = std::ranges::find_if(
      snapshots, [this](const SeatSnapshot& s) { return s.seat == *seat_; });
  if (found == snapshots.end() || !found->is_readable) {
    return std::nullopt;
  }
  const bool is_named = found->row.owner == options_.self;
  const bool is_delegation = is_delegated_ && found->row.epoch == epoch_;
  if (!is_named && !is_delegation) {
    ResetSeat();
    return std::nullopt;
  }
  // The owner that was considered gone is back and uses the seat.
  if (state_ == SeatState::kWaiting && IsClaimedByPeer(*seat_, evidence)) {
    ResetSeat();
    return MakeWrite(*found, snapshots, WriteKind::kFree);
  }
  if (is_named) {
    epoch_ = found->row.epoch;
    is_delegated_ = false;
  }
  // Guards against two users of a seat after a long pause: the row still names
  // this process, but while the platform was down and this process was paused,
  // a former owner took the seat again and has work running. That owner sees
  // this host's claim and drops the seat; its work must end before the seat is
  // used here.
  if (state_ == SeatState::kUnconfirmed && was_long_pause_ &&
      !evidence.peers.empty() && !MayResume(evidence)) {
    return std::nullopt;
  }
  is_provisional_ = false;
  UpdateState(evidence);
  const bool is_current =
      is_named && found->row.adopted_revision >= split_revision_;
  return is_current
             ? std::nullopt
             : std::optional(MakeWrite(*found, snapshots, WriteKind::kUpdate));
}

std::optional<SeatHolder::PlannedWrite> SeatHolder::PlanFree(
    const SeatSnapshots& snapshots) const {
  const auto orphan =
      std::ranges::find_if(snapshots, [this](const SeatSnapshot& s) {
        return s.row.owner == options_.self && seat_ != s.seat;
      });
  // After a handover the row keeps this owner until the successor, whose
  // handover refers to this epoch, writes its own row.
  if (orphan == snapshots.end() ||
      (handover_ && handover_->seat == orphan->seat)) {
    return std::nullopt;
  }
  return MakeWrite(*orphan, snapshots, WriteKind::kFree);
}

SeatHolder::PlannedWrite SeatHolder::MakeWrite(const SeatSnapshot& snapshot,
                                               const SeatSnapshots& conditions,
                                               WriteKind kind) const {
  PlannedWrite write{.kind = kind,
                     .seat = snapshot.seat,
                     .row = {.owner = options_.self,
                             .epoch = snapshot.row.epoch + 1,
                             .adopted_revision = split_revision_},
                     .wait = snapshot.IsTaken()
                                 ? options_.rules.ReuseDelay()
                                 : options_.rules.ReuseDelayAfterRelease()};
  if (snapshot.version == 0) {
    write.wait = Duration::zero();  // No process has ever held it.
  }
  if (kind == WriteKind::kFree) {
    write.row.owner = {};
  }
  if (kind == WriteKind::kUpdate && snapshot.row.owner == options_.self) {
    write.row.epoch = snapshot.row.epoch;
  }
  // Taking a seat depends on all rows: a holder that adopts a newer split at
  // the same time must not miss the new owner.
  write.transaction = table_.WriteIf(
      kind == WriteKind::kTake ? conditions : SeatSnapshots{snapshot},
      snapshot.seat, write.row);
  return write;
}

bool SeatHolder::MayTake(const SeatSnapshot& candidate,
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
