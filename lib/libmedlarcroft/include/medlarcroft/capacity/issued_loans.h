#ifndef MEDLARCROFT_CAPACITY_ISSUED_LOANS_H_
#define MEDLARCROFT_CAPACITY_ISSUED_LOANS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "medlarcroft/capacity/lease_rules.h"
#include "medlarcroft/capacity/share_message.h"

namespace medlarcroft::capacity {

/// @brief Loans that this host has granted from one limit. A loan's units stay
/// reserved until the borrower returns them, or until one lease plus the
/// maximum work time has passed since its last request arrived: by then the
/// borrower no longer starts work on the loan, and the work it had dispatched
/// has ended. Requests and returns may be lost, repeated and reordered. A
/// returned loan stays on record until the same time, so that a late duplicate
/// of its request is granted nothing.
class IssuedLoans {
 public:
  explicit IssuedLoans(const LeaseRules& rules) : rules_(rules) {}

  /// @param free units neither in use nor lent.
  /// @param may_renew false while the lender recalls its share.
  [[nodiscard]] ShareGrant Lend(const ShareRequest& request,
                                std::uint32_t free,
                                bool may_renew,
                                MonotonicTime now);

  /// @brief Records a return: the borrower does not use the loan and never
  /// will.
  void AcceptReturn(const ShareRequest& request, MonotonicTime now);

  /// @brief Removes loans whose units are reusable again.
  void RemoveExpired(MonotonicTime now);

  /// @return units on loan, which must not be used by this host.
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

  [[nodiscard]] static LoanId MakeLoanId(const ShareRequest& request);

  LeaseRules rules_;
  std::map<LoanId, Loan> loans_;
  std::uint32_t total_ = 0;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_ISSUED_LOANS_H_
