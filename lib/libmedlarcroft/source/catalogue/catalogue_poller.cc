#include "medlarcroft/catalogue/catalogue_poller.h"

#include <algorithm>

namespace medlarcroft::catalogue {

namespace {

constexpr double kLeastJitter = 0.75;
constexpr double kJitterSpread = 0.5;
/// 2^16 times the first back-off is beyond any maximum.
constexpr std::uint64_t kMostDoublings = 16;
/// Below it the changes themselves are one page, as cheap as a snapshot.
constexpr std::uint64_t kSnapshotWorthwhile = 64;

Duration ScaleBy(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

}  // namespace

CataloguePoller::CataloguePoller(Options options, Ports ports)
    : options_(options),
      ports_(ports),
      started_at_(ports.clock.Now()),
      patience_(ScaleBy(options.peer_patience, 1.0 + ports.random.NextUnit())) {
}

Duration CataloguePoller::Step(bool is_relay) {
  reason_ = FindReason(is_relay);
  if (reason_ == WatchReason::kNone) {
    failures_in_row_ = 0;
    return Jittered(options_.idle_period);
  }

  if (ReadPlatform()) {
    failures_in_row_ = 0;
    return Jittered(options_.poll_period);
  }
  ++failed_steps_;
  const std::uint64_t doublings = std::min(failures_in_row_++, kMostDoublings);
  return Jittered(std::min(options_.max_backoff,
                           options_.first_backoff * (1 << doublings)));
}

WatchReason CataloguePoller::FindReason(bool is_relay) const {
  if (is_relay) {
    return WatchReason::kRelay;
  }
  const MonotonicTime now = ports_.clock.Now();
  const MonotonicTime heard =
      ports_.replica.LastHeard(RevisionSource::kPeer).value_or(started_at_);
  if (now - heard >= patience_) {
    return WatchReason::kPeersSilent;
  }
  const auto behind_since = ports_.replica.BehindSince();
  if (behind_since && now - *behind_since >= patience_) {
    return WatchReason::kBehind;
  }
  return WatchReason::kNone;
}

bool CataloguePoller::ReadPlatform() {
  const auto head = ports_.reader.ReadHead();
  if (!IsOk(head)) {
    return false;
  }
  // A head older than what is held is a stale read, and changes nothing.
  ports_.replica.NoteRevision(ValueOf(head).revision,
                              RevisionSource::kPlatform);
  return ReadMissing(ValueOf(head).revision);
}

bool CataloguePoller::ReadMissing(std::uint64_t head) {
  CatalogueReplica& replica = ports_.replica;
  if (replica.Revision() == 0 && head > kSnapshotWorthwhile) {
    const auto snapshot = ports_.reader.ReadSnapshot();
    if (!IsOk(snapshot)) {
      return false;
    }
    if (ValueOf(snapshot)) {
      replica.Apply(*ValueOf(snapshot), RevisionSource::kPlatform);
    }
  }

  while (replica.Revision() < head) {
    const auto delta = ports_.reader.ReadChanges(replica.Revision());
    if (!IsOk(delta) || ValueOf(delta).changes.empty()) {
      return false;
    }
    const auto applied =
        replica.Apply(ValueOf(delta), RevisionSource::kPlatform);
    if (!IsOk(applied)) {
      return false;
    }
  }
  return true;
}

Duration CataloguePoller::Jittered(Duration duration) {
  return ScaleBy(duration,
                 kLeastJitter + kJitterSpread * ports_.random.NextUnit());
}

}  // namespace medlarcroft::catalogue
