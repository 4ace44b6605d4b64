#include "medlarcroft/quota/quota_enforcer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace medlarcroft::quota {

namespace {

// Interval at which a host renews its delegation and asks for the tokens of its
// busy accounts. A lease survives the loss of three of these requests.
constexpr Duration kExchangePeriod = std::chrono::milliseconds(250);
// Busy accounts ask for the tokens of this time: an interval, and the latency
// of a loaded host.
constexpr Duration kAskAhead = std::chrono::milliseconds(400);
constexpr Duration kTransferPeriod = std::chrono::milliseconds(200);
// Shortest time between two rounds of transfers, when hosts wait for tokens.
constexpr Duration kMinTransferPeriod = std::chrono::milliseconds(20);
// An answer from another region takes a good tenth of a second.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(400);
// An issuer that left this many requests unanswered, for at least this long, is
// replaced. A lost datagram or a short stall must not do so.
constexpr std::uint32_t kMaxUnanswered = 3;
constexpr Duration kMinSilence = std::chrono::milliseconds(400);
constexpr Duration kExclusionTime = std::chrono::seconds(5);
// A promise to an issuer that has not answered for longer than this would only
// keep the share unused.
constexpr Duration kMaxAnswerAge = std::chrono::seconds(1);

}  // namespace

QuotaEnforcer::QuotaEnforcer(const Options& options,
                             QuotaSender& sender,
                             QuotaObserver& observer)
    : options_(options),
      sender_(sender),
      observer_(observer),
      lease_(options.started_at + kShareLease),
      own_issuer_(options.bounds, options.incarnation, options.started_at),
      issuer_(options.self),
      last_request_(options.first_request),
      share_unused_since_(options.started_at) {}

void QuotaEnforcer::ConfirmUnusedShare(MonotonicTime now) {
  unconfirmed_.insert(hosts_.listed_in_group.begin(),
                      hosts_.listed_in_group.end());
  for (const HostNumber host : hosts_.listed_in_group) {
    SendRequest(host, false, {}, now);
  }
}

// All hosts may restart at once. Until the lease of their previous processes
// would have ended, no host would have tokens, although nobody uses any share,
// and callers come back all together.
void QuotaEnforcer::OnUnusedShare(HostNumber sender,
                                  Duration unused,
                                  MonotonicTime now) {
  if (unconfirmed_.erase(sender) == 0) {
    return;
  }
  share_unused_since_ = std::max(share_unused_since_, now - unused);
  if (unused <= Duration(0)) {
    // Still in use: only the end of the lease helps.
    unconfirmed_.clear();
    return;
  }
  if (unconfirmed_.empty()) {
    lease_.OnConfirmedUnused(now);
    is_unused_share_due_ = true;
  }
}

void QuotaEnforcer::SetAccounts(
    std::span<const std::shared_ptr<const routing::ClientAccount>> accounts,
    MonotonicTime now) {
  std::vector<AccountQuota> quotas;
  lifetimes_.clear();
  for (const auto& account : accounts) {
    if (account->quota.IsUnlimited()) {
      continue;
    }
    const AccountNumber number = NumberOf(account->name);
    quotas.push_back({.account = number, .quota = account->quota});
    lifetimes_[number] = LifetimesFor(account->quota, options_.bounds);
  }
  own_issuer_.SetQuotas(quotas, now);
}

AdmissionResult QuotaEnforcer::Admit(const routing::ClientAccount& account,
                                     MonotonicTime now) {
  Account& known = AccountOf(account);
  const AdmissionResult result = known.held.Admit(now);
  if (result.admission != Admission::kWaiting) {
    return result;
  }
  if (IsOwnIssuer()) {
    GrantToSelf(NumberOf(account.name), known, now);
    return known.held.AdmitWaiting(now);
  }
  if (known.held.IsAskDue(now)) {
    AskIssuer(now);
  }
  return result;
}

AdmissionResult QuotaEnforcer::AdmitWaiting(
    const routing::ClientAccount& account,
    MonotonicTime now) {
  return AccountOf(account).held.AdmitWaiting(now);
}

Admission QuotaEnforcer::EndWait(const routing::ClientAccount& account,
                                 MonotonicTime now) {
  AccountOf(account).held.OnWaitedInVain(now);
  const auto contact = contacts_.find(issuer_);
  const bool is_informed =
      IsOwnIssuer() ? lease_.IsUsable(now)
                    : contact != contacts_.end() && contact->second.time &&
                          now - contact->second.answered_at < kMaxAnswerAge;
  return is_informed ? Admission::kExhausted : Admission::kUnknown;
}

