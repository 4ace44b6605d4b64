#include "medlarcroft/catalogue/catalogue_replica.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::catalogue {

namespace {

std::size_t SizeOf(const Change& change) {
  return change.document.size() + change.entry.Value().size() +
         change.change_id.size();
}

std::optional<Duration> TimeSince(const std::optional<MonotonicTime>& time,
                                  MonotonicTime now) {
  return time ? std::optional(now - *time) : std::nullopt;
}

}  // namespace

CatalogueReplica::CatalogueReplica(Options options, const ports::Clock& clock)
    : options_(options),
      clock_(clock),
      view_(std::make_shared<const CatalogueView>()),
      applied_at_(clock.Now()) {}

void CatalogueReplica::NoteRevision(std::uint64_t revision,
                                    RevisionSource source) {
  const std::lock_guard lock(mutex_);
  if (source == RevisionSource::kPlatform) {
    platform_revision_ = revision;
  }
  NoteRevisionLocked(revision, source);
}

void CatalogueReplica::NoteRevisionLocked(std::uint64_t revision,
                                          RevisionSource source) {
  const MonotonicTime now = clock_.Now();
  (source == RevisionSource::kPeer ? last_peer_contact_
                                   : last_platform_contact_) = now;
  highest_seen_ = std::max(highest_seen_, revision);
  if (highest_seen_ > state_.Revision() && !behind_since_) {
    behind_since_ = now;
  }
  UpdateReadinessLocked();
}

Result<std::uint64_t, DeltaFault> CatalogueReplica::Apply(
    const Delta& delta,
    RevisionSource source) {
  const std::lock_guard lock(mutex_);
  NoteRevisionLocked(delta.to_revision, source);
  const std::uint64_t before = state_.Revision();
  const ApplyResult result = delta.is_snapshot ? ApplySnapshotLocked(delta)
                                               : ApplyChangesLocked(delta);
  if (state_.Revision() > before) {
    PublishLocked();
  }

  if (result == ApplyResult::kGap || result == ApplyResult::kMalformed) {
    ++refused_deltas_;
    return result == ApplyResult::kGap ? DeltaFault::kGap
                                       : DeltaFault::kMalformed;
  }
  return state_.Revision();
}

ApplyResult CatalogueReplica::ApplySnapshotLocked(const Delta& delta) {
  const ApplyResult result = state_.Replace(delta);
  if (result == ApplyResult::kApplied) {
    kept_changes_.clear();  // No longer adjacent to the held revision.
    kept_bytes_ = 0;
  }
  return result;
}

ApplyResult CatalogueReplica::ApplyChangesLocked(const Delta& delta) {
  for (const Change& change : delta.changes) {
    const ApplyResult result = state_.Apply(change);
    if (result == ApplyResult::kGap || result == ApplyResult::kMalformed) {
      return result;
    }
    if (result == ApplyResult::kApplied) {
      KeepChangeLocked(change);
    }
  }
  return ApplyResult::kApplied;
}

void CatalogueReplica::KeepChangeLocked(const Change& change) {
  kept_changes_.push_back(change);
  kept_bytes_ += SizeOf(change);
  while (
      kept_changes_.size() > options_.kept_changes ||
      (kept_bytes_ > options_.kept_change_bytes && kept_changes_.size() > 1)) {
    kept_bytes_ -= SizeOf(kept_changes_.front());
    kept_changes_.pop_front();
  }
}

void CatalogueReplica::PublishLocked() {
  const MonotonicTime now = clock_.Now();
  view_.store(state_.MakeView());
  applied_at_ = now;
  timings_.push_back({.revision = state_.Revision(),
                      .first_seen = behind_since_.value_or(now),
                      .applied = now});
  if (timings_.size() > options_.kept_timings) {
    timings_.pop_front();
  }
  if (state_.Revision() >= highest_seen_) {
    behind_since_.reset();
  }
  UpdateReadinessLocked();
}

/// Hosts that start at the same time first report revision 0 to each other.
/// Only the platform can confirm that the catalogue is empty. If a peer's
/// revision 0 counted, these hosts would become ready too early and answer from
/// each old revision while they catch up to the latest.
bool CatalogueReplica::HasKnownRevisionLocked() const {
  return highest_seen_ > 0 || last_platform_contact_;
}

void CatalogueReplica::UpdateReadinessLocked() {
  is_ready_ = is_ready_ ||
              (HasKnownRevisionLocked() && state_.Revision() >= highest_seen_);
}

std::uint64_t CatalogueReplica::HighestSeen() const {
  const std::lock_guard lock(mutex_);
  return highest_seen_;
}

bool CatalogueReplica::IsReady() const {
  const std::lock_guard lock(mutex_);
  return is_ready_;
}

bool CatalogueReplica::IsCurrent() const {
  const std::lock_guard lock(mutex_);
  return state_.Revision() >= highest_seen_;
}

Delta CatalogueReplica::ChangesSince(std::uint64_t revision,
                                     std::size_t limit) const {
  const std::lock_guard lock(mutex_);
  if (revision >= state_.Revision()) {
    return {.from_revision = revision, .to_revision = revision};
  }
  if (kept_changes_.empty() || kept_changes_.front().revision > revision + 1) {
    return state_.MakeSnapshot();
  }

  const std::size_t max_changes =
      std::clamp<std::size_t>(limit, 1, options_.max_delta_changes);
  Delta delta{.from_revision = revision, .to_revision = revision};
  std::size_t bytes = 0;
  for (std::size_t i = revision + 1 - kept_changes_.front().revision;
       i < kept_changes_.size() && delta.changes.size() < max_changes; ++i) {
    bytes += SizeOf(kept_changes_[i]);
    if (bytes > options_.max_delta_bytes && !delta.changes.empty()) {
      break;
    }
    delta.changes.push_back(kept_changes_[i]);
    delta.to_revision = kept_changes_[i].revision;
  }
  return delta;
}

std::optional<MonotonicTime> CatalogueReplica::LastContact(
    RevisionSource source) const {
  const std::lock_guard lock(mutex_);
  return source == RevisionSource::kPeer ? last_peer_contact_
                                         : last_platform_contact_;
}

std::optional<MonotonicTime> CatalogueReplica::BehindSince() const {
  const std::lock_guard lock(mutex_);
  return behind_since_;
}

std::vector<RevisionTiming> CatalogueReplica::Timings() const {
  const std::lock_guard lock(mutex_);
  return {timings_.begin(), timings_.end()};
}

ReplicaStatus CatalogueReplica::Status() const {
  const std::lock_guard lock(mutex_);
  const MonotonicTime now = clock_.Now();
  ReplicaStatus status{
      .revision = state_.Revision(),
      .highest_seen = highest_seen_,
      .is_ready = is_ready_,
      .not_ready_reasons = {},
      .time_in_force = now - applied_at_,
      .time_since_peer_contact = TimeSince(last_peer_contact_, now),
      .time_since_platform_contact = TimeSince(last_platform_contact_, now),
      .unparsed_entries = state_.UnparsedEntries(),
      .refused_deltas = refused_deltas_,
      .platform_revision = platform_revision_};
  if (!is_ready_) {
    status.not_ready_reasons.push_back(
        HasKnownRevisionLocked() ? NotReadyReason::kBehindHighestSeen
                                 : NotReadyReason::kNoRevisionReceived);
  }
  return status;
}

}  // namespace medlarcroft::catalogue
