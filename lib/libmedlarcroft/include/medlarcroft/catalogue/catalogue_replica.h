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

/// @brief Who showed a revision or sent a delta.
enum class RevisionSource { kPeer, kPlatform };

/// @brief Why a delta was refused; what came before the fault in it is applied.
enum class DeltaFault {
  kGap,        ///< Ask again from the revision held.
  kMalformed,  ///< Ask another host.
};

/// @brief Why a host must not answer from this catalogue yet.
enum class NotReadyReason {
  /// Neither the platform nor a peer that holds a catalogue has answered.
  kNoRevisionReceived,
  kBehindHighestSeen,  ///< A higher revision was shown and is not held.
};

/// @brief How long the newest revision took to arrive on this host.
struct RevisionTiming {
  std::uint64_t revision = 0;
  MonotonicTime first_shown;  ///< When this host first knew that it exists.
  MonotonicTime applied;
};

/// @brief A replica's state for people.
struct ReplicaStatus {
  std::uint64_t revision = 0;
  std::uint64_t highest_seen = 0;
  bool is_ready = false;
  std::vector<NotReadyReason> not_ready_reasons;
  Duration time_in_force{};            ///< Since the revision was applied here.
  std::optional<Duration> since_peer;  ///< nullopt: never heard.
  std::optional<Duration> since_platform;  ///< nullopt: never heard.
  std::vector<EntryName> not_understood;
  std::uint64_t refused_deltas = 0;
  /// The newest head that the platform showed this host; lower than
  /// `revision` for long means that the platform has lost accepted changes.
  std::optional<std::uint64_t> platform_revision;
};

/// @brief One host's copy of the catalogue. Deltas may come from any source in
/// any order and any number of times; the revision only grows, whatever a
/// lagging peer or a stale read of the platform says. Safe to use from any
/// thread; `View` never waits for a change being applied.
class CatalogueReplica {
 public:
  struct Options {
    /// Changes kept for peers that are a little behind: 12 hours of a busy day.
    std::size_t kept_changes = 512;
    /// Bounds their memory; control may take 64 MB in all.
    std::size_t kept_change_bytes = std::size_t{4} * 1024 * 1024;
    /// Largest incremental delta, so that one answer to a peer stays short.
    std::size_t max_delta_bytes = std::size_t{256} * 1024;
    std::size_t max_delta_changes = 256;
    std::size_t kept_timings = 64;
  };

  CatalogueReplica(Options options, const ports::Clock& clock);

  /// @brief A peer or the platform says that `revision` exists.
  void NoteRevision(std::uint64_t revision, RevisionSource source);

  /// @brief Applies what is new in `delta`.
  /// @return the revision held now, or why the delta ended early.
  Result<std::uint64_t, DeltaFault> Apply(const Delta& delta,
                                          RevisionSource source);

  [[nodiscard]] SharedCatalogueView View() const { return view_.load(); }
  [[nodiscard]] std::uint64_t Revision() const { return View()->Revision(); }
  [[nodiscard]] std::uint64_t HighestSeen() const;

  /// @return whether this host has held the highest revision that it was shown.
  /// A fresh host must not answer from an old catalogue that a peer happened to
  /// send first. Once true it stays true: a host that serves goes on serving
  /// with what it has while the next revision is on its way, or out of reach.
  [[nodiscard]] bool IsReady() const;

  /// @return whether the highest revision shown is held now.
  [[nodiscard]] bool IsCurrent() const;

  /// @brief What a peer at `revision` lacks: changes, or a snapshot when they
  /// are no longer kept. Empty when the peer is not behind.
  [[nodiscard]] Delta ChangesSince(std::uint64_t revision,
                                   std::size_t limit) const;

  /// @return when this host last heard from `source`.
  [[nodiscard]] std::optional<MonotonicTime> LastHeard(
      RevisionSource source) const;

  /// @return since when this host has known of a revision that it lacks.
  [[nodiscard]] std::optional<MonotonicTime> BehindSince() const;

  /// @return the newest timings, oldest first.
  [[nodiscard]] std::vector<RevisionTiming> Timings() const;

  [[nodiscard]] ReplicaStatus Status() const;

 private:
  void NoteRevisionLocked(std::uint64_t revision, RevisionSource source);
  ApplyResult ApplySnapshotLocked(const Delta& delta);
  ApplyResult ApplyChangesLocked(const Delta& delta);
  void KeepChangeLocked(const Change& change);
  void PublishLocked();
  [[nodiscard]] bool KnowsARevisionLocked() const;
  void UpdateReadinessLocked();

  const Options options_;
  const ports::Clock& clock_;
  std::atomic<SharedCatalogueView> view_;

  mutable std::mutex mutex_;
  CatalogueState state_;
  std::uint64_t highest_seen_ = 0;
  bool is_ready_ = false;
  std::optional<MonotonicTime> last_peer_;
  std::optional<MonotonicTime> last_platform_;
  std::optional<std::uint64_t> platform_revision_;
  std::optional<MonotonicTime> behind_since_;
  /// Without a gap, up to the revision held.
  std::deque<Change> kept_;
  std::size_t kept_bytes_ = 0;
  std::deque<RevisionTiming> timings_;
  MonotonicTime applied_at_;
  std::uint64_t refused_deltas_ = 0;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_REPLICA_H_
