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
  kWaiting,  ///< Taken, but the previous owner's loans and work may still run.
  kHeld,     ///< Its share may be used and lent.
  kUnconfirmed,  ///< This process was paused; another may have taken the seat.
};

/// @brief Passes a seat to another process without the platform, for example
/// when the last hosts of a domain are replaced while the domain is
/// disconnected from the platform.
struct SeatHandover {
  FailureDomainName failure_domain;
  std::uint32_t seat = 0;
  std::uint64_t epoch = 0;
  /// Incremented with each handover within an epoch; older ones are ignored.
  std::uint64_t generation = 0;
  std::uint64_t adopted_revision = 0;
  SeatOwner successor;
};

struct SeatHolderOptions {
  SeatOwner self;
  FailureDomainName failure_domain;
  /// True if the domain is a sibling of this host's own: seats are taken only
  /// while it has no host left, and released when it has one again.
  bool is_sibling = false;
  LeaseRules rules;
};

/// @brief Holds one seat of one failure domain for this process. The seat's row
/// in the table service says who may use it. The row changes owner only by
/// compare-and-swap to the next epoch, after the owner is gone (`IsAbandoned`),
/// and the new owner waits until no work or loan of the old one can still be
/// active. A holder does not need the platform to keep its seat: unless it is
/// paused, it answers the calls of the other hosts, so none of them takes the
/// seat. `Step` blocks on the store and runs on a control thread;
/// `RecordHeartbeat` and `ValidUntil` do not block on the store. Not
/// thread-safe without a lock around each call.
class SeatHolder {
 public:
  SeatHolder(SeatHolderOptions options,
             ports::TableStore& store,
             const ports::Clock& clock);

  /// @brief Records that this process is running. Call it at least every third
  /// of a lease. A gap of more than a lease counts as a pause, after which the
  /// seat is unconfirmed.
  void RecordHeartbeat();

  /// @brief Runs one round, which takes, confirms or releases a seat with one
  /// scan and at most one write. Call it about once per lease, with jitter.
  /// @param seats number of seats declared in the catalogue.
  /// @param split_revision newest revision of an entry that changes this
  /// domain's splits; this process adopts it now.
  void Step(std::uint32_t seats,
            std::uint64_t split_revision,
            const DomainEvidence& evidence);

  /// @return hosts to call before the next `Step`, so that `DomainEvidence`
  /// shows whether they answer: owners that seem gone while this host has no
  /// seat, and all peers while it waits or its seat is unconfirmed.
  [[nodiscard]] std::vector<HostName> HostsToProbe(
      const DomainEvidence& evidence) const;

  /// @brief Releases the seat for good, as on shutdown. It is not used from now
  /// on, and its row is freed at the next `Step`. The next owner waits before
  /// it uses the seat.
  void ReleaseSeat();

  /// @brief Hands the held seat over; it is not used here from now on.
  /// Repeating the call for the same successor returns the same handover.
  [[nodiscard]] std::optional<SeatHandover> HandOver(
      const SeatOwner& successor);
  /// @return whether the seat now belongs to this process, usable after the
  /// wait.
  bool Accept(const SeatHandover& handover);

  [[nodiscard]] SeatState State() const;
  /// @return the seat held or being waited for; this host reports it to its
  /// peers.
  [[nodiscard]] std::optional<std::uint32_t> Seat() const;
  /// @return until when the share may be used if no `RecordHeartbeat` follows.
  [[nodiscard]] MonotonicTime ValidUntil() const;
  /// @return the split revision that the owners of all taken seats had adopted
  /// at the last scan; nullopt when they differ.
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

  // The following require `mutex_`.
  [[nodiscard]] std::optional<PlannedWrite> Plan(
      const SeatSnapshots& snapshots,
      std::uint32_t seats,
      const DomainEvidence& evidence);
  [[nodiscard]] std::optional<PlannedWrite> PlanTake(
      const SeatSnapshots& snapshots,
      std::uint32_t seats,
      const DomainEvidence& evidence);
  [[nodiscard]] std::optional<PlannedWrite> PlanKeep(
      const SeatSnapshots& snapshots,
      const DomainEvidence& evidence);
  [[nodiscard]] std::optional<PlannedWrite> PlanFree(
      const SeatSnapshots& snapshots) const;
  [[nodiscard]] PlannedWrite MakeWrite(const SeatSnapshot& snapshot,
                                       const SeatSnapshots& conditions,
                                       WriteKind kind) const;
  [[nodiscard]] bool MayTake(const SeatSnapshot& candidate,
                             const DomainEvidence& evidence) const;
  [[nodiscard]] bool WantsSeat(const DomainEvidence& evidence) const;
  [[nodiscard]] bool IsClaimedByPeer(std::uint32_t seat,
                                     const DomainEvidence& evidence) const;
  void ApplyWrite(const PlannedWrite& write, bool was_paused);
  void StepWithoutPlatform(const DomainEvidence& evidence);
  void DetectPause();
  void RecordOwners(const SeatSnapshots& snapshots);
  [[nodiscard]] bool MayResume(const DomainEvidence& evidence);
  void UpdateState(const DomainEvidence& evidence);
  void AssumeSeat(std::uint32_t seat, std::uint64_t epoch, Duration wait);
  void ResetSeat();

  SeatHolderOptions options_;
  SeatTable table_;
  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  SeatState state_ = SeatState::kNone;
  std::optional<std::uint32_t> seat_;
  std::uint64_t epoch_ = 0;
  std::uint64_t generation_ = 0;
  std::uint64_t split_revision_ = 0;
  std::optional<std::uint64_t> unanimous_revision_;
  MonotonicTime heartbeat_at_;
  /// When this process started or last resumed from a pause.
  MonotonicTime resumed_at_;
  MonotonicTime uncontested_since_;
  MonotonicTime taken_at_;
  MonotonicTime wait_until_;
  std::uint64_t pauses_ = 0;
  /// True if the pause was long enough for another process to use the seat.
  bool was_long_pause_ = false;
  /// True if regained without the platform; the seat is then yielded to any
  /// peer that claims it.
  bool is_provisional_ = false;
  /// Held by handover; the row names another owner.
  bool is_delegated_ = false;
  bool is_releasing_ = false;
  /// Other owners at the last scan; set only while this process has no seat.
  std::vector<HostName> owners_;
  std::optional<SeatHandover> handover_;
  /// Per seat: epoch and generation of the newest handover received, so that a
  /// late duplicate does not bring the seat back.
  std::map<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>>
      newest_handovers_;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SEAT_HOLDER_H_
