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
  /// A loan that served nothing for so long goes back. Longer keeps units from
  /// whoever needs them next; shorter asks for each request anew.
  Duration return_idle_after = std::chrono::milliseconds(100);
};

/// @brief One unit in use; given back by `Release`.
struct AcquiredUnit {
  std::string limit_name;
  std::uint64_t loan = 0;  ///< 0: the own share.
  /// The work must be cancelled then, since others count on its end.
  MonotonicTime finish_by;
};

/// @brief A request on its way to `lender`. The answer is applied together with
/// it, since the lease counts from `sent_at`.
struct OutgoingShareRequest {
  HostName lender;
  ShareRequest request;
  MonotonicTime sent_at;
};

/// @brief What a limit looks like from here.
struct ShareState {
  std::uint32_t own = 0;
  std::uint32_t own_in_use = 0;
  std::uint32_t lent = 0;
  std::uint32_t borrowed = 0;  ///< On loans that let work start now.
  std::uint32_t borrowed_in_use = 0;

  /// @return units that may start work now.
  [[nodiscard]] std::uint32_t Free() const;
};

/// @brief This host's part of each limit: own, lent and borrowed. Made for
/// targets of 3 to 8 slots that several hosts use: an overload would make the
/// target late for all of them. The sum over all hosts of what is in use never
/// passes the limit, whatever is lost, repeated or paused: a unit is used
/// either by the seat's holder or by the one borrower it is lent to; a borrower
/// starts no work after its lease, and a lender reuses a unit only when it was
/// returned or when lease and longest work are over. Only own shares are lent,
/// so that there are no chains of leases. Not safe to share between threads.
class ShareAllocator {
 public:
  ShareAllocator(ShareAllocatorOptions options, const ports::Clock& clock);

  /// @brief The seat's part of a limit, 0 when no seat is held. Lowering it
  /// cuts no work in flight.
  void SetOwn(std::string_view limit_name, std::uint32_t amount);

  /// @brief Own shares start no work from `time` on (`SeatHolder::ValidUntil`).
  void SetOwnValidUntil(MonotonicTime time) { own_valid_until_ = time; }

  /// @brief Called at the moment of dispatch, so that a host that was paused
  /// since it planned the dispatch does not use what has lapsed.
  [[nodiscard]] std::optional<AcquiredUnit> TryAcquire(
      std::string_view limit_name);
  void Release(const AcquiredUnit& use);

  [[nodiscard]] ShareGrant Lend(const ShareRequest& request);
  void AcceptReturn(const ShareRequest& request);
  /// @brief While true, loans of that limit are not renewed.
  void WantBack(std::string_view limit_name, bool is_wanted);

  /// @brief Begins a loan. `lender` must hold a seat with a share of the limit.
  [[nodiscard]] OutgoingShareRequest Borrow(std::string_view limit_name,
                                            std::uint32_t amount,
                                            const HostName& lender);
  /// @brief Applies an answer; late, repeated and unasked ones do nothing.
  void Apply(const OutgoingShareRequest& ask, const ShareGrant& grant);
  /// @return renewals of the loans that have less than half a lease left and
  /// are in use or were lately.
  [[nodiscard]] std::vector<OutgoingShareRequest> Renewals();
  /// @return returns of the loans that served no work for `return_idle_after`
  /// or have lapsed; they are unusable from now on.
  [[nodiscard]] std::vector<OutgoingShareRequest> Returns();
  /// @brief Gives all idle loans back, as when leaving.
  [[nodiscard]] std::vector<OutgoingShareRequest> ReturnAllIdle();

  [[nodiscard]] ShareState State(std::string_view limit_name) const;

 private:
  struct Loan {
    HostName lender;
    std::uint32_t amount = 0;
    std::uint32_t in_use = 0;
    MonotonicTime until;     ///< No work starts from then on.
    MonotonicTime asked_at;  ///< `sent_at` of the newest answer applied.
    MonotonicTime last_used;
    bool is_pending = true;  ///< No answer yet.
  };
  struct Limit {
    explicit Limit(const LeaseRules& rules) : lent(rules) {}
    std::uint32_t own = 0;
    std::uint32_t own_in_use = 0;
    bool is_wanted_back = false;
    LoansOut lent;
    std::map<std::uint64_t, Loan> loans;
  };
  using Limits = std::map<std::string, Limit, std::less<>>;

  [[nodiscard]] Limit& LimitOf(std::string_view limit_name);
  [[nodiscard]] std::uint32_t OwnFree(Limit& limit, MonotonicTime now) const;
  [[nodiscard]] ShareRequest RequestFor(std::string_view limit_name,
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
