#ifndef MEDLARCROFT_CAPACITY_ISSUED_LOANS_H_
#define MEDLARCROFT_CAPACITY_ISSUED_LOANS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "medlarcroft/capacity/lease_rules.h"
#include "medlarcroft/capacity/share_message.h"

namespace medlarcroft::capacity {

/// @brief What a host has lent of one limit. Each loan is held back until its
/// borrower returned it, or until one lease and the longest work have passed
/// since the last request for it arrived: by then the borrower has stopped
/// using it and what it had dispatched has ended. Requests and returns may be
/// lost, repeated and reordered; a loan that was returned stays on record until
/// then, so that a late duplicate of its request lends nothing.
class LoansOut {
 public:
  explicit LoansOut(const LeaseRules& rules) : rules_(rules) {}

  /// @param free what is neither in use nor lent.
  /// @param may_renew false while the lender wants its share back.
  [[nodiscard]] ShareGrant Lend(const ShareRequest& request,
                                std::uint32_t free,
                                bool may_renew,
                                MonotonicTime now);

  /// @brief The borrower uses nothing of the loan and never will.
  void AcceptReturn(const ShareRequest& request, MonotonicTime now);

  /// @brief Forgets loans whose time is over.
  void DropEnded(MonotonicTime now);

  /// @return the sum that must not be used here.
  [[nodiscard]] std::uint32_t Total() const { return total_; }
  [[nodiscard]] std::size_t Count() const { return loans_.size(); }

 private:
  struct LoanId {
    HostName borrower;
    std::uint64_t incarnation = 0;
    std::uint64_t request_id = 0;
    friend auto operator<=>(const LoanId&, const LoanId&) = default;
  };
  struct Loan {
    std::uint32_t amount = 0;
    MonotonicTime reusable_at;
  };

  [[nodiscard]] static LoanId IdOf(const ShareRequest& request);

  LeaseRules rules_;
  std::map<LoanId, Loan> loans_;
  std::uint32_t total_ = 0;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_ISSUED_LOANS_H_
