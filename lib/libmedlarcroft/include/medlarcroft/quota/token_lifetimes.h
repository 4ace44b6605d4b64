#ifndef MEDLARCROFT_QUOTA_TOKEN_LIFETIMES_H_
#define MEDLARCROFT_QUOTA_TOKEN_LIFETIMES_H_

#include "medlarcroft/core/time.h"
#include "medlarcroft/routing/client_account.h"

namespace medlarcroft::quota {

/// @brief How far all hosts together may exceed a quota. In any `window`, at
/// most (rate * window + burst) * (1 + overage) + slack requests may run.
struct QuotaBounds {
  Duration window = std::chrono::seconds(5);
  double overage = 0.1;
  double slack = 20;  ///< In requests.
};

/// @brief How long a token of one account exists, by where it is.
///
/// Tokens are created at the quota's rate. The tokens that exist at any moment
/// are therefore at most those of the sum of these times, and in any window at
/// most rate * (window + sum) requests run.
struct TokenLifetimes {
  Duration stock{0};     ///< In the stock of the host that issued it.
  Duration transfer{0};  ///< In the stock of another issuer.
  Duration held{0};      ///< At the host that spends it.

  [[nodiscard]] Duration Sum() const { return stock + transfer + held; }
};

/// @return the longest lifetimes that keep to the bounds. The burst and most of
/// the permitted excess become unspent tokens, so that requests within the
/// quota find a token although the tokens are spread over hosts.
[[nodiscard]] TokenLifetimes LifetimesFor(const routing::Quota& quota,
                                          const QuotaBounds& bounds);

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_TOKEN_LIFETIMES_H_
