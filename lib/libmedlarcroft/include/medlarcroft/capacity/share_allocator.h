#ifndef MEDLARCROFT_CAPACITY_SHARE_ALLOCATOR_H_
#define MEDLARCROFT_CAPACITY_SHARE_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/capacity/issued_loans.h"
#include "medlarcroft/capacity/lease_rules.h"
#include "medlarcroft/capacity/share_message.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::capacity {

struct ShareAllocatorOptions {
  HostName host;
  std::uint64_t incarnation = 0;
  LeaseRules rules;
  /// A loan that served no work for this long is returned. A longer time keeps
  /// units from other hosts that need them; a shorter one requests a loan for
  /// each unit of work.
  Duration return_idle_after = std::chrono::milliseconds(100);
};

/// @brief One unit in use; given back by `Release`.
struct AcquiredUnit {
  std::string limit_name;
  std::uint64_t loan = 0;  ///< 0: a unit of the host's own share.
  /// The work must be cancelled at this time, because other hosts rely on its
  /// end.
  MonotonicTime deadline;
};

/// @brief A request sent to `lender`. Its answer is applied together with it,
/// because the lease counts from `sent_at`.
struct OutgoingShareRequest {
  HostName lender;
  ShareRequest request;
  MonotonicTime sent_at;
};

/// @brief State of one limit on this host, in units.
struct ShareState {
  std::uint32_t own = 0;
  std::uint32_t own_in_use = 0;
  std::uint32_t lent = 0;
  std::uint32_t borrowed = 0;  ///< Units of loans on which work may start now.
  std::uint32_t borrowed_in_use = 0;

  /// @return units on which work may start now.
  [[nodiscard]] std::uint32_t Free() const;
};

/// @brief This host's share of each limit: own, lent and borrowed units.
/// Intended for targets of 3 to 8 slots that several hosts use, where an
/// overload would delay the target's responses to all of them.
/// The sum of units in use over all hosts never exceeds the limit, even if
/// messages are lost or repeated or processes are paused. A unit is used either
/// by the seat's holder or by the one borrower of a loan. A borrower starts no
/// work after its lease, and a lender reuses a unit only when it was returned
/// or when lease and maximum work time are over. Only own shares are lent, so
/// there are no chains of leases.
/// Not thread-safe.
class ShareAllocator {
 public:
  ShareAllocator(ShareAllocatorOptions options, const ports::Clock& clock);

  /// @brief Sets the seat's share of a limit, 0 when no seat is held. Lowering
  /// it does not cancel work in flight.
  void SetOwn(std::string_view limit_name, std::uint32_t amount);

  /// @brief No work starts on own shares from `time` on
  /// (`SeatHolder::ValidUntil`).
  void SetOwnValidUntil(MonotonicTime time) { own_valid_until_ = time; }

  /// @brief Acquires a unit. Call it at the moment of dispatch, so that a host
  /// that was paused after planning the dispatch does not use an expired share.
  [[nodiscard]] std::optional<AcquiredUnit> TryAcquire(
      std::string_view limit_name);
  void Release(const AcquiredUnit& unit);

  [[nodiscard]] ShareGrant Lend(const ShareRequest& request);
  void AcceptReturn(const ShareRequest& request);
  /// @brief While true, loans of the limit are neither granted nor renewed.
  void SetRecall(std::string_view limit_name, bool is_recalling);

  /// @brief Begins a loan. `lender` must hold a seat with a share of the limit.
  [[nodiscard]] OutgoingShareRequest Borrow(std::string_view limit_name,
                                            std::uint32_t amount,
                                            const HostName& lender);
  /// @brief Applies an answer; late, repeated and unsolicited ones have no
  /// effect.
  void Apply(const OutgoingShareRequest& outgoing, const ShareGrant& grant);
  /// @return renewals of the loans that have less than half a lease left and
  /// are in use or were used recently.
  [[nodiscard]] std::vector<OutgoingShareRequest> Renewals();
  /// @return returns of the loans that served no work for `return_idle_after`
  /// or have expired; they are unusable from now on.
  [[nodiscard]] std::vector<OutgoingShareRequest> Returns();
  /// @brief Returns all idle loans, as on shutdown.
  [[nodiscard]] std::vector<OutgoingShareRequest> ReturnAllIdle();

  [[nodiscard]] ShareState State(std::string_view limit_name) const;

 private:
  struct Loan {
    HostName lender;
    std::uint32_t amount = 0;
    std::uint32_t in_use = 0;
    MonotonicTime valid_until;  ///< No work starts from this time on.
    /// `sent_at` of the newest request whose answer was applied.
    MonotonicTime applied_sent_at;
    MonotonicTime last_used;
    bool is_pending = true;  ///< No answer was received yet.
  };
  struct Limit {
    explicit Limit(const LeaseRules& rules) : lent(rules) {}
    std::uint32_t own = 0;
    std::uint32_t own_in_use = 0;
    bool is_recalling = false;
    IssuedLoans lent;
    std::map<std::uint64_t, Loan> loans;
  };
  using Limits = std::map<std::string, Limit, std::less<>>;

  [[nodiscard]] Limit& FindOrAddLimit(std::string_view limit_name);
  [[nodiscard]] std::uint32_t FreeOwnUnits(Limit& limit,
                                           MonotonicTime now) const;
  [[nodiscard]] ShareRequest MakeRequest(std::string_view limit_name,
                                         std::uint64_t loan,
                                         std::uint32_t amount) const;
  [[nodiscard]] std::vector<OutgoingShareRequest> ReturnIdleSince(
      MonotonicTime time);

  ShareAllocatorOptions options_;
  const ports::Clock& clock_;
  Limits limits_;
  MonotonicTime own_valid_until_{MonotonicTime::min()};
  std::uint64_t last_request_id_ = 0;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SHARE_ALLOCATOR_H_