void QuotaEnforcer::GiveBack(const routing::ClientAccount& account,
                             MonotonicTime token_valid_until,
                             MonotonicTime now) {
  if (token_valid_until <= now) {
    return;
  }
  Account& known = AccountOf(account);
  known.held.GiveBack(token_valid_until);
  Notify(known);
}

Duration QuotaEnforcer::TimeToRetry(const routing::ClientAccount& account,
                                    MonotonicTime now) const {
  const auto found = accounts_.find(NumberOf(account.name));
  return found == accounts_.end() ? Duration(0)
                                  : found->second.held.TimeToToken(now);
}

void QuotaEnforcer::OnRequest(HostNumber sender,
                              const TokenRequest& request,
                              MonotonicTime now) {
  if (request.delegation) {
    own_issuer_.OnDelegation(sender, *request.delegation, now);
  }
  TokenAnswer answer{.number = request.number,
                     .time = own_issuer_.TimeAt(now),
                     .issuer = IsOwnIssuer() ? kNoHost : issuer_,
                     .unused = own_issuer_.UnusedShareOf(sender, now)};
  bool is_short = false;
  for (const TokenCount& wanted : request.wanted) {
    const std::uint32_t granted =
        request.is_transfer
            ? own_issuer_.Transfer(wanted.account, wanted.tokens, now)
            : own_issuer_.Grant(wanted.account, wanted.tokens, now);
    if (granted > 0) {
      answer.granted.push_back({.account = wanted.account,
                                .tokens = static_cast<std::uint16_t>(granted)});
    }
    is_short = is_short || (!request.is_transfer && granted < wanted.tokens);
  }
  sender_.Send(sender, answer);
  if (is_short && now - asked_others_at_ >= kMinTransferPeriod) {
    RequestTransfers(now);
  }
}

void QuotaEnforcer::OnAnswer(HostNumber sender,
                             const TokenAnswer& answer,
                             MonotonicTime now) {
  const auto found = pending_.find(answer.number);
  if (found == pending_.end() || found->second.issuer != sender) {
    return;
  }
  const PendingRequest request = std::move(found->second);
  pending_.erase(found);
  IssuerContact& contact = contacts_[sender];
  contact.time = answer.time;
  contact.answered_at = now;
  contact.unanswered = 0;
  contact.excluded_until = {};
  OnUnusedShare(sender, answer.unused, now);
  if (request.is_transfer) {
    named_issuers_[sender] = answer.issuer;
    ReceiveTransfer(request, answer, now);
  } else {
    ReceiveGrant(request, answer, now);
  }
}

void QuotaEnforcer::ReceiveTransfer(const PendingRequest& request,
                                    const TokenAnswer& answer,
                                    MonotonicTime now) {
  for (const TokenCount& wanted : request.wanted) {
    const auto granted =
        std::ranges::find(answer.granted, wanted.account, &TokenCount::account);
    if (granted == answer.granted.end()) {
      continue;
    }
    // Counts from the sending of the request, which was before the grant.
    own_issuer_.Receive(
        wanted.account,
        {.tokens = granted->tokens,
         .valid_until = request.sent_at + LifetimesOf(wanted.account).transfer},
        now);
  }
  if (!IsOwnIssuer()) {
    return;
  }
  for (const TokenCount& wanted : request.wanted) {
    const auto account = accounts_.find(wanted.account);
    if (account != accounts_.end() && account->second.held.Waiting() > 0) {
      GrantToSelf(wanted.account, account->second, now);
      Notify(account->second);
    }
  }
}

void QuotaEnforcer::ReceiveGrant(const PendingRequest& request,
                                 const TokenAnswer& answer,
                                 MonotonicTime now) {
  for (const TokenCount& granted : answer.granted) {
    const auto account = accounts_.find(granted.account);
    if (account != accounts_.end()) {
      account->second.held.Add(
          {.tokens = granted.tokens,
           .valid_until = request.sent_at + LifetimesOf(granted.account).held},
          now);
      Notify(account->second);
    }
  }
}

