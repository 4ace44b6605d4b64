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

/// @brief What this host may use of one target now.
struct UsableSlots {
  std::uint32_t own = 0;
  std::uint32_t borrowed = 0;
  std::uint32_t lent = 0;

  [[nodiscard]] std::uint32_t Total() const { return own - lent + borrowed; }
};

/// @brief One seat as operators see it.
struct SeatStatus {
  FailureDomainName failure_domain;
  SeatState state = SeatState::kNone;
  std::optional<std::uint32_t> seat;
};

/// @brief One host's capacity: its seats, and its part of every target's slots.
///
/// It lives in the process that dispatches, so that a slot is taken, lent and
/// given back in one place, and a restart of the control daemon costs no
/// capacity. Safe to share between threads; only `StepSeats` blocks.
class CapacityManager final : public ports::SlotSource {
 public:
  struct Options {
    HostName host;
    std::uint64_t incarnation = 0;
    LeaseRules rules;
    /// Units asked for at once when a target's share is used up.
    std::uint32_t borrow_amount = 1;
  };

  CapacityManager(const Options& options,
                  ports::TableStore& store,
                  const ports::Clock& clock);

  /// @brief Takes over what a routing snapshot says.
  void ApplyPlan(CapacityPlan plan);

  /// @brief Says that this process runs; several times in a lease.
  void RecordHeartbeat();

  /// @brief One round for each seat; blocks on the store, so it runs on a
  /// thread of its own, about once a second.
  void StepSeats(bool are_targets_reachable);

  /// @return hosts that should be called before the next `StepSeats`.
  [[nodiscard]] std::set<HostName> HostsToProbe() const;

  /// @brief Frees all seats and stops using them, as the last act of a stop.
  void ReleaseSeats();

  // ports::SlotSource
  [[nodiscard]] bool TryTake(const TargetName& target) override;
  void Release(const TargetName& target) override;

  [[nodiscard]] UsableSlots UsableSlotsOf(const TargetName& target) const;

  /// @return seat number by failure domain, as far as held or waited for.
  [[nodiscard]] std::map<FailureDomainName, std::uint32_t> Seats() const;
  [[nodiscard]] std::vector<SeatStatus> Status() const;
  /// @return whether any seat may be used now.
  [[nodiscard]] bool HasSeat() const;
  /// @return whether a seat is held whose part of a limit is not yet known to
  /// be safe, because other holders still have an older split.
  [[nodiscard]] bool IsWaitingForSplit() const;
  /// @return this host's part of a rate of its own domain; 0 without a seat.
  [[nodiscard]] double OwnRateShare(const FailureDomainName& domain,
                                    double rate) const;

  [[nodiscard]] ShareGrant Lend(const ShareRequest& request);
  void AcceptReturn(const ShareRequest& request);

  /// @param pressed targets whose slots are used up while requests wait.
  /// @return loans to ask for, to renew and to return, in that order of use.
  struct DueRequests {
    std::vector<OutgoingShareRequest> requests;
    std::vector<OutgoingShareRequest> returns;
  };
  [[nodiscard]] DueRequests CollectDueRequests(
      const std::vector<TargetName>& pressed);
  void Apply(const OutgoingShareRequest& ask, const ShareGrant& grant);

 private:
  struct Limit {
    SlotLimit plan;
    SplitTransition transition;
    bool is_started = false;
    std::vector<AcquiredUnit> uses;
  };
  struct Domain {
    SeatDomainPlan plan;
    std::shared_ptr<SeatHolder> holder;
  };

  // These need `mutex_`.
  void RefreshOwn();
  void RefreshLimit(const std::string& name, Limit& limit);
  [[nodiscard]] const SeatHolder* HolderOf(
      const FailureDomainName& domain) const;
  [[nodiscard]] std::optional<HostName> ChooseLender(const std::string& name,
                                                     const Limit& limit) const;

  const Options options_;
  ports::TableStore& store_;
  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  ShareAllocator book_;
  std::map<FailureDomainName, Domain> domains_;
  std::map<std::string, Limit, std::less<>> limits_;
  std::vector<Lender> lenders_;
  CapacityEvidence evidence_;
  /// By limit: when it was last asked for, so that a refusal is not repeated
  /// at once, and whose turn it is next.
  struct Asked {
    MonotonicTime at;
    std::size_t turn = 0;
  };
  std::map<std::string, Asked, std::less<>> asked_;
  bool is_giving_up_ = false;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_CAPACITY_MANAGER_H_
