#ifndef MEDLARCROFT_STEERING_SHIFT_LIMITER_H_
#define MEDLARCROFT_STEERING_SHIFT_LIMITER_H_

#include <map>
#include <span>
#include <string_view>
#include <utility>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::steering {

/// @brief A token bucket. It starts empty, so that a host that restarts
/// repeatedly does not get a burst each time.
class TokenBucket {
 public:
  /// @param burst maximum number of tokens.
  /// @param refill tokens per second.
  void Set(double burst, double refill, MonotonicTime now);
  [[nodiscard]] bool HasToken(MonotonicTime now);
  /// @brief Takes a token; `HasToken` must just have returned true.
  void TakeToken() { tokens_ -= 1.0; }

 private:
  void Refill(MonotonicTime now);

  double burst_ = 0.0;
  double refill_per_second_ = 0.0;
  double tokens_ = 0.0;
  MonotonicTime refilled_at_;
};

/// @brief Limit on what this host may forward to one domain, over all services.
struct LinkAllowance {
  FailureDomainName to;
  /// This host's share of the link's capacity, in requests per second over all
  /// services. The shares of all hosts together must not exceed the capacity.
  double capacity_share = 0.0;
};

/// @brief What this host should forward of one service to one domain.
struct ShiftAllowance {
  ServiceName service;
  FailureDomainName to;
  double rate = 0.0;  ///< This host's share, requests per second.
};

/// @brief Why a request is not forwarded.
enum class ShiftRefusal {
  kNotPlanned,    ///< The plan forwards none of this service there.
  kPlannedRate,   ///< The planned rate is used up for now.
  kLinkCapacity,  ///< This host's share of the link is used up for now.
  kReceiverFull,  ///< Paused because the receiver has just refused.
};

[[nodiscard]] std::string_view ToString(ShiftRefusal refusal);

/// @brief Enforces the limits of links for each forwarded request.
///
/// A plan is seconds old when a burst arrives, and a fixed fraction of a burst
/// can exceed any limit. Therefore each forwarded request needs a token of the
/// link's share and one of the planned rate. Both are checked before either is
/// taken, so that a refusal by one does not use up the other. The link's bucket
/// limits the count in every second rather than the average: a burst B and a
/// refill r let B + r requests through in one second, so the burst is
/// subtracted from the refill. The planned rate is a goal rather than a limit
/// of the link; its bucket allows for uneven arrivals, because otherwise a
/// tenth of the planned requests would not be forwarded. Not thread-safe.
class ShiftLimiter {
 public:
  explicit ShiftLimiter(const ports::Clock& clock) : clock_(&clock) {}

  /// @brief Replaces all allowances; those that are not listed drop to 0
  /// immediately.
  void Update(std::span<const LinkAllowance> links,
              std::span<const ShiftAllowance> shifts);

  /// @brief Takes the tokens for one request, which must be forwarded now.
  [[nodiscard]] Result<Success, ShiftRefusal> TryForward(
      const ServiceName& service,
      const FailureDomainName& to);

  /// @brief Records whether the receiver accepted a forwarded request.
  ///
  /// A refused request has used up a round trip of its caller's deadline. In a
  /// small pool a single refusal may be chance, so the pause after it is short
  /// and doubles with each consecutive refusal.
  void OnAnswer(const ServiceName& service,
                const FailureDomainName& to,
                bool is_accepted);

 private:
  using Key = std::pair<ServiceName, FailureDomainName>;
  struct Shift {
    TokenBucket bucket;
    double rate = 0.0;
    Duration pause = Duration::zero();
    MonotonicTime paused_until;
  };

  const ports::Clock* clock_;
  std::map<FailureDomainName, TokenBucket> links_;
  std::map<Key, Shift> shifts_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_LIMITER_H_