void QuotaEnforcer::Advance(MonotonicTime now) {
  if (!IsActive() || hosts_.listed == 0) {
    return;
  }
  ExpireRequests(now);
  ChooseIssuer(now);
  const bool uses_own_share = IsOwnIssuer() && lease_.IsUsable(now);
  const double share = 1.0 / hosts_.listed;
  own_issuer_.SetOwnShare(uses_own_share ? share : 0, now);
  if (uses_own_share && std::exchange(is_unused_share_due_, false)) {
    own_issuer_.AddUnusedOwnShare(share, now - share_unused_since_, now);
  }

  bool is_ask_due = now - asked_issuer_at_ >= kExchangePeriod;
  // Those that are notified may add accounts, so this happens after the loop.
  std::vector<AccountNumber> granted;
  for (auto& [number, account] : accounts_) {
    if (IsOwnIssuer() && account.held.Waiting() > 0) {
      GrantToSelf(number, account, now);
      granted.push_back(number);
    }
    is_ask_due = is_ask_due || account.held.IsAskDue(now);
  }
  for (const AccountNumber number : granted) {
    Notify(accounts_.at(number));
  }
  if (!IsOwnIssuer() && is_ask_due) {
    AskIssuer(now);
  }
  if (now - asked_others_at_ >= kTransferPeriod) {
    RequestTransfers(now);
  }
  std::erase_if(accounts_, [now](const auto& account) {
    return account.second.held.IsIdle(now);
  });
}

void QuotaEnforcer::ChooseIssuer(MonotonicTime now) {
  const auto chosen =
      std::ranges::find_if(hosts_.own_group, [&](HostNumber host) {
        return host == options_.self || !IsExcluded(host, now);
      });
  const HostNumber issuer =
      chosen == hosts_.own_group.end() ? options_.self : *chosen;
  if (issuer != issuer_) {
    const bool was_silent = IsExcluded(issuer_, now);
    issuer_ = issuer;
    observer_.OnIssuerChanged(IsOwnIssuer() ? kNoHost : issuer, was_silent);
  }
}

void QuotaEnforcer::AskIssuer(MonotonicTime now) {
  asked_issuer_at_ = now;
  std::vector<TokenCount> wanted;
  for (auto& [number, account] : accounts_) {
    const Duration ahead = std::min(kAskAhead, LifetimesOf(number).held);
    const std::uint32_t missing = account.held.Missing(ahead, now);
    if (missing > 0 && wanted.size() < kMaxAccountsPerMessage) {
      account.held.OnAsked(now);
      wanted.push_back(
          {.account = number,
           .tokens = static_cast<std::uint16_t>(std::min<std::uint32_t>(
               missing, std::numeric_limits<std::uint16_t>::max()))});
    }
  }
  const HostNumber asked = IssuerWithTokens(now);
  if (asked != issuer_) {
    // The share can be delegated to an issuer only after its first answer.
    SendRequest(issuer_, false, {}, now);
  }
  SendRequest(asked, false, std::move(wanted), now);
}

// When another host becomes the issuer, it has no tokens until the shares of
// the hosts come to it. Until then the previous issuer still has those of this
// host.
HostNumber QuotaEnforcer::IssuerWithTokens(MonotonicTime now) const {
  const HostNumber previous = lease_.DelegatedTo(now);
  const bool is_usable =
      previous != kNoHost && !IsExcluded(previous, now) &&
      std::ranges::find(hosts_.own_group, previous) != hosts_.own_group.end();
  return is_usable ? previous : issuer_;
}

void QuotaEnforcer::GrantToSelf(AccountNumber number,
                                Account& account,
                                MonotonicTime now) {
  const std::uint32_t wanted = account.held.Waiting();
  const std::uint32_t granted = own_issuer_.Grant(number, wanted, now);
  account.held.Add(
      {.tokens = granted, .valid_until = now + LifetimesOf(number).held}, now);
  if (granted < wanted && now - asked_others_at_ >= kMinTransferPeriod) {
    RequestTransfers(now);
  }
}

void QuotaEnforcer::RequestTransfers(MonotonicTime now) {
  asked_others_at_ = now;
  const std::vector<HostNumber> issuers = OtherIssuers(now);
  const std::size_t groups = issuers.size();
  const std::vector<TokenCount> shortages = own_issuer_.TakeShortages(now);
  if (shortages.empty() || groups == 0) {
    return;
  }
  std::vector<std::vector<TokenCount>> wanted(groups);
  for (const TokenCount& shortage : shortages) {
    const std::size_t asked = std::min<std::size_t>(
        groups, std::max<std::uint32_t>(shortage.tokens, 1));
    const std::size_t each = (shortage.tokens + asked - 1) / asked;
    for (std::size_t i = 0; i < asked; ++i) {
      auto& of_group = wanted[(next_group_ + i) % groups];
      if (of_group.size() < kMaxAccountsPerMessage) {
        of_group.push_back({.account = shortage.account,
                            .tokens = static_cast<std::uint16_t>(each)});
      }
    }
  }
  ++next_group_;
  for (std::size_t group = 0; group < groups; ++group) {
    if (!wanted[group].empty()) {
      SendRequest(issuers[group], true, std::move(wanted[group]), now);
    }
  }
}

