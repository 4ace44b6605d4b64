#ifndef MEDLARCROFT_IDEMPOTENCY_LEDGER_H_
#define MEDLARCROFT_IDEMPOTENCY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/idempotency/answer.h"
#include "medlarcroft/idempotency/expiry_index.h"
#include "medlarcroft/idempotency/fingerprint.h"
#include "medlarcroft/idempotency/key.h"
#include "medlarcroft/idempotency/outcome.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::idempotency {

struct LedgerOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  /// Sized for 20 orders a second on one host over a key's 10 minutes. Beyond
  /// it new orders are refused, because removing an entry early would allow a
  /// second run.
  std::size_t max_entries = 12'000;
  /// Bytes of stored answers plus reservations of running requests; a third of
  /// the 64 MB available to the control plane.
  std::size_t max_bytes = std::size_t{20} << 20U;
  /// More waiting duplicates of one running request than this are refused,
  /// because a caller that repeats without waiting must not occupy all
  /// connections.
  std::size_t max_waiters = 8;
};

/// @brief Identifier that the daemon gives to a waiting duplicate.
using WaiterId = std::uint64_t;

/// @brief Dispatch the request, then report its result by `Complete`,
/// `MarkUnknown` or `MarkNotRun`. A durable key must be claimed first
/// (`DurableClaims`).
struct DispatchRequest {};
/// @brief The first attempt is running; the call that reports its result
/// returns this waiter.
struct AwaitFirstAttempt {};
/// @brief The request has run; this is the complete answer.
struct ReplayAnswer {
  SharedAnswer answer;
};

enum class LedgerRefusal {
  kExpired,
  kForeignHost,  ///< Local key of another host: forward the request there.
  kForeignIncarnation,  ///< Local key of this host before a restart.
  kRequestDiffers,      ///< The key was used for a different request.
  kFull,
  kTooManyWaiters,
  kFateUnknown,    ///< An earlier attempt may have run.
  kAnswerNotKept,  ///< It ran, but its answer exceeded the reserved size.
};

struct Refused {
  LedgerRefusal reason = LedgerRefusal::kFateUnknown;
  Outcome outcome = Outcome::kUnknown;
};

using BeginResult =
    std::variant<DispatchRequest, AwaitFirstAttempt, ReplayAnswer, Refused>;

/// @brief Records every key that this incarnation dispatched, so that this
/// process dispatches a key at most once. Kept in memory only; after a restart,
/// requests with previously issued keys are answered `unknown` and never run.
/// An entry stays until its key expires. Not thread-safe.
class Ledger {
 public:
  Ledger(LedgerOptions options, const ports::Clock& clock);

  /// @brief Decides about one attempt with a verified key.
  /// @param reserve_bytes maximum answer size of the request class.
  /// @param waiter returned when the result is reported, if this call returns
  /// `AwaitFirstAttempt`.
  [[nodiscard]] BeginResult Begin(const Key& key,
                                  const Fingerprint& fingerprint,
                                  std::size_t reserve_bytes,
                                  WaiterId waiter);

  /// @brief The request has run. Also accepted after `MarkUnknown`, because a
  /// late answer settles the outcome.
  /// @return the waiting duplicates, which get the same answer.
  std::vector<WaiterId> Complete(const Key& key, SharedAnswer answer);

  /// @brief The request was dispatched and may have run; it is never dispatched
  /// again.
  std::vector<WaiterId> MarkUnknown(const Key& key);

  /// @brief The request was not dispatched, or the target stated that it did
  /// not run: a retry may run. Ignored unless the key is running, because a
  /// reported result is final.
  std::vector<WaiterId> MarkNotRun(const Key& key);

  /// @brief Removes a waiting duplicate whose caller disconnected.
  void CancelWait(const Key& key, WaiterId waiter);

  /// @return the outcome to report when an attempt is refused before `Begin`
  /// (queue full, deadline, draining). `kNotRun` only for a local key of this
  /// incarnation without an entry; another host may have run a durable one.
  [[nodiscard]] Outcome OutcomeIfRefused(const Key& key) const;

  [[nodiscard]] std::size_t Entries() const { return entries_.size(); }
  [[nodiscard]] std::size_t Running() const { return running_; }
  [[nodiscard]] std::size_t Bytes() const { return bytes_; }

 private:
  enum class State { kRunning, kRan, kUnknown };

  struct Entry {
    State state = State::kRunning;
    Fingerprint fingerprint;
    SharedAnswer answer;
    std::size_t bytes = 0;
    std::vector<WaiterId> waiters;
    /// The request was still running when its key expired.
    bool is_expired = false;
  };
  using EntryMap = std::map<KeyId, Entry>;

  [[nodiscard]] BeginResult BeginRepeat(Entry& entry,
                                        const Fingerprint& fingerprint,
                                        WaiterId waiter);
  [[nodiscard]] bool IsOwn(const Key& key) const;
  std::vector<WaiterId> Settle(EntryMap::iterator found, State state);
  void SetBytes(Entry& entry, std::size_t bytes);
  void RemoveExpired();

  LedgerOptions options_;
  const ports::Clock& clock_;
  EntryMap entries_;
  ExpiryIndex expiries_;
  std::size_t bytes_ = 0;
  std::size_t running_ = 0;
};

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_LEDGER_H_
