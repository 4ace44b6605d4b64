#ifndef MEDLARCROFT_QUOTA_TOKEN_ISSUER_H_
#define MEDLARCROFT_QUOTA_TOKEN_ISSUER_H_

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/rate_meter.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/quota/quota_message.h"
#include "medlarcroft/quota/token_lifetimes.h"

namespace medlarcroft::quota {

/// @brief Tokens that may be spent until a point in time.
struct TokenBatch {
  std::uint32_t tokens = 0;
  MonotonicTime valid_until;
};

/// @brief The quota of one account.
struct AccountQuota {
  AccountNumber account{};
  routing::Quota quota;
};

/// @brief Creates the tokens of all accounts from the shares that hosts
/// delegate to this one, and grants them to hosts and to other issuers.
///
/// With a share for each of a hundred hosts, a small account would have a
/// fraction of a request per second on each of them, while its callers use two
/// or three. The hosts of a group therefore delegate their shares to one issuer
/// and ask it for tokens; issuers ask each other for what they lack.
///
/// Each token is created from one share, by the one process that has the share,
/// and its holder is told of it once. So the sum over all hosts keeps to the
/// bounds whatever is lost, late, repeated, paused or disconnected; see
/// `TokenLifetimes` and `ShareLease`.
class TokenIssuer {
 public:
  /// @param started_at start of this process.
  TokenIssuer(const QuotaBounds& bounds,
              std::uint16_t incarnation,
              MonotonicTime started_at)
      : bounds_(bounds),
        incarnation_(incarnation),
        started_at_(started_at),
        advanced_at_(started_at) {}

  /// @brief Replaces the quotas. The stock of an account that is new, or that
  /// was removed for a while, is empty.
  void SetQuotas(std::span<const AccountQuota> quotas, MonotonicTime now);
  /// @param share part of all quotas that belongs to this host itself and is
  /// not delegated; 0: none.
  void SetOwnShare(double share, MonotonicTime now);
  void OnDelegation(HostNumber host,
                    const Delegation& delegation,
                    MonotonicTime now);

  /// @return the tokens granted to a host for its requests, at most `wanted`.
  [[nodiscard]] std::uint32_t Grant(AccountNumber account,
                                    std::uint32_t wanted,
                                    MonotonicTime now);
  /// @return the tokens granted to another issuer. What the hosts of this
  /// issuer need soon is kept.
  [[nodiscard]] std::uint32_t Transfer(AccountNumber account,
                                       std::uint32_t wanted,
                                       MonotonicTime now);
  /// @brief Adds tokens that another issuer granted.
  void Receive(AccountNumber account,
               const TokenBatch& batch,
               MonotonicTime now);

  /// @return the tokens to ask other issuers for, for which the hosts of this
  /// one have asked or will ask soon.
  [[nodiscard]] std::vector<TokenCount> TakeShortages(MonotonicTime now);
  /// @brief Adds the tokens of a time in which this host's own share was
  /// unused.
  void AddUnusedOwnShare(double share, Duration unused, MonotonicTime now);
  /// @return how long this process has surely not used the share of a host.
  [[nodiscard]] Duration UnusedShareOf(HostNumber host,
                                       MonotonicTime now) const;

  /// @return the part of all quotas that this issuer creates tokens from.
  [[nodiscard]] double Share(MonotonicTime now);
  [[nodiscard]] IssuerTime TimeAt(MonotonicTime now) const;

 private:
  struct DelegatedShare {
    double share = 0;
    MonotonicTime valid_until;
  };
  struct Limit {
    routing::Quota quota;
    TokenLifetimes lifetimes;
    /// `share_seconds_` when the account was added.
    double added_at = 0;
  };
  struct Stock {
    double tokens = 0;
    double refilled_at = 0;  ///< In `share_seconds_`.
    std::vector<TokenBatch> received;
    /// Tokens granted to hosts.
    RateMeter granted{std::chrono::seconds(3)};
    std::uint32_t shortage = 0;  ///< Tokens asked for and not granted.
  };

  /// @brief Adds the time since the last call to `share_seconds_`.
  void Advance(MonotonicTime now);
  [[nodiscard]] double CurrentShare() const;
  /// @return the refilled stock; null: the account has no quota.
  Stock* Refill(AccountNumber account, MonotonicTime now);
  void Refill(Stock& stock, const Limit& limit, MonotonicTime now) const;
  [[nodiscard]] static double Available(const Stock& stock);
  static void Spend(Stock& stock, std::uint32_t tokens);

  QuotaBounds bounds_;
  std::uint16_t incarnation_;
  MonotonicTime started_at_;
  std::unordered_map<AccountNumber, Limit> limits_;
  std::unordered_map<AccountNumber, Stock> stocks_;
  std::map<HostNumber, DelegatedShare> delegated_;
  double own_share_ = 0;
  /// Sum of the delegated and own shares over time, in seconds. An account's
  /// stock grows by its rate times the growth of this.
  double share_seconds_ = 0;
  MonotonicTime advanced_at_;
  /// When the delegation of a host ended.
  std::map<HostNumber, MonotonicTime> ended_at_;
};

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_TOKEN_ISSUER_H_
