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
  /// Made for 20 orders a second on one host over a key's 10 minutes; beyond
  /// it new orders are refused, since forgetting one would let it run twice.
  std::size_t max_entries = 12'000;
  /// Answers kept and room promised to running work; a third of the 64 MB that
  /// control may use.
  std::size_t max_bytes = std::size_t{20} << 20U;
  /// More duplicates than this of one running request are refused: a caller
  /// that repeats without waiting must not hold every connection.
  std::size_t max_waiters = 8;
};

/// @brief The daemon's name for a parked duplicate.
using WaiterId = std::uint64_t;

/// @brief Dispatch it, then settle it by `Complete`, `MarkUnknown` or
/// `MarkNotRun`. A durable key needs its claim first (`DurableClaims`).
struct DispatchRequest {};
/// @brief The first attempt runs; its settlement returns this waiter.
struct AwaitFirstAttempt {};
/// @brief It ran; this is the whole answer.
struct ReplayAnswer {
  SharedAnswer answer;
};

enum class LedgerRefusal {
  kExpired,
  kForeignHost,         ///< Local key of another host: pass it to that host.
  kForeignIncarnation,  ///< Local key of this host before a restart.
  kRequestDiffers,      ///< The key was used for another request.
  kFull,
  kTooManyWaiters,
  kFateUnknown,    ///< An earlier attempt may have run.
  kAnswerNotKept,  ///< It ran; its answer was larger than was reserved.
};

struct Refused {
  LedgerRefusal reason = LedgerRefusal::kFateUnknown;
  Outcome outcome = Outcome::kUnknown;
};

using BeginResult =
    std::variant<DispatchRequest, AwaitFirstAttempt, ReplayAnswer, Refused>;

/// @brief What this incarnation knows of each key that it let run: the guard
/// that a key is dispatched at most once by this process. Kept in memory only;
/// after a restart the keys issued before are answered `unknown`, never run.
/// An entry stays until the key expires. Not safe to share between threads.
class Ledger {
 public:
  Ledger(LedgerOptions options, const ports::Clock& clock);

  /// @brief Decides about one attempt of a verified key.
  /// @param reserve_bytes the class's bound on an answer.
  /// @param waiter returned by the settlement if the result is
  /// `AwaitFirstAttempt`.
  [[nodiscard]] BeginResult Begin(const Key& key,
                                  const Fingerprint& fingerprint,
                                  std::size_t reserve_bytes,
                                  WaiterId waiter);

  /// @brief It ran. Also taken after `MarkUnknown`: a late answer is the truth.
  /// @return the parked duplicates, to be given the same answer.
  std::vector<WaiterId> Complete(const Key& key, SharedAnswer answer);

  /// @brief It was dispatched and may have run; it will never be dispatched
  /// again.
  std::vector<WaiterId> MarkUnknown(const Key& key);

  /// @brief Proved not dispatched, or not run by the target's word: a retry may
  /// run. Ignored unless the key is running: what is settled stays so.
  std::vector<WaiterId> MarkNotRun(const Key& key);

  /// @brief The parked duplicate's caller went away.
  void CancelWait(const Key& key, WaiterId waiter);

  /// @brief What may be said of `key` when an attempt is refused before `Begin`
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
    bool is_expired = false;  ///< It ran beyond its key's expiry.
  };
  using EntryMap = std::map<KeyId, Entry>;

  [[nodiscard]] BeginResult Repeat(Entry& entry,
                                   const Fingerprint& fingerprint,
                                   WaiterId waiter);
  [[nodiscard]] bool IsOwn(const Key& key) const;
  std::vector<WaiterId> Settle(EntryMap::iterator found, State state);
  void SetBytes(Entry& entry, std::size_t bytes);
  void ForgetExpired();

  LedgerOptions options_;
  const ports::Clock& clock_;
  EntryMap entries_;
  ExpiryIndex expiries_;
  std::size_t bytes_ = 0;
  std::size_t running_ = 0;
};

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_LEDGER_H_
