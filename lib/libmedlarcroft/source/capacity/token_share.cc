#include "medlarcroft/capacity/token_share.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::capacity {

namespace {

/// Number of token lifetimes for which a request is remembered. A later
/// duplicate is answered anew, but its borrower no longer accepts the tokens.
constexpr int kRememberedLifetimes = 10;
constexpr std::size_t kMaxRemembered = 1024;

}  // namespace

TokenShare::TokenShare(TokenShareOptions options, MonotonicTime now)
    : options_(options), refilled_at_(now) {}

void TokenShare::SetRate(double rate, double burst, MonotonicTime now) {
  Refill(now);
  options_.rate = rate;
  options_.burst = burst;
  tokens_ = std::min(tokens_, burst);
}

bool TokenShare::TryTake(std::uint32_t tokens, MonotonicTime now) {
  if (Available(now) < tokens) {
    return false;
  }
  std::uint32_t missing = tokens;
  for (auto& [id, loan] : borrowed_) {
    const std::uint32_t part = std::min(missing, loan.amount);
    loan.amount -= part;
    missing -= part;
  }
  tokens_ -= missing;
  return true;
}

ShareGrant TokenShare::Lend(const ShareRequest& request, MonotonicTime now) {
  Refill(now);
  RemoveExpired(now);
  const RequestKey key{request.borrower,
                       {request.incarnation, request.request_id}};
  const auto found = grants_.find(key);
  if (found != grants_.end()) {
    return {.request_id = request.request_id,
            .amount = found->second.amount,
            .lease = options_.token_lifetime};
  }
  if (now >= valid_until_ || grants_.size() >= kMaxRemembered) {
    return {.request_id = request.request_id};
  }
  const auto whole = static_cast<std::uint32_t>(std::floor(tokens_));
  const std::uint32_t amount = std::min(request.amount, whole);
  tokens_ -= amount;
  grants_[key] = {
      .amount = amount,
      .remove_at = now + (options_.token_lifetime * kRememberedLifetimes)};
  return {.request_id = request.request_id,
          .amount = amount,
          .lease = options_.token_lifetime};
}

void TokenShare::Receive(const ShareGrant& grant,
                         MonotonicTime sent_at,
                         MonotonicTime now) {
  RemoveExpired(now);
  const Duration lifetime = std::min(grant.lease, options_.token_lifetime);
  if (grant.amount == 0 || now >= sent_at + lifetime) {
    return;
  }
  // Keep spent loans until they expire, so that a repeated answer is
  // recognised.
  borrowed_.try_emplace(
      grant.request_id,
      Borrowed{.amount = grant.amount, .valid_until = sent_at + lifetime});
}

double TokenShare::Available(MonotonicTime now) {
  Refill(now);
  RemoveExpired(now);
  double available = now < valid_until_ ? tokens_ : 0.0;
  for (const auto& [id, loan] : borrowed_) {
    available += loan.amount;
  }
  return available;
}

void TokenShare::Refill(MonotonicTime now) {
  // Tokens are earned only while the seat is valid: during a pause another host
  // may have held the seat, so that time must not be credited.
  const MonotonicTime end = std::min(now, valid_until_);
  if (end > refilled_at_) {
    tokens_ += ToSeconds(end - refilled_at_) * options_.rate;
    tokens_ = std::min(tokens_, options_.burst);
  }
  refilled_at_ = std::max(refilled_at_, now);
}

void TokenShare::RemoveExpired(MonotonicTime now) {
  std::erase_if(grants_, [now](const auto& entry) {
    return entry.second.remove_at <= now;
  });
  std::erase_if(borrowed_, [now](const auto& loan) {
    return loan.second.valid_until <= now;
  });
}

}  // namespace medlarcroft::capacity
