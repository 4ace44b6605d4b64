#ifndef MEDLARCROFT_QUOTA_QUOTA_ENFORCER_H_
#define MEDLARCROFT_QUOTA_QUOTA_ENFORCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarcroft/quota/held_tokens.h"
#include "medlarcroft/quota/quota_gate.h"
#include "medlarcroft/quota/quota_hosts.h"
#include "medlarcroft/quota/share_lease.h"
#include "medlarcroft/quota/token_issuer.h"

namespace medlarcroft::quota {

/// @brief Sends messages to other hosts; they may be lost, late or repeated.
class QuotaSender {
 public:
  virtual ~QuotaSender() = default;
  virtual void Send(HostNumber host, const TokenRequest& request) = 0;
  virtual void Send(HostNumber host, const TokenAnswer& answer) = 0;
};

/// @brief Receives the changes of a `QuotaEnforcer`.
class QuotaObserver {
 public:
  virtual ~QuotaObserver() = default;
  /// `QuotaGate::AdmitWaiting` is due for the waiting requests of the account.
  virtual void OnTokens(const ClientAccountName& account) = 0;
  /// @param issuer `kNoHost`: this host itself.
  virtual void OnIssuerChanged(HostNumber issuer, bool was_silent) = 0;
};

/// @brief Keeps the requests of all hosts together within the quotas of client
/// accounts, as one host's part of it. Not thread-safe.
///
/// Callers of an account use a few of many hosts, and its quota holds for all
/// hosts together, also while they are disconnected from each other. Each host
/// has an equal share of every quota, so that the shares never add up to more
/// than one. The hosts of a group delegate their shares to an issuer, the first
/// live one in an order that they share, and take tokens from it; see
/// `TokenIssuer`. A host without a reachable issuer issues tokens from its own
/// share as soon as its promise to the last issuer has ended.
class QuotaEnforcer final : public QuotaGate {
 public:
  struct Options {
    HostNumber self = kNoHost;
    /// Differs between processes of the same host.
    std::uint16_t incarnation = 0;
    QuotaBounds bounds;
    /// First number of this process's requests. Random, so that an answer to
    /// the previous process of this host is not taken for one to this process.
    std::uint32_t first_request = 0;
    MonotonicTime started_at;
  };

  /// @param sender and observer must outlive this object.
  QuotaEnforcer(const Options& options,
                QuotaSender& sender,
                QuotaObserver& observer);

  void SetAccounts(
      std::span<const std::shared_ptr<const routing::ClientAccount>> accounts,
      MonotonicTime now);
  void SetHosts(QuotaHosts hosts) { hosts_ = std::move(hosts); }
  /// @return whether any account has a quota. Otherwise nothing is sent.
  [[nodiscard]] bool IsActive() const { return !lifetimes_.empty(); }
  /// @brief Asks all hosts that may use this host's share since its previous
  /// process delegated it. Call it once, with a current list of hosts. If all
  /// of them answer, the share is usable before the lease would have ended.
  void ConfirmUnusedShare(MonotonicTime now);
  /// @brief Postpones the use of this host's share until the other hosts count
  /// it.
  void PostponeOwnShare(MonotonicTime until) { lease_.PostponeUntil(until); }

  AdmissionResult Admit(const routing::ClientAccount& account,
                        MonotonicTime now) override;
  AdmissionResult AdmitWaiting(const routing::ClientAccount& account,
                               MonotonicTime now) override;
  Admission EndWait(const routing::ClientAccount& account,
                    MonotonicTime now) override;
  void GiveBack(const routing::ClientAccount& account,
                MonotonicTime token_valid_until,
                MonotonicTime now) override;
  [[nodiscard]] Duration TimeToRetry(const routing::ClientAccount& account,
                                     MonotonicTime now) const override;

  void OnRequest(HostNumber sender,
                 const TokenRequest& request,
                 MonotonicTime now);
  void OnAnswer(HostNumber sender,
                const TokenAnswer& answer,
                MonotonicTime now);
  /// @brief Sends what is due. Call it every `kQuotaTickPeriod`.
  void Advance(MonotonicTime now);

