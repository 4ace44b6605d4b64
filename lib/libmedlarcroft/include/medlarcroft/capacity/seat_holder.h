#ifndef MEDLARCROFT_CAPACITY_SEAT_HOLDER_H_
#define MEDLARCROFT_CAPACITY_SEAT_HOLDER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "medlarcroft/capacity/domain_evidence.h"
#include "medlarcroft/capacity/lease_rules.h"
#include "medlarcroft/capacity/seat_row.h"
#include "medlarcroft/capacity/seat_table.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::capacity {

enum class SeatState {
  kNone,
  kWaiting,      ///< Taken; what the predecessor lent or began may still run.
  kHeld,         ///< Its shares may be used and lent.
  kUnconfirmed,  ///< This process was paused; another may have taken the seat.
};

/// @brief Passes a seat to another process without the platform, as when the
/// last hosts of a domain are replaced while it is cut off.
struct SeatHandover {
  FailureDomainName failure_domain;
  std::uint32_t seat = 0;
  std::uint64_t epoch = 0;
  /// One more with each handover within an epoch; older ones are ignored.
  std::uint64_t generation = 0;
  std::uint64_t adopted_revision = 0;
  SeatOwner successor;
};

struct SeatHolderOptions {
  SeatOwner self;
  FailureDomainName failure_domain;
  /// The domain is a sibling of this host's own: seats are taken only while it
  /// has no host left, and given up when it has one again.
  bool is_sibling = false;
  LeaseRules rules;
};

/// @brief Holds one seat of one failure domain for this process. The row in the
/// table service says who may use the seat; it changes hands only by
/// compare-and-swap to the next epoch, after the owner has gone
/// (`IsAbandoned`), and the new owner waits until nothing of the old one can
/// still run. A holder needs no platform to go on: while it is not paused, its
/// siblings hear it, and so nobody takes the seat. `Step` blocks on the store
/// and runs on a control thread; `RecordHeartbeat` and `ValidUntil` do not. Not
/// safe to share between threads without a lock around each call.
class SeatHolder {
 public:
  SeatHolder(SeatHolderOptions options,
             ports::TableStore& store,
             const ports::Clock& clock);

  /// @brief Says that this process runs. Called at least every third of a
  /// lease; a gap of more than a lease means a pause, and doubt.
  void RecordHeartbeat();

  /// @brief One round: takes, confirms or gives up a seat. One scan and at most
  /// one write. Called about once a lease, jittered.
  /// @param seats as the catalogue declares them.
  /// @param split_revision the newest revision of an entry that changes this
  /// domain's splits; what this process now adopts.
  void Step(std::uint32_t seats,
            std::uint64_t split_revision,
            const DomainEvidence& evidence);

  /// @return whom the daemon should call before the next `Step`, so that
  /// `DomainEvidence` shows whether they answer: owners that seem gone while
  /// this host has no seat, and everybody while it waits or is in doubt.
  [[nodiscard]] std::vector<HostName> HostsToProbe(
      const DomainEvidence& evidence) const;

  /// @brief Gives the seat up for good, as when leaving: not used from now on,
  /// freed at the next `Step`. Whoever takes it next waits.
  void GiveUp();

  /// @brief Passes the held seat on; from now on it is not used here. Repeating
  /// it for the same successor gives the same handover.
  [[nodiscard]] std::optional<SeatHandover> HandOver(
      const SeatOwner& successor);
  /// @return whether the seat is now this process's, after the wait.
  bool Accept(const SeatHandover& handover);

  [[nodiscard]] SeatState State() const;
  /// @return the seat held or waited for; what this host tells its peers.
  [[nodiscard]] std::optional<std::uint32_t> Seat() const;
  /// @return until when the shares may be used, if no `RecordHeartbeat`
  /// follows.
  [[nodiscard]] MonotonicTime ValidUntil() const;
  /// @return the split revision that all taken seats had adopted at the last
  /// scan; nullopt when they differ.
  [[nodiscard]] std::optional<std::uint64_t> UnanimousRevision() const;

 private:
  enum class WriteKind { kTake, kUpdate, kFree };
  struct PlannedWrite {
    WriteKind kind = WriteKind::kTake;
    std::uint32_t seat = 0;
    SeatRow row;
    Duration wait{};
    ports::Transaction transaction;
  };

  // These need `mutex_`.
  [[nodiscard]] std::optional<PlannedWrite> Plan(
      const SeenSeats& seen,
      std::uint32_t seats,
      const DomainEvidence& evidence);
  [[nodiscard]] std::optional<PlannedWrite> PlanTake(
      const SeenSeats& seen,
      std::uint32_t seats,
      const DomainEvidence& evidence);
  [[nodiscard]] std::optional<PlannedWrite> PlanKeep(
      const SeenSeats& seen,
      const DomainEvidence& evidence);
  [[nodiscard]] std::optional<PlannedWrite> PlanFree(
      const SeenSeats& seen) const;
  [[nodiscard]] PlannedWrite WriteTo(const SeenSeat& seen,
                                     const SeenSeats& conditions,
                                     WriteKind kind) const;
  [[nodiscard]] bool MayTake(const SeenSeat& candidate,
                             const DomainEvidence& evidence) const;
  [[nodiscard]] bool WantsSeat(const DomainEvidence& evidence) const;
  [[nodiscard]] bool IsClaimedByPeer(std::uint32_t seat,
                                     const DomainEvidence& evidence) const;
  void ApplyWrite(const PlannedWrite& write, bool was_paused);
  void KeepWithoutPlatform(const DomainEvidence& evidence);
  void NotePause();
  void NoteOwners(const SeenSeats& seen);
  [[nodiscard]] bool IsDoubtOver(const DomainEvidence& evidence);
  void Settle(const DomainEvidence& evidence);
  void Occupy(std::uint32_t seat, std::uint64_t epoch, Duration wait);
  void Drop();

  SeatHolderOptions options_;
  SeatTable table_;
  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  SeatState standing_ = SeatState::kNone;
  std::optional<std::uint32_t> seat_;
  std::uint64_t epoch_ = 0;
  std::uint64_t generation_ = 0;
  std::uint64_t split_revision_ = 0;
  std::optional<std::uint64_t> unanimous_revision_;
  MonotonicTime beat_at_;
  MonotonicTime resumed_at_;  ///< Since when this process has run unpaused.
  MonotonicTime undisputed_since_;
  MonotonicTime taken_at_;
  MonotonicTime wait_until_;
  std::uint64_t pauses_ = 0;
  /// The doubt is about a pause long enough for another to have used the seat.
  bool was_long_pause_ = false;
  /// Regained without the platform; who claims the seat goes first.
  bool is_provisional_ = false;
  bool is_delegated_ = false;  ///< Held by handover; the row names another.
  bool is_giving_up_ = false;
  std::vector<HostName> owners_;  ///< At the last scan, while without a seat.
  std::optional<SeatHandover> passed_on_;
  /// By seat: epoch and generation of the newest handover seen, so that a late
  /// duplicate of one does not bring the seat back.
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>> seen_;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SEAT_HOLDER_H_
