#ifndef MEDLARCROFT_IDEMPOTENCY_DURABLE_CLAIMS_H_
#define MEDLARCROFT_IDEMPOTENCY_DURABLE_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/idempotency/expiry_index.h"
#include "medlarcroft/idempotency/key.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::idempotency {

/// @brief The process named in a claim row.
struct Claimant {
  HostName host;
  std::uint64_t incarnation = 0;

  friend bool operator==(const Claimant&, const Claimant&) = default;
};

/// @brief This process holds the claim and may dispatch the key once.
struct Claimed {};
/// @brief Another process holds the claim: forward the request to `claimant`.
/// If that process is gone, the outcome is `unknown`. Without a claimant, the
/// row could not be read.
struct ClaimedElsewhere {
  std::optional<Claimant> claimant;
};
/// @brief No process dispatched this key and none will, so `not-run` is proved.
/// The caller retries with a new key.
struct Fenced {};
/// @brief The owner of the claim is unknown; nothing was dispatched here.
/// Calling again continues the attempt. The outcome is `unknown`.
struct Unsettled {
  ports::StoreFailure failure = ports::StoreFailure::kUnavailable;
};
/// @brief Reasons for refusing here without a call to the platform; the outcome
/// is `unknown`.
enum class ClaimRefusal {
  kExpired,
  kRelinquished,  ///< This process promised never to dispatch it.
  kDispatched,    ///< This process has already dispatched it.
  kFull,
};

using ClaimResult =
    std::variant<Claimed, ClaimedElsewhere, Fenced, Unsettled, ClaimRefusal>;

struct DurableClaimsOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  /// Attempts to resolve one lost answer before returning `Unsettled`. Each
  /// costs a read and a write, and the caller's deadline is about two seconds.
  std::uint32_t settle_attempts = 2;
  std::size_t max_keys = 12'000;
  /// How long a claim row is kept after its key's expiry. Must exceed the
  /// difference between any two hosts' wall clocks, because after an early
  /// deletion the key could be claimed again.
  Duration sweep_grace = std::chrono::minutes(10);
};

/// @brief Claim rows of durable keys, inserted before the dispatch so that at
/// most one process on all hosts dispatches a key. Store calls block; use it on
/// a worker thread, one caller at a time.
class DurableClaims {
 public:
  DurableClaims(DurableClaimsOptions options,
                ports::TableStore& store,
                ports::RandomSource& random,
                const ports::Clock& clock);

  /// @brief Claims `key` for this process with one write. After a lost answer,
  /// the row's nonce shows whether the write took effect. Claiming a held key
  /// again needs no write.
  [[nodiscard]] ClaimResult Claim(const Key& key);

  /// @brief Makes "not run" provable: no process can claim the key afterwards.
  /// Needs one write; for refusals that must state whether the request ran.
  /// @return `Claimed` when this process holds the claim and has not dispatched
  /// the key; then no process has.
  [[nodiscard]] ClaimResult Fence(const Key& key);

  /// @brief Takes the claim over from `from`. Call it only after `from` has
  /// answered `Relinquish` with true, which is binding.
  [[nodiscard]] ClaimResult TakeOver(const Key& key, const Claimant& from);

  /// @brief Records that the request is sent to the target now.
  /// @return false if it must not be sent.
  [[nodiscard]] bool MarkDispatched(const Key& key);

  /// @brief Answers another host that requests to take the claim over.
  /// @param incarnation the one named in the row; any other than this process's
  /// own proves nothing.
  /// @return true, which is binding, if this process has not dispatched the key
  /// and never will.
  [[nodiscard]] bool Relinquish(const Key& key, std::uint64_t incarnation);

  /// @brief Deletes rows whose expiry is more than `sweep_grace` ago, with one
  /// scan and one write.
  /// @return the number of deleted rows, at most `limit`.
  [[nodiscard]] Result<std::size_t, ports::StoreFailure> Sweep(
      std::size_t limit);

  [[nodiscard]] std::size_t Keys() const { return keys_.size(); }

 private:
  enum class State { kPending, kHeld, kDispatched, kRelinquished };
  struct LocalClaim {
    State state = State::kPending;
    std::uint64_t nonce = 0;
  };

  [[nodiscard]] std::optional<ClaimRefusal> Admit(const Key& key);
  [[nodiscard]] ClaimResult Acquire(const Key& key, std::uint64_t version);
  [[nodiscard]] ClaimResult ClassifyRow(const Key& key, const ports::Row& row);
  void RemoveExpired();

  DurableClaimsOptions options_;
  ports::TableStore& store_;
  ports::RandomSource& random_;
  const ports::Clock& clock_;
  std::map<KeyId, LocalClaim> keys_;
  ExpiryIndex expiries_;
};

/// @return the key of the claim row; rows sort by expiry.
[[nodiscard]] std::string ClaimRowKey(const Key& key);

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_DURABLE_CLAIMS_H_