  /// @return the issuer that this host uses; itself included.
  [[nodiscard]] HostNumber Issuer() const { return issuer_; }
  /// @return the part of all quotas for which this host issues tokens.
  [[nodiscard]] double IssuedShare(MonotonicTime now) {
    return own_issuer_.Share(now);
  }

 private:
  struct Account {
    ClientAccountName name;
    HeldTokens held;
  };
  /// A request to an issuer that has not been answered.
  struct PendingRequest {
    HostNumber issuer = kNoHost;
    bool is_transfer = false;
    MonotonicTime sent_at;
    std::vector<TokenCount> wanted;
  };
  struct IssuerContact {
    /// The issuer's clock as of its latest answer.
    std::optional<IssuerTime> time;
    MonotonicTime answered_at{};
    /// Requests without an answer since then, and when the first was sent.
    std::uint32_t unanswered = 0;
    MonotonicTime unanswered_since{};
    MonotonicTime excluded_until{};
  };

  void ChooseIssuer(MonotonicTime now);
  /// @brief Asks the issuer for tokens, and delegates this host's share to it.
  void AskIssuer(MonotonicTime now);
  /// @return the issuer to ask for tokens.
  [[nodiscard]] HostNumber IssuerWithTokens(MonotonicTime now) const;
  /// @brief Takes tokens from the stock of this host.
  void GrantToSelf(AccountNumber number, Account& account, MonotonicTime now);
  void RequestTransfers(MonotonicTime now);
  void SendRequest(HostNumber issuer,
                   bool is_transfer,
                   std::vector<TokenCount> wanted,
                   MonotonicTime now);
  [[nodiscard]] std::optional<Delegation> DelegateTo(HostNumber issuer,
                                                     MonotonicTime now);
  void OnUnusedShare(HostNumber sender, Duration unused, MonotonicTime now);
  void ReceiveTransfer(const PendingRequest& request,
                       const TokenAnswer& answer,
                       MonotonicTime now);
  void ReceiveGrant(const PendingRequest& request,
                    const TokenAnswer& answer,
                    MonotonicTime now);
  void ExpireRequests(MonotonicTime now);
  void Notify(const Account& account);
  [[nodiscard]] bool IsExcluded(HostNumber host, MonotonicTime now) const;
  /// @return the issuers that this one asks for transfers.
  [[nodiscard]] std::vector<HostNumber> OtherIssuers(MonotonicTime now) const;
  [[nodiscard]] HostNumber IssuerOfGroup(std::size_t group,
                                         MonotonicTime now) const;
  [[nodiscard]] bool IsOwnIssuer() const { return issuer_ == options_.self; }
  Account& AccountOf(const routing::ClientAccount& account);
  [[nodiscard]] TokenLifetimes LifetimesOf(AccountNumber account) const;

  Options options_;
  QuotaSender& sender_;
  QuotaObserver& observer_;
  QuotaHosts hosts_;
  ShareLease lease_;
  TokenIssuer own_issuer_;
  HostNumber issuer_ = kNoHost;
  /// The accounts whose requests this host has received.
  std::unordered_map<AccountNumber, Account> accounts_;
  std::unordered_map<AccountNumber, TokenLifetimes> lifetimes_;
  std::map<std::uint32_t, PendingRequest> pending_;
  std::uint32_t last_request_;
  std::map<HostNumber, IssuerContact> contacts_;
  /// By host of another group: the issuer that it named.
  std::map<HostNumber, HostNumber> named_issuers_;
  std::size_t next_group_ = 0;
  /// The hosts that may still use this host's share, until all have answered.
  std::set<HostNumber> unconfirmed_;
  /// When the share was last used at the latest, as far as is known.
  MonotonicTime share_unused_since_;
  /// Whether the time since then has not been credited yet.
  bool is_unused_share_due_ = false;
  MonotonicTime asked_issuer_at_{};
  MonotonicTime asked_others_at_{};
};

/// Interval of `QuotaEnforcer::Advance`. Waiting requests are asked for again
/// at this interval.
inline constexpr Duration kQuotaTickPeriod = std::chrono::milliseconds(50);

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_QUOTA_ENFORCER_H_
