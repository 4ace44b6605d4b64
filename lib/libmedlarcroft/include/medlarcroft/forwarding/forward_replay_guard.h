#ifndef MEDLARCROFT_FORWARDING_FORWARD_REPLAY_GUARD_H_
#define MEDLARCROFT_FORWARDING_FORWARD_REPLAY_GUARD_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::forwarding {

/// @brief Accepts each proof of a shifted, non-idempotent request once.
///
/// Guards against a forwarded request that arrives twice, because a connection
/// is replayed or an old copy arrives after a partition has healed. The order
/// would run twice, since the ledger that knows the key is on the sender. This
/// is enough because a sender never sends one proof twice, so a second arrival
/// is always a duplicate, and after a proof's lifetime it is rejected by its
/// age. Not thread-safe.
class ForwardReplayGuard {
 public:
  /// @param capacity number of proofs remembered: 100 shifted orders a second
  /// for two minutes are 12,000.
  explicit ForwardReplayGuard(const ports::Clock& clock,
                              std::size_t capacity = 12'000)
      : clock_(clock), capacity_(capacity) {}

  /// @return true for the first arrival; false for a duplicate, or when there
  /// is no space to remember the proof. The request must not run then.
  [[nodiscard]] bool Admit(const std::string& proof);

 private:
  void RemoveExpired(MonotonicTime now);

  const ports::Clock& clock_;
  const std::size_t capacity_;
  std::unordered_set<std::string> seen_;
  std::deque<std::pair<MonotonicTime, std::string>> insertion_order_;
};

}  // namespace medlarcroft::forwarding

#endif  // MEDLARCROFT_FORWARDING_FORWARD_REPLAY_GUARD_H_
