#ifndef MEDLARCROFT_QUOTA_QUOTA_GATE_H_
#define MEDLARCROFT_QUOTA_QUOTA_GATE_H_

#include "medlarcroft/core/time.h"
#include "medlarcroft/routing/client_account.h"

namespace medlarcroft::quota {

/// How long a request may wait for a token. An issuer's answer takes a
/// millisecond, and tokens from another region a good tenth of a second. After
/// a restart of all hosts the first tokens take longer, and most callers try
/// only once more after a refusal.
inline constexpr Duration kMaxTokenWait = std::chrono::milliseconds(400);

/// @brief Whether a request is within the quota of its account.
enum class Admission {
  kAdmitted,
  kWaiting,    ///< A token may arrive soon.
  kExhausted,  ///< The quota is used up.
  kUnknown,    ///< This host can't find out, as after a restart.
};

/// @brief An admission, with the time until which its token may be given back.
struct AdmissionResult {
  Admission admission = Admission::kAdmitted;
  MonotonicTime token_valid_until;
};

/// @brief Checks requests against the quotas of their accounts.
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;

  /// @brief Takes a token for a request that arrives. If it has to wait,
  /// `AdmitWaiting` is due as soon as tokens arrive, and either that or
  /// `EndWait` ends the wait.
  [[nodiscard]] virtual AdmissionResult Admit(
      const routing::ClientAccount& account,
      MonotonicTime now) = 0;
  /// @brief Takes a token for a waiting request, which no longer waits unless
  /// the result is `kWaiting`.
  [[nodiscard]] virtual AdmissionResult AdmitWaiting(
      const routing::ClientAccount& account,
      MonotonicTime now) = 0;
  /// @brief A request stops waiting without a token.
  /// @return why it got none: `kExhausted` or `kUnknown`.
  virtual Admission EndWait(const routing::ClientAccount& account,
                            MonotonicTime now) = 0;
  /// @brief Returns the token of a request that is proven not to have run.
  virtual void GiveBack(const routing::ClientAccount& account,
                        MonotonicTime token_valid_until,
                        MonotonicTime now) = 0;
  /// @return how long a caller should wait that is refused now.
  [[nodiscard]] virtual Duration TimeToRetry(
      const routing::ClientAccount& account,
      MonotonicTime now) const = 0;
};

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_QUOTA_GATE_H_
