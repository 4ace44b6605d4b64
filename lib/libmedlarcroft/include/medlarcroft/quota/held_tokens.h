#ifndef MEDLARCROFT_QUOTA_HELD_TOKENS_H_
#define MEDLARCROFT_QUOTA_HELD_TOKENS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "medlarcroft/core/rate_meter.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/quota/quota_gate.h"
#include "medlarcroft/quota/token_issuer.h"

namespace medlarcroft::quota {

/// @brief The tokens of one account that this host may spend, and its demand
/// for them.
///
/// An account may send many times its quota. Its requests must not collect here
/// until they time out, so one that would wait longer than `kMaxTokenWait` at
/// the rate at which tokens arrive is refused at once.
class HeldTokens {
 public:
  /// @brief Takes a token, or waits for one.
  [[nodiscard]] AdmissionResult Admit(MonotonicTime now);
  /// @brief Takes a token for a waiting request.
  [[nodiscard]] AdmissionResult AdmitWaiting(MonotonicTime now);
  void StopWaiting();
  void Add(const TokenBatch& batch, MonotonicTime now);
  /// @brief Adds the token of a request that did not run.
  void GiveBack(MonotonicTime valid_until);
  /// @brief A request has waited in vain. Those that arrive next would, too.
  void OnWaitedInVain(MonotonicTime now);

  /// @return the tokens to ask for: one for each waiting request, and those
  /// that will be spent in `ahead`.
  [[nodiscard]] std::uint32_t Missing(Duration ahead, MonotonicTime now);
  [[nodiscard]] std::uint32_t Waiting() const { return waiting_; }
  [[nodiscard]] Duration TimeToToken(MonotonicTime now) const;

  /// @return whether a request for tokens is due for the waiting requests.
  [[nodiscard]] bool IsAskDue(MonotonicTime now) const;
  void OnAsked(MonotonicTime now) { asked_at_ = now; }
  [[nodiscard]] bool IsIdle(MonotonicTime now) const;

 private:
  void Insert(const TokenBatch& batch);
  void RemoveExpired(MonotonicTime now);
  [[nodiscard]] std::optional<MonotonicTime> Take(MonotonicTime now);

  std::vector<TokenBatch> batches_;  ///< The first one expires first.
  RateMeter arrivals_{std::chrono::seconds(1)};
  RateMeter received_{std::chrono::seconds(1)};
  std::uint32_t waiting_ = 0;
  MonotonicTime exhausted_until_{};
  MonotonicTime asked_at_{};
  MonotonicTime last_arrival_at_{};
};

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_HELD_TOKENS_H_
