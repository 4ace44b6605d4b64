#ifndef MEDLARCROFT_CATALOGUE_CATALOGUE_REPLICA_H_
#define MEDLARCROFT_CATALOGUE_CATALOGUE_REPLICA_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <vector>

#include "medlarcroft/catalogue/catalogue_state.h"
#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/catalogue/delta.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::catalogue {

/// @brief Origin of a revision number or delta.
enum class RevisionSource { kPeer, kPlatform };

/// @brief Why a delta was rejected; the changes before the faulty one are
/// applied.
enum class DeltaFault {
  kGap,        ///< Request changes from the held revision again.
  kMalformed,  ///< Request the changes from another host.
};

/// @brief Why a host must not answer requests from its replica yet.
enum class NotReadyReason {
  /// No response from the platform or from a peer that holds a catalogue.
  kNoRevisionReceived,
  kBehindHighestSeen,  ///< A higher revision is known but not held.
};

/// @brief When a revision was first seen and when it was applied on this host.
struct RevisionTiming {
  std::uint64_t revision = 0;
  MonotonicTime first_seen;  ///< When this host learned of the revision.
  MonotonicTime applied;
};

/// @brief Replica state for display to operators.
struct ReplicaStatus {
  std::uint64_t revision = 0;
  std::uint64_t highest_seen = 0;
  bool is_ready = false;
  std::vector<NotReadyReason> not_ready_reasons;
  Duration time_in_force{};  ///< Since the revision was applied on this host.
  /// nullopt: no contact yet.
  std::optional<Duration> time_since_peer_contact;
  /// nullopt: no contact yet.
  std::optional<Duration> time_since_platform_contact;
  std::vector<EntryName> unparsed_entries;
  std::uint64_t refused_deltas = 0;
  /// Latest head revision reported by the platform; if it stays lower than
  /// `revision`, the platform has lost accepted changes.
  std::optional<std::uint64_t> platform_revision;
};

/// @brief A host's copy of the catalogue. Deltas may arrive from any source, in
/// any order and repeatedly; the revision only increases, even if a lagging
/// peer or a stale platform read shows an older one. Thread-safe; `View` never
/// waits for a change being applied.
class CatalogueReplica {
 public:
  struct Options {
    /// Changes kept for peers that are slightly behind; covers 12 hours of a
    /// busy day.
    std::size_t kept_changes = 512;
    /// Memory limit for these changes; the control process may use 64 MB in
    /// total.
    std::size_t kept_change_bytes = std::size_t{4} * 1024 * 1024;
    /// Maximum size of an incremental delta, which keeps responses to peers
    /// short.
    std::size_t max_delta_bytes = std::size_t{256} * 1024;
    std::size_t max_delta_changes = 256;
    std::size_t kept_timings = 64;
  };

  CatalogueReplica(Options options, const ports::Clock& clock);

  /// @brief Records that `source` reported that `revision` exists.
  void NoteRevision(std::uint64_t revision, RevisionSource source);

  /// @brief Applies the changes in `delta` that are newer than the held
  /// revision.
  /// @return the revision held afterwards, or why the delta was rejected.
  Result<std::uint64_t, DeltaFault> Apply(const Delta& delta,
                                          RevisionSource source);

  [[nodiscard]] SharedCatalogueView View() const { return view_.load(); }
  [[nodiscard]] std::uint64_t Revision() const { return View()->Revision(); }
  [[nodiscard]] std::uint64_t HighestSeen() const;

  /// @return whether this host has ever held the highest revision known to it.
  /// A newly started host must not answer from an older catalogue that a peer
  /// happened to send first. Once true, it stays true: a host that serves
  /// requests continues with the revision it holds while a newer one is in
  /// transit or unreachable.
  [[nodiscard]] bool IsReady() const;

  /// @return whether the highest known revision is held now.
  [[nodiscard]] bool IsCurrent() const;

  /// @brief Returns what a peer at `revision` is missing: changes, or a
  /// snapshot if the changes are no longer kept. Empty if the peer is not
  /// behind.
  [[nodiscard]] Delta ChangesSince(std::uint64_t revision,
                                   std::size_t limit) const;

  /// @return the time of the last contact with `source`.
  [[nodiscard]] std::optional<MonotonicTime> LastContact(
      RevisionSource source) const;

  /// @return since when this host has known of a revision that it does not
  /// hold.
  [[nodiscard]] std::optional<MonotonicTime> BehindSince() const;

  /// @return the most recent timings, oldest first.
  [[nodiscard]] std::vector<RevisionTiming> Timings() const;

  [[nodiscard]] ReplicaStatus Status() const;

 private:
  void NoteRevisionLocked(std::uint64_t revision, RevisionSource source);
  ApplyResult ApplySnapshotLocked(const Delta& delta);
  ApplyResult ApplyChangesLocked(const Delta& delta);
  void KeepChangeLocked(const Change& change);
  void PublishLocked();
  [[nodiscard]] bool HasKnownRevisionLocked() const;
  void UpdateReadinessLocked();

  const Options options_;
  const ports::Clock& clock_;
  std::atomic<SharedCatalogueView> view_;

  mutable std::mutex mutex_;
  CatalogueState state_;
  std::uint64_t highest_seen_ = 0;
  bool is_ready_ = false;
  std::optional<MonotonicTime> last_peer_contact_;
  std::optional<MonotonicTime> last_platform_contact_;
  std::optional<std::uint64_t> platform_revision_;
  std::optional<MonotonicTime> behind_since_;
  /// Consecutive changes up to the held revision.
  std::deque<Change> kept_changes_;
  std::size_t kept_bytes_ = 0;
  std::deque<RevisionTiming> timings_;
  MonotonicTime applied_at_;
  std::uint64_t refused_deltas_ = 0;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_REPLICA_H_
