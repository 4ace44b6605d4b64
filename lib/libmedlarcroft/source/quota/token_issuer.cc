#include "medlarcroft/quota/token_issuer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>

#include "medlarcroft/quota/share_lease.h"

namespace medlarcroft::quota {

namespace {

// An issuer asks others for what its hosts are expected to need in this time. A
// request to another region takes a good tenth of a second.
constexpr double kForesightSeconds = 0.5;
// Time from the request for a transfer to its answer, across regions.
constexpr double kTransferSeconds = 0.25;
// Requests that the safety stock covers beyond the mean, in standard deviations
// of a random arrival.
constexpr double kSafetyDeviations = 2;

/// @return the tokens that an issuer needs in its stock so that the next
/// requests don't have to wait for a transfer.
double SafetyStock(double demand) {
  const double expected = demand * kTransferSeconds;
  return expected + kSafetyDeviations * std::sqrt(expected);
}

std::uint32_t WholeTokens(double tokens) {
  return tokens <= 0 ? 0 : static_cast<std::uint32_t>(tokens);
}

}  // namespace

void TokenIssuer::SetQuotas(std::span<const AccountQuota> quotas,
                            MonotonicTime now) {
  Advance(now);
  std::unordered_set<AccountNumber> listed;
  for (const AccountQuota& item : quotas) {
    listed.insert(item.account);
    const auto [found, is_new] = limits_.try_emplace(item.account);
    Limit& limit = found->second;
    if (is_new) {
      limit.added_at = share_seconds_;
    } else if (limit.quota == item.quota) {
      continue;
    } else if (const auto stock = stocks_.find(item.account);
               stock != stocks_.end()) {
      Refill(stock->second, limit, now);
    }
    limit.quota = item.quota;
    limit.lifetimes = LifetimesFor(item.quota, bounds_);
  }
  std::erase_if(limits_, [&](const auto& limit) {
    return !listed.contains(limit.first);
  });
  std::erase_if(stocks_, [&](const auto& stock) {
    return !listed.contains(stock.first);
  });
}

void TokenIssuer::SetOwnShare(double share, MonotonicTime now) {
  Advance(now);
  own_share_ = share;
}

void TokenIssuer::OnDelegation(HostNumber host,
                               const Delegation& delegation,
                               MonotonicTime now) {
  Advance(now);
  const MonotonicTime since{
      Duration(static_cast<Duration::rep>(delegation.since.nanoseconds))};
  const MonotonicTime valid_until =
      since + FromSeconds(kUsedLeaseFraction * ToSeconds(kShareLease));
  const bool is_valid = delegation.since.incarnation == incarnation_ &&
                        since <= now && valid_until > now &&
                        delegation.hosts > 0;
  if (!is_valid) {
    return;
  }
  const auto [found, is_new] = delegated_.try_emplace(host);
  DelegatedShare& delegated = found->second;
  delegated.share = 1.0 / delegation.hosts;
  // A repeated message is not new, so its unused time counts once.
  if (is_new) {
    share_seconds_ += delegated.share * ToSeconds(delegation.unused);
  }
  delegated.valid_until = std::max(delegated.valid_until, valid_until);
}

std::uint32_t TokenIssuer::Grant(AccountNumber account,
                                 std::uint32_t wanted,
                                 MonotonicTime now) {
  Stock* const stock = Refill(account, now);
  if (stock == nullptr) {
    return 0;
  }
  const std::uint32_t granted =
      std::min(wanted, WholeTokens(Available(*stock)));
  Spend(*stock, granted);
  stock->granted.Add(now, granted);
  stock->shortage = std::max(stock->shortage, wanted - granted);
  return granted;
}

std::uint32_t TokenIssuer::Transfer(AccountNumber account,
                                    std::uint32_t wanted,
                                    MonotonicTime now) {
  Stock* const stock = Refill(account, now);
  if (stock == nullptr || stock->shortage > 0) {
    return 0;
  }
  // Received tokens are not passed on again: their lifetime would begin anew.
  const double reserve = SafetyStock(stock->granted.PerSecond(now));
  const std::uint32_t granted =
      std::min(wanted, WholeTokens(stock->tokens - reserve));
  stock->tokens -= granted;
  return granted;
}

void TokenIssuer::Receive(AccountNumber account,
                          const TokenBatch& batch,
                          MonotonicTime now) {
  Stock* const stock = Refill(account, now);
  if (stock != nullptr && batch.tokens > 0 && batch.valid_until > now) {
    stock->received.push_back(batch);
  }
}

std::vector<TokenCount> TokenIssuer::TakeShortages(MonotonicTime now) {
  Advance(now);
  std::vector<TokenCount> shortages;
  const double share = CurrentShare();
  for (auto& [account, stock] : stocks_) {
    const Limit& limit = limits_.at(account);
    Refill(stock, limit, now);
    const double rate = limit.quota.requests_per_second;
    const double demand = stock.granted.PerSecond(now);
    const double decline =
        std::max(0.0, demand - rate * share) * kForesightSeconds;
    const double missing =
        stock.shortage + SafetyStock(demand) + decline - Available(stock);
    stock.shortage = 0;
    // More would expire before it is used.
    const double most = rate * ToSeconds(limit.lifetimes.transfer) + 1;
    const double wanted = std::ceil(std::min(missing, most));
    if (wanted >= 1) {
      shortages.push_back(
          {.account = account,
           .tokens = static_cast<std::uint16_t>(std::min<double>(
               wanted, std::numeric_limits<std::uint16_t>::max()))});
    }
  }
  return shortages;
}

void TokenIssuer::AddUnusedOwnShare(double share,
                                    Duration unused,
                                    MonotonicTime now) {
  Advance(now);
  share_seconds_ += share * ToSeconds(unused);
}

Duration TokenIssuer::UnusedShareOf(HostNumber host, MonotonicTime now) const {
  if (const auto delegated = delegated_.find(host);
      delegated != delegated_.end()) {
    return std::max(Duration(0), now - delegated->second.valid_until);
  }
  const auto ended = ended_at_.find(host);
  return now - (ended == ended_at_.end() ? started_at_ : ended->second);
}

double TokenIssuer::Share(MonotonicTime now) {
  Advance(now);
  return CurrentShare();
}

IssuerTime TokenIssuer::TimeAt(MonotonicTime now) const {
  return {.incarnation = incarnation_,
          .nanoseconds =
              static_cast<std::uint64_t>(now.time_since_epoch().count())};
}

void TokenIssuer::Advance(MonotonicTime now) {
  if (now <= advanced_at_) {
    return;
  }
  share_seconds_ += own_share_ * ToSeconds(now - advanced_at_);
  for (const auto& [host, delegated] : delegated_) {
    const MonotonicTime end = std::min(now, delegated.valid_until);
    share_seconds_ += delegated.share * ToSeconds(end - advanced_at_);
    if (end < now) {
      ended_at_[host] = end;
    }
  }
  std::erase_if(delegated_, [now](const auto& delegated) {
    return delegated.second.valid_until <= now;
  });
  advanced_at_ = now;
}

double TokenIssuer::CurrentShare() const {
  double share = own_share_;
  for (const auto& [host, delegated] : delegated_) {
    share += delegated.share;
  }
  return share;
}

TokenIssuer::Stock* TokenIssuer::Refill(AccountNumber account,
                                        MonotonicTime now) {
  const auto limit = limits_.find(account);
  if (limit == limits_.end()) {
    return nullptr;
  }
  Advance(now);
  const auto [found, is_new] = stocks_.try_emplace(account);
  if (is_new) {
    found->second.refilled_at = limit->second.added_at;
  }
  Refill(found->second, limit->second, now);
  return &found->second;
}

void TokenIssuer::Refill(Stock& stock,
                         const Limit& limit,
                         MonotonicTime now) const {
  const double rate = limit.quota.requests_per_second;
  const double most = rate * ToSeconds(limit.lifetimes.stock) * CurrentShare();
  stock.tokens = std::min(
      most, stock.tokens + rate * (share_seconds_ - stock.refilled_at));
  stock.refilled_at = share_seconds_;
  std::erase_if(stock.received, [now](const TokenBatch& batch) {
    return batch.valid_until <= now;
  });
}

double TokenIssuer::Available(const Stock& stock) {
  double tokens = stock.tokens;
  for (const TokenBatch& batch : stock.received) {
    tokens += batch.tokens;
  }
  return tokens;
}

void TokenIssuer::Spend(Stock& stock, std::uint32_t tokens) {
  // Received tokens expire first.
  while (tokens > 0 && !stock.received.empty()) {
    TokenBatch& batch = stock.received.front();
    const std::uint32_t part = std::min(tokens, batch.tokens);
    batch.tokens -= part;
    tokens -= part;
    if (batch.tokens == 0) {
      stock.received.erase(stock.received.begin());
    }
  }
  stock.tokens -= tokens;
}

}  // namespace medlarcroft::quota
