#ifndef MEDLARCROFT_CAPACITY_CAPACITY_MANAGER_H_
#define MEDLARCROFT_CAPACITY_CAPACITY_MANAGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "medlarcroft/capacity/capacity_plan.h"
#include "medlarcroft/capacity/seat_holder.h"
#include "medlarcroft/capacity/share_allocator.h"
#include "medlarcroft/capacity/split_transition.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/slot_source.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::capacity {

/// @brief Slots of one target that this host may use now.
struct UsableSlots {
  std::uint32_t own = 0;
  std::uint32_t borrowed = 0;
  std::uint32_t lent = 0;

  [[nodiscard]] std::uint32_t Total() const { return own - lent + borrowed; }
};

/// @brief State of one seat, for status reports to operators.
struct SeatStatus {
  FailureDomainName failure_domain;
  SeatState state = SeatState::kNone;
  std::optional<std::uint32_t> seat;
};

/// @brief Manages one host's capacity: its seats and its share of every
/// target's slots.
///
/// A seat is a numbered share of a failure domain's capacity that one process
/// holds exclusively. The manager lives in the process that dispatches
/// requests, so that a slot is acquired, lent and released in one place, and a
/// restart of the control daemon costs no capacity. Thread-safe; only
/// `StepSeats` blocks.
class CapacityManager final : public ports::SlotSource {
 public:
  struct Options {
    HostName host;
    std::uint64_t incarnation = 0;
    LeaseRules rules;
    /// Units requested per loan when a target's share is exhausted.
    std::uint32_t borrow_amount = 1;
  };

  CapacityManager(const Options& options,
                  ports::TableStore& store,
                  const ports::Clock& clock);

  /// @brief Applies the capacity plan of a routing snapshot.
  void ApplyPlan(CapacityPlan plan);

  /// @brief Records that this process is running. Call it several times per
  /// lease.
  void RecordHeartbeat();

  /// @brief Runs one update round for each seat. Blocks on the table store, so
  /// it runs on its own thread, about once a second.
  void StepSeats(bool are_targets_reachable);

  /// @return hosts to call before the next `StepSeats`.
  [[nodiscard]] std::set<HostName> HostsToProbe() const;

  /// @brief Releases all seats and stops using them; the last step of a
  /// shutdown.
  void ReleaseSeats();

  // ports::SlotSource
  [[nodiscard]] bool TryTake(const TargetName& target) override;
  void Release(const TargetName& target) override;

  [[nodiscard]] UsableSlots UsableSlotsOf(const TargetName& target) const;

  /// @return seat number by failure domain, for seats that are held or being
  /// waited for.
  [[nodiscard]] std::map<FailureDomainName, std::uint32_t> Seats() const;
  [[nodiscard]] std::vector<SeatStatus> Status() const;
  /// @return whether any seat may be used now.
  [[nodiscard]] bool HasSeat() const;
  /// @return whether a seat is held whose share of a limit may not be used yet,
  /// because other holders still use an older split.
  [[nodiscard]] bool IsWaitingForSplit() const;
  /// @return this host's share of `rate` for `domain`; 0 without a valid seat
  /// there.
  [[nodiscard]] double OwnRateShare(const FailureDomainName& domain,
                                    double rate) const;

  [[nodiscard]] ShareGrant Lend(const ShareRequest& request);
  void AcceptReturn(const ShareRequest& request);

  /// @brief Messages to send to lenders now.
  struct DueRequests {
    std::vector<OutgoingShareRequest> requests;
    std::vector<OutgoingShareRequest> returns;
  };
  /// @param saturated targets whose slots are all in use while requests wait.
  /// @return renewals and requests for new loans, in sending order, and
  /// returns.
  [[nodiscard]] DueRequests CollectDueRequests(
      const std::vector<TargetName>& saturated);
  void Apply(const OutgoingShareRequest& outgoing, const ShareGrant& grant);

 private:
  struct Limit {
    SlotLimit plan;
    SplitTransition transition;
    bool is_started = false;
    std::vector<AcquiredUnit> acquired_units;
  };
  struct Domain {
    SeatDomainPlan plan;
    std::shared_ptr<SeatHolder> holder;
  };

  // The following require `mutex_`.
  void RefreshOwnShares();
  void RefreshLimit(const std::string& name, Limit& limit);
  [[nodiscard]] const SeatHolder* HolderOf(
      const FailureDomainName& domain) const;
  [[nodiscard]] std::optional<HostName> ChooseLender(const std::string& name,
                                                     const Limit& limit) const;

  const Options options_;
  ports::TableStore& store_;
  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  ShareAllocator allocator_;
  std::map<FailureDomainName, Domain> domains_;
  std::map<std::string, Limit, std::less<>> limits_;
  std::vector<Lender> lenders_;
  CapacityEvidence evidence_;
  /// Per limit: time of the last loan request, so that a refused one is not
  /// repeated at once, and the index of the next lender in turn.
  struct BorrowHistory {
    MonotonicTime last_request_at;
    std::size_t next_lender = 0;
  };
  std::map<std::string, BorrowHistory, std::less<>> borrow_history_;
  bool is_releasing_ = false;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_CAPACITY_MANAGER_H_
