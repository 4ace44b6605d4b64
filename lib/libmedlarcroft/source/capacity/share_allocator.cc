#include "medlarcroft/capacity/share_allocator.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::capacity {

std::uint32_t ShareState::Free() const {
  const std::uint32_t own_taken = own_in_use + lent;
  const std::uint32_t own_free = own > own_taken ? own - own_taken : 0;
  return own_free + borrowed - std::min(borrowed, borrowed_in_use);
}

ShareAllocator::ShareAllocator(ShareAllocatorOptions options,
                               const ports::Clock& clock)
    : options_(std::move(options)), clock_(clock) {}

void ShareAllocator::SetOwn(std::string_view limit_name, std::uint32_t amount) {
  FindOrAddLimit(limit_name).own = amount;
}

std::optional<AcquiredUnit> ShareAllocator::TryAcquire(
    std::string_view limit_name) {
  const MonotonicTime now = clock_.Now();
  Limit& limit = FindOrAddLimit(limit_name);
  AcquiredUnit unit{.limit_name = std::string(limit_name),
                    .deadline = now + options_.rules.max_work};
  // Loans come first, so that own units remain available for lending.
  for (auto& [id, loan] : limit.loans) {
    if (!loan.is_pending && now < loan.valid_until &&
        loan.in_use < loan.amount) {
      ++loan.in_use;
      loan.last_used = now;
      unit.loan = id;
      return unit;
    }
  }
  if (FreeOwnUnits(limit, now) == 0) {
    return std::nullopt;
  }
  ++limit.own_in_use;
  return unit;
}

void ShareAllocator::Release(const AcquiredUnit& unit) {
  Limit& limit = FindOrAddLimit(unit.limit_name);
  if (unit.loan == 0) {
    --limit.own_in_use;
    return;
  }
  const auto found = limit.loans.find(unit.loan);
  if (found == limit.loans.end()) {
    return;
  }
  Loan& loan = found->second;
  --loan.in_use;
  loan.last_used = clock_.Now();
}

ShareGrant ShareAllocator::Lend(const ShareRequest& request) {
  const MonotonicTime now = clock_.Now();
  Limit& limit = FindOrAddLimit(request.limit_name);
  limit.lent.RemoveExpired(now);
  const bool may_renew = !limit.is_recalling && now < own_valid_until_ &&
                         limit.own_in_use + limit.lent.Total() <= limit.own;
  const std::uint32_t free = limit.is_recalling ? 0 : FreeOwnUnits(limit, now);
  return limit.lent.Lend(request, free, may_renew, now);
}

void ShareAllocator::AcceptReturn(const ShareRequest& request) {
  FindOrAddLimit(request.limit_name).lent.AcceptReturn(request, clock_.Now());
}

void ShareAllocator::SetRecall(std::string_view limit_name, bool is_recalling) {
  FindOrAddLimit(limit_name).is_recalling = is_recalling;
}

OutgoingShareRequest ShareAllocator::Borrow(std::string_view limit_name,
                                            std::uint32_t amount,
                                            const HostName& lender) {
  const MonotonicTime now = clock_.Now();
  const std::uint64_t id = ++last_request_id_;
  FindOrAddLimit(limit_name).loans[id] = {
      .lender = lender,
      .valid_until = now + options_.rules.lease,
      .last_used = now};
  return {.lender = lender,
          .request = MakeRequest(limit_name, id, amount),
          .sent_at = now};
}

void ShareAllocator::Apply(const OutgoingShareRequest& outgoing,
                           const ShareGrant& grant) {
  Limit& limit = FindOrAddLimit(outgoing.request.limit_name);
  const auto found = limit.loans.find(outgoing.request.request_id);
  if (found == limit.loans.end() ||
      grant.request_id != outgoing.request.request_id) {
    return;
  }
  Loan& loan = found->second;
  const bool is_older =
      !loan.is_pending && outgoing.sent_at <= loan.applied_sent_at;
  if (is_older) {
    return;
  }
  if (loan.is_pending) {
    loan.last_used = clock_.Now();
  }
  loan.is_pending = false;
  loan.applied_sent_at = outgoing.sent_at;
  if (grant.amount == 0) {
    return;  // The earlier grant stays valid until its own expiry.
  }
  // The lender has reserved this amount since it received the request, which is
  // no earlier than the time it was sent.
  loan.amount = grant.amount;
  loan.valid_until =
      outgoing.sent_at + std::min(grant.lease, options_.rules.lease);
}

