#include "medlarcroft/capacity/issued_loans.h"

#include <algorithm>

namespace medlarcroft::capacity {

namespace {

/// Maximum records per limit; a borrower that keeps sending requests is granted
/// nothing more.
constexpr std::size_t kMaxRecords = 256;

}  // namespace

ShareGrant IssuedLoans::Lend(const ShareRequest& request,
                             std::uint32_t free,
                             bool may_renew,
                             MonotonicTime now) {
  RemoveExpired(now);
  const ShareGrant refusal{.request_id = request.request_id};
  const auto found = loans_.find(MakeLoanId(request));
  if (found != loans_.end()) {
    Loan& loan = found->second;
    if (loan.amount == 0 || !may_renew) {
      return refusal;
    }
    loan.reusable_at = now + rules_.ReuseDelay();
    return {.request_id = request.request_id,
            .amount = loan.amount,
            .lease = rules_.lease};
  }
  const std::uint32_t amount = std::min(request.amount, free);
  if (amount == 0 || loans_.size() >= kMaxRecords) {
    return refusal;
  }
  loans_[MakeLoanId(request)] = {.amount = amount,
                                 .reusable_at = now + rules_.ReuseDelay()};
  total_ += amount;
  return {.request_id = request.request_id,
          .amount = amount,
          .lease = rules_.lease};
}

void IssuedLoans::AcceptReturn(const ShareRequest& request, MonotonicTime now) {
  RemoveExpired(now);
  const auto found = loans_.find(MakeLoanId(request));
  if (found != loans_.end()) {
    total_ -= found->second.amount;
    found->second.amount = 0;
    return;
  }
  if (loans_.size() < kMaxRecords) {
    loans_[MakeLoanId(request)] = {.reusable_at = now + rules_.ReuseDelay()};
  }
}

void IssuedLoans::RemoveExpired(MonotonicTime now) {
  for (auto loan = loans_.begin(); loan != loans_.end();) {
    if (loan->second.reusable_at > now) {
      ++loan;
      continue;
    }
    total_ -= loan->second.amount;
    loan = loans_.erase(loan);
  }
}

IssuedLoans::LoanId IssuedLoans::MakeLoanId(const ShareRequest& request) {
  return {.borrower = request.borrower,
          .incarnation = request.incarnation,
          .request_id = request.request_id};
}

}  // namespace medlarcroft::capacity
