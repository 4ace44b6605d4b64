#include "medlarcroft/idempotency/ledger.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::idempotency {

Ledger::Ledger(LedgerOptions options, const ports::Clock& clock)
    : options_(std::move(options)), clock_(clock) {}

BeginResult Ledger::Begin(const Key& key,
                          const Fingerprint& fingerprint,
                          std::size_t reserve_bytes,
                          WaiterId waiter) {
  RemoveExpired();
  // An entry outlives its expiry only while its request runs.
  if (const auto found = entries_.find(key.id); found != entries_.end()) {
    return BeginRepeat(found->second, fingerprint, waiter);
  }
  if (expiries_.IsExpired(key, clock_.WallNow())) {
    return Refused{.reason = LedgerRefusal::kExpired};
  }
  if (key.mode == Mode::kLocal && key.id.issuer != options_.host) {
    return Refused{.reason = LedgerRefusal::kForeignHost};
  }
  if (key.mode == Mode::kLocal && !IsOwn(key)) {
    return Refused{.reason = LedgerRefusal::kForeignIncarnation};
  }
  if (entries_.size() >= options_.max_entries ||
      bytes_ + reserve_bytes > options_.max_bytes) {
    return Refused{.reason = LedgerRefusal::kFull,
                   .outcome = OutcomeIfRefused(key)};
  }
  Entry& entry = entries_[key.id];
  entry.fingerprint = fingerprint;
  SetBytes(entry, reserve_bytes);
  expiries_.Add(key);
  ++running_;
  return DispatchRequest{};
}

BeginResult Ledger::BeginRepeat(Entry& entry,
                                const Fingerprint& fingerprint,
                                WaiterId waiter) {
  if (entry.fingerprint != fingerprint) {
    return Refused{.reason = LedgerRefusal::kRequestDiffers};
  }
  if (entry.state == State::kUnknown) {
    return Refused{.reason = LedgerRefusal::kFateUnknown};
  }
  if (entry.state == State::kRan && entry.answer == nullptr) {
    return Refused{.reason = LedgerRefusal::kAnswerNotKept,
                   .outcome = Outcome::kRan};
  }
  if (entry.state == State::kRan) {
    return ReplayAnswer{entry.answer};
  }
  if (entry.waiters.size() >= options_.max_waiters) {
    return Refused{.reason = LedgerRefusal::kTooManyWaiters};
  }
  entry.waiters.push_back(waiter);
  return AwaitFirstAttempt{};
}

std::vector<WaiterId> Ledger::Complete(const Key& key, SharedAnswer answer) {
  const auto found = entries_.find(key.id);
  if (found == entries_.end() || found->second.state == State::kRan) {
    return {};
  }
  Entry& entry = found->second;
  // The space was reserved by `Begin`, so a stored answer never exceeds the
  // bound. After `MarkUnknown` the reservation is gone and space may be
  // lacking.
  const std::size_t size = StoredBytes(*answer);
  const std::size_t others = bytes_ - entry.bytes;
  const bool has_room = entry.state == State::kRunning
                            ? size <= entry.bytes
                            : others + size <= options_.max_bytes;
  SetBytes(entry, has_room ? size : 0);
  entry.answer = has_room ? std::move(answer) : nullptr;
  return Settle(found, State::kRan);
}

std::vector<WaiterId> Ledger::MarkUnknown(const Key& key) {
  const auto found = entries_.find(key.id);
  if (found == entries_.end() || found->second.state != State::kRunning) {
    return {};
  }
  SetBytes(found->second, 0);
  return Settle(found, State::kUnknown);
}

std::vector<WaiterId> Ledger::MarkNotRun(const Key& key) {
  const auto found = entries_.find(key.id);
  if (found == entries_.end() || found->second.state != State::kRunning) {
    return {};
  }
  SetBytes(found->second, 0);
  std::vector<WaiterId> waiters = std::move(found->second.waiters);
  --running_;
  entries_.erase(found);
  expiries_.Remove(key);
  return waiters;
}

void Ledger::CancelWait(const Key& key, WaiterId waiter) {
  const auto found = entries_.find(key.id);
  if (found != entries_.end()) {
    std::erase(found->second.waiters, waiter);
  }
}

Outcome Ledger::OutcomeIfRefused(const Key& key) const {
  const auto found = entries_.find(key.id);
  if (found != entries_.end()) {
    return found->second.state == State::kRan ? Outcome::kRan
                                              : Outcome::kUnknown;
  }
  const bool is_proved = key.mode == Mode::kLocal && IsOwn(key) &&
                         !expiries_.IsExpired(key, clock_.WallNow());
  return is_proved ? Outcome::kNotRun : Outcome::kUnknown;
}

bool Ledger::IsOwn(const Key& key) const {
  return key.id.issuer == options_.host &&
         key.id.incarnation == options_.incarnation;
}

std::vector<WaiterId> Ledger::Settle(EntryMap::iterator found, State state) {
  Entry& entry = found->second;
  if (entry.state == State::kRunning) {
    --running_;
  }
  entry.state = state;
  std::vector<WaiterId> waiters = std::exchange(entry.waiters, {});
  if (entry.is_expired) {
    SetBytes(entry, 0);
    entries_.erase(found);
  }
  return waiters;
}

void Ledger::SetBytes(Entry& entry, std::size_t bytes) {
  bytes_ = bytes_ - entry.bytes + bytes;
  entry.bytes = bytes;
}

void Ledger::RemoveExpired() {
  const WallTime now = clock_.WallNow();
  while (const auto id = expiries_.TakeExpired(now)) {
    const auto found = entries_.find(*id);
    if (found == entries_.end()) {
      continue;
    }
    if (found->second.state == State::kRunning) {
      found->second.is_expired = true;
      continue;
    }
    SetBytes(found->second, 0);
    entries_.erase(found);
  }
}

}  // namespace medlarcroft::idempotency