std::vector<OutgoingShareRequest> ShareAllocator::Renewals() {
  const MonotonicTime now = clock_.Now();
  std::vector<OutgoingShareRequest> requests;
  for (auto& [name, limit] : limits_) {
    for (const auto& [id, loan] : limit.loans) {
      const bool is_due = loan.valid_until - now < options_.rules.lease / 2;
      const bool is_useful =
          loan.in_use > 0 || now - loan.last_used < options_.return_idle_after;
      if (!loan.is_pending && loan.amount > 0 && now < loan.valid_until &&
          is_due && is_useful) {
        requests.push_back({.lender = loan.lender,
                            .request = MakeRequest(name, id, loan.amount),
                            .sent_at = now});
      }
    }
  }
  return requests;
}

std::vector<OutgoingShareRequest> ShareAllocator::Returns() {
  return ReturnIdleSince(clock_.Now() - options_.return_idle_after);
}

std::vector<OutgoingShareRequest> ShareAllocator::ReturnAllIdle() {
  return ReturnIdleSince(clock_.Now());
}

std::vector<OutgoingShareRequest> ShareAllocator::ReturnIdleSince(
    MonotonicTime time) {
  const MonotonicTime now = clock_.Now();
  std::vector<OutgoingShareRequest> requests;
  for (auto& [name, limit] : limits_) {
    for (auto loan = limit.loans.begin(); loan != limit.loans.end();) {
      const bool is_over = now >= loan->second.valid_until;
      // A loan without an answer may still be granted until its lease is over.
      const bool is_refused =
          !loan->second.is_pending && loan->second.amount == 0;
      const bool is_idle = is_refused || (!loan->second.is_pending &&
                                          loan->second.last_used <= time);
      if (loan->second.in_use > 0 || (!is_over && !is_idle)) {
        ++loan;
        continue;
      }
      // Send the return even without an answer: the grant may have been lost
      // while the lender reserves a unit for it. After a refusal nothing was
      // lent.
      if (!is_refused) {
        requests.push_back(
            {.lender = loan->second.lender,
             .request = MakeRequest(name, loan->first, loan->second.amount),
             .sent_at = now});
      }
      loan = limit.loans.erase(loan);
    }
  }
  return requests;
}

ShareState ShareAllocator::State(std::string_view limit_name) const {
  const auto found = limits_.find(limit_name);
  if (found == limits_.end()) {
    return {};
  }
  const Limit& limit = found->second;
  const MonotonicTime now = clock_.Now();
  ShareState state{.own = now < own_valid_until_ ? limit.own : 0,
                   .own_in_use = limit.own_in_use,
                   .lent = limit.lent.Total()};
  for (const auto& [id, loan] : limit.loans) {
    if (loan.is_pending || now >= loan.valid_until) {
      continue;
    }
    state.borrowed += loan.amount;
    state.borrowed_in_use += loan.in_use;
  }
  return state;
}

ShareAllocator::Limit& ShareAllocator::FindOrAddLimit(
    std::string_view limit_name) {
  const auto found = limits_.find(limit_name);
  if (found != limits_.end()) {
    return found->second;
  }
  return limits_.emplace(std::string(limit_name), Limit(options_.rules))
      .first->second;
}

std::uint32_t ShareAllocator::FreeOwnUnits(Limit& limit,
                                           MonotonicTime now) const {
  limit.lent.RemoveExpired(now);
  const std::uint32_t taken = limit.own_in_use + limit.lent.Total();
  return now < own_valid_until_ && limit.own > taken ? limit.own - taken : 0;
}

ShareRequest ShareAllocator::MakeRequest(std::string_view limit_name,
                                         std::uint64_t loan,
                                         std::uint32_t amount) const {
  return {.borrower = options_.host,
          .incarnation = options_.incarnation,
          .request_id = loan,
          .limit_name = std::string(limit_name),
          .amount = amount};
}

}  // namespace medlarcroft::capacity
