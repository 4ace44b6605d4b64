#include "medlarcroft/idempotency/durable_claims.h"

#include <algorithm>
#include <utility>

#include "claim_row.h"

namespace medlarcroft::idempotency {

DurableClaims::DurableClaims(DurableClaimsOptions options,
                             ports::TableStore& store,
                             ports::RandomSource& random,
                             const ports::Clock& clock)
    : options_(std::move(options)),
      store_(store),
      random_(random),
      clock_(clock) {}

ClaimResult DurableClaims::Claim(const Key& key) {
  if (const auto refusal = Admit(key)) {
    return *refusal;
  }
  if (keys_[key.id].state == State::kHeld) {
    return Claimed{};
  }
  return Acquire(key, 0);
}

ClaimResult DurableClaims::Fence(const Key& key) {
  const auto found = keys_.find(key.id);
  if (found != keys_.end() && found->second.state == State::kDispatched) {
    return ClaimRefusal::kDispatched;
  }
  const ClaimRow fence{
      .claimant = {.host = options_.host, .incarnation = options_.incarnation},
      .nonce = random_.Next(),
      .is_fence = true};
  const std::string row_key = ClaimRowKey(key);
  const auto result = store_.Commit(
      {.conditions = {{.key = row_key, .version = 0}},
       .writes = {{.key = row_key, .value = EncodeClaimRow(fence)}}});
  if (IsOk(result)) {
    const ports::TransactionOutcome& outcome = ValueOf(result);
    return outcome.committed ? ClaimResult(Fenced{})
                             : ClassifyRow(key, outcome.conflicting.front());
  }
  // Any fence has the same effect, whoever wrote it, so the row itself gives
  // the result.
  const auto row = store_.Read(row_key);
  if (!IsOk(row) || ValueOf(row).version == 0) {
    return Unsettled{.failure = ErrorOf(result)};
  }
  return ClassifyRow(key, ValueOf(row));
}

ClaimResult DurableClaims::TakeOver(const Key& key, const Claimant& from) {
  if (const auto refusal = Admit(key)) {
    return *refusal;
  }
  const auto row = store_.Read(ClaimRowKey(key));
  if (!IsOk(row)) {
    return Unsettled{.failure = ErrorOf(row)};
  }
  if (ValueOf(row).version == 0) {
    return Acquire(key, 0);
  }
  const auto claim = DecodeClaimRow(ValueOf(row).value);
  if (!claim || claim->is_fence || claim->claimant != from) {
    return ClassifyRow(key, ValueOf(row));
  }
  return Acquire(key, ValueOf(row).version);
}

bool DurableClaims::MarkDispatched(const Key& key) {
  const auto found = keys_.find(key.id);
  if (found == keys_.end() || found->second.state != State::kHeld) {
    return false;
  }
  found->second.state = State::kDispatched;
  return true;
}

bool DurableClaims::Relinquish(const Key& key, std::uint64_t incarnation) {
  RemoveExpired();
  if (incarnation != options_.incarnation ||
      expiries_.IsExpired(key, clock_.WallNow())) {
    return false;
  }
  const auto found = keys_.find(key.id);
  // The row names this process, but it has no record of the key, so nothing is
  // proved.
  if (found == keys_.end()) {
    return false;
  }
  if (found->second.state == State::kDispatched) {
    return false;
  }
  found->second.state = State::kRelinquished;
  return true;
}

Result<std::size_t, ports::StoreFailure> DurableClaims::Sweep(
    std::size_t limit) {
  const std::string end =
      ClaimRowsBefore(clock_.WallNow() - options_.sweep_grace);
  const auto rows = store_.Scan(kClaimPrefix, end, limit);
  if (!IsOk(rows)) {
    return ErrorOf(rows);
  }
  if (ValueOf(rows).empty()) {
    return std::size_t{0};
  }
  // No condition is needed: two hosts may delete the same rows.
  ports::Transaction deletion;
  for (const ports::Row& row : ValueOf(rows)) {
    deletion.writes.push_back({.key = row.key});
  }
  const auto result = store_.Commit(deletion);
  if (!IsOk(result)) {
    return ErrorOf(result);
  }
  return deletion.writes.size();
}

std::optional<ClaimRefusal> DurableClaims::Admit(const Key& key) {
  RemoveExpired();
  if (expiries_.IsExpired(key, clock_.WallNow())) {
    return ClaimRefusal::kExpired;
  }
  const auto found = keys_.find(key.id);
  if (found == keys_.end()) {
    if (keys_.size() >= options_.max_keys) {
      return ClaimRefusal::kFull;
    }
    keys_[key.id] = {.state = State::kPending, .nonce = random_.Next()};
    expiries_.Add(key);
    return std::nullopt;
  }
  if (found->second.state == State::kDispatched) {
    return ClaimRefusal::kDispatched;
  }
  return found->second.state == State::kRelinquished
             ? std::optional(ClaimRefusal::kRelinquished)
             : std::nullopt;
}

// Guards against a lost answer to a write that took effect: the writer would
// take the row for another process's and answer `unknown`, or, worse, a second
// writer would assume that there is no claim. The nonce shows which attempt
// wrote the row. A missing row proves nothing, because the write may still
// arrive. The same insert is therefore sent again, and whichever of the two
// arrives first carries this attempt's nonce.
ClaimResult DurableClaims::Acquire(const Key& key, std::uint64_t version) {
  const std::string row_key = ClaimRowKey(key);
  const ClaimRow claim{
      .claimant = {.host = options_.host, .incarnation = options_.incarnation},
      .nonce = keys_[key.id].nonce};
  const ports::Transaction insert{
      .conditions = {{.key = row_key, .version = version}},
      .writes = {{.key = row_key, .value = EncodeClaimRow(claim)}}};

  ports::StoreFailure failure = ports::StoreFailure::kUnavailable;
  for (std::uint32_t i = 0; i < options_.settle_attempts; ++i) {
    const auto result = store_.Commit(insert);
    if (IsOk(result)) {
      const ports::TransactionOutcome& outcome = ValueOf(result);
      if (!outcome.committed) {
        return ClassifyRow(key, outcome.conflicting.front());
      }
      keys_[key.id].state = State::kHeld;
      return Claimed{};
    }
    failure = ErrorOf(result);
    const auto row = store_.Read(row_key);
    if (IsOk(row) && ValueOf(row).version > version) {
      return ClassifyRow(key, ValueOf(row));
    }
  }
  return Unsettled{.failure = failure};
}

ClaimResult DurableClaims::ClassifyRow(const Key& key, const ports::Row& row) {
  const auto claim = DecodeClaimRow(row.value);
  if (!claim) {
    return ClaimedElsewhere{};
  }
  if (claim->is_fence) {
    return Fenced{};
  }
  const auto known = keys_.find(key.id);
  const bool is_own = known != keys_.end() &&
                      known->second.state != State::kRelinquished &&
                      claim->nonce == known->second.nonce &&
                      claim->claimant.host == options_.host &&
                      claim->claimant.incarnation == options_.incarnation;
  if (!is_own) {
    return ClaimedElsewhere{.claimant = claim->claimant};
  }
  if (known->second.state == State::kPending) {
    known->second.state = State::kHeld;
  }
  return Claimed{};
}

void DurableClaims::RemoveExpired() {
  while (const auto id = expiries_.TakeExpired(clock_.WallNow())) {
    keys_.erase(*id);
  }
}

}  // namespace medlarcroft::idempotency