std::vector<HostNumber> QuotaEnforcer::OtherIssuers(MonotonicTime now) const {
  std::vector<HostNumber> issuers;
  // The group may have two issuers for a while, as after a disconnection.
  // Asking the preferred one also shows when it is back.
  if (!hosts_.own_group.empty() && hosts_.own_group[0] != options_.self) {
    issuers.push_back(hosts_.own_group[0]);
  }
  for (std::size_t group = 0; group < hosts_.other_groups.size(); ++group) {
    const HostNumber issuer = IssuerOfGroup(group, now);
    if (issuer != kNoHost) {
      issuers.push_back(issuer);
    }
  }
  return issuers;
}

void QuotaEnforcer::SendRequest(HostNumber issuer,
                                bool is_transfer,
                                std::vector<TokenCount> wanted,
                                MonotonicTime now) {
  IssuerContact& contact = contacts_[issuer];
  if (contact.unanswered == 0 ||
      now - contact.unanswered_since > kMaxAnswerAge) {
    contact.unanswered = 0;
    contact.unanswered_since = now;
  }
  ++contact.unanswered;
  TokenRequest request{
      .number = ++last_request_, .is_transfer = is_transfer, .wanted = wanted};
  if (issuer == issuer_ && !is_transfer) {
    request.delegation = DelegateTo(issuer, now);
  }
  pending_[request.number] = {.issuer = issuer,
                              .is_transfer = is_transfer,
                              .sent_at = now,
                              .wanted = std::move(wanted)};
  sender_.Send(issuer, request);
}

std::optional<Delegation> QuotaEnforcer::DelegateTo(HostNumber issuer,
                                                    MonotonicTime now) {
  const IssuerContact& contact = contacts_[issuer];
  const bool may_delegate = contact.time && hosts_.listed > 0 &&
                            now - contact.answered_at < kMaxAnswerAge &&
                            lease_.MayDelegate(issuer, now);
  if (!may_delegate) {
    return std::nullopt;
  }
  own_issuer_.SetOwnShare(0, now);
  lease_.Delegate(issuer, now);
  Delegation delegation{.since = *contact.time, .hosts = hosts_.listed};
  if (std::exchange(is_unused_share_due_, false)) {
    delegation.unused = now - share_unused_since_;
  }
  return delegation;
}

void QuotaEnforcer::ExpireRequests(MonotonicTime now) {
  std::erase_if(pending_, [now](const auto& request) {
    return now - request.second.sent_at >= kAnswerTimeout;
  });
  for (auto& [host, contact] : contacts_) {
    if (contact.unanswered >= kMaxUnanswered &&
        now - contact.unanswered_since >= kMinSilence) {
      contact.excluded_until = now + kExclusionTime;
      contact.unanswered = 0;
      named_issuers_.erase(host);
    }
  }
}

void QuotaEnforcer::Notify(const Account& account) {
  if (account.held.Waiting() > 0) {
    observer_.OnTokens(account.name);
  }
}

bool QuotaEnforcer::IsExcluded(HostNumber host, MonotonicTime now) const {
  const auto found = contacts_.find(host);
  return found != contacts_.end() && now < found->second.excluded_until;
}

HostNumber QuotaEnforcer::IssuerOfGroup(std::size_t group,
                                        MonotonicTime now) const {
  for (const HostNumber host : hosts_.other_groups[group]) {
    if (IsExcluded(host, now)) {
      continue;
    }
    const auto named = named_issuers_.find(host);
    const bool is_redirected = named != named_issuers_.end() &&
                               named->second != kNoHost &&
                               !IsExcluded(named->second, now);
    return is_redirected ? named->second : host;
  }
  return kNoHost;
}

QuotaEnforcer::Account& QuotaEnforcer::AccountOf(
    const routing::ClientAccount& account) {
  Account& known = accounts_[NumberOf(account.name)];
  if (known.name.IsEmpty()) {
    known.name = account.name;
  }
  return known;
}

TokenLifetimes QuotaEnforcer::LifetimesOf(AccountNumber account) const {
  const auto found = lifetimes_.find(account);
  return found == lifetimes_.end() ? TokenLifetimes{} : found->second;
}

}  // namespace medlarcroft::quota
