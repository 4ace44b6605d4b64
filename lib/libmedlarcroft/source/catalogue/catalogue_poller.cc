#include "medlarcroft/catalogue/catalogue_poller.h"

#include <algorithm>

namespace medlarcroft::catalogue {

namespace {

constexpr double kMinJitterFactor = 0.75;
constexpr double kJitterRange = 0.5;
/// Prevents overflow: 2^16 times the first backoff exceeds any maximum.
constexpr std::uint64_t kMaxDoublings = 16;
/// Up to this revision, the changes fit one page and cost no more to read than
/// a snapshot.
constexpr std::uint64_t kMinSnapshotRevision = 64;

Duration ScaleBy(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

}  // namespace

CataloguePoller::CataloguePoller(Options options, Ports ports)
    : options_(options),
      ports_(ports),
      started_at_(ports.clock.Now()),
      peer_timeout_(
          ScaleBy(options.peer_timeout, 1.0 + ports.random.NextUnit())) {}

Duration CataloguePoller::Step(bool is_relay) {
  reason_ = FindPollReason(is_relay);
  if (reason_ == PollReason::kNone) {
    consecutive_failures_ = 0;
    return AddJitter(options_.idle_period);
  }

  if (ReadPlatform()) {
    consecutive_failures_ = 0;
    return AddJitter(options_.poll_period);
  }
  ++failed_steps_;
  const std::uint64_t doublings =
      std::min(consecutive_failures_++, kMaxDoublings);
  return AddJitter(std::min(options_.max_backoff,
                            options_.first_backoff * (1 << doublings)));
}

PollReason CataloguePoller::FindPollReason(bool is_relay) const {
  if (is_relay) {
    return PollReason::kRelay;
  }
  const MonotonicTime now = ports_.clock.Now();
  const MonotonicTime last_contact =
      ports_.replica.LastContact(RevisionSource::kPeer).value_or(started_at_);
  if (now - last_contact >= peer_timeout_) {
    return PollReason::kPeersSilent;
  }
  const auto behind_since = ports_.replica.BehindSince();
  if (behind_since && now - *behind_since >= peer_timeout_) {
    return PollReason::kBehind;
  }
  return PollReason::kNone;
}

bool CataloguePoller::ReadPlatform() {
  const auto head = ports_.reader.ReadHead();
  if (!IsOk(head)) {
    return false;
  }
  // A head older than the held revision is a stale read and has no effect.
  ports_.replica.NoteRevision(ValueOf(head).revision,
                              RevisionSource::kPlatform);
  return ReadMissingRevisions(ValueOf(head).revision);
}

bool CataloguePoller::ReadMissingRevisions(std::uint64_t head) {
  CatalogueReplica& replica = ports_.replica;
  if (replica.Revision() == 0 && head > kMinSnapshotRevision) {
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

Duration CataloguePoller::AddJitter(Duration duration) {
  return ScaleBy(duration,
                 kMinJitterFactor + kJitterRange * ports_.random.NextUnit());
}

}  // namespace medlarcroft::catalogue
