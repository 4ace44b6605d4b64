#ifndef MEDLARCROFT_ADAPTERS_STEER_STEER_CORE_H_
#define MEDLARCROFT_ADAPTERS_STEER_STEER_CORE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gen-cpp/medlarcroft_types.h"
#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/membership/exchange.h"
#include "medlarcroft/membership/membership_table.h"
#include "medlarcroft/membership/target_status_table.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/steering/block_map_holder.h"
#include "medlarcroft/steering/client_address.h"
#include "medlarcroft/steering/lookup_demand_tracker.h"
#include "medlarcroft/steering/lookup_planner.h"
#include "medlarcroft/steering/shift_planner.h"

namespace medlarcroft::adapters {

/// @brief What a host is, from its settings.
struct SteerIdentity {
  HostName host;
  FailureDomainName failure_domain;
  std::string lookup_address;
  std::string peer_address;
  std::string entry_address;
};

/// @brief Everything that steerd decides from, in one place: catalogue,
/// membership, target signs, load and the shift plan. It does no I/O, and every
/// call returns at once. Safe to share between threads.
class SteerCore {
 public:
  SteerCore(SteerIdentity identity,
            const ports::Clock& clock,
            ports::RandomSource& random);

  // What arrives.
  void ApplyCatalogue(catalogue::SharedCatalogueView view);
  void ApplyReport(const wire::EntryReport& report);
  void ApplyHostList(std::vector<ports::ListedHost> hosts);
  void Receive(const membership::ExchangeContent& content);
  void RecordAnswer(const HostName& host);
  void RecordFailedCall(const HostName& host);

  /// @return where the platform thread puts a newer client block map.
  [[nodiscard]] steering::BlockMapHolder& Blocks() { return blocks_; }

  /// @brief From now on this host says that it leaves.
  void Announce();

  /// @brief Renews what depends on time: liveness, plans, look-up inputs.
  /// Called a few times a second.
  void Tick();

  // What is asked.
  struct LookupQuestion {
    ServiceName service;
    BrandName brand;
    std::optional<steering::ClientAddress> client;
  };
  [[nodiscard]] Result<steering::LookupAnswer, steering::LookupError> Lookup(
      const LookupQuestion& question);

  [[nodiscard]] wire::RoutingSnapshot MakeSnapshot();
  /// @param receiver its failure domain; another one gets this domain's
  /// summary.
  [[nodiscard]] membership::ExchangeContent MakeExchange(
      std::size_t message_bytes,
      const FailureDomainName& receiver);

  /// @return the hosts that this one may call, in the own domain and, for its
  /// relays, one of each other domain.
  [[nodiscard]] std::vector<membership::Member> ExchangePartners() const;
  /// @return hosts that must be called before a seat may be used or taken.
  [[nodiscard]] std::set<HostName> WantsCalled() const;
  /// @return whether this host does that duty for its domain now.
  [[nodiscard]] bool IsRelayFor(std::string_view task, std::size_t count) const;

  // For operators.
  [[nodiscard]] catalogue::SharedCatalogueView Catalogue() const;
  [[nodiscard]] std::vector<membership::Member> Members() const;
  [[nodiscard]] membership::HostState Self() const;
  [[nodiscard]] steering::ShiftPlan Plan() const;
  [[nodiscard]] std::vector<steering::DomainLoad> DomainLoads() const;
  [[nodiscard]] bool IsEntryConnected() const;
  [[nodiscard]] bool IsLeaving() const;
  /// @return time since the platform's list was last read; nullopt: never.
  [[nodiscard]] std::optional<Duration> HostListAge() const;
  [[nodiscard]] membership::MergedTargetStatus MergedStatusOf(
      const TargetName& target) const;

 private:
  // These need `mutex_`.
  [[nodiscard]] membership::HostPhase PhaseNow() const;
  [[nodiscard]] bool IsEntryConnectedLocked() const;
  [[nodiscard]] std::set<FailureDomainName> SiblingDomains() const;
  void UpdateSelf();
  void UpdatePlans();
  void CountHandedOut(const steering::LookupAnswer& answer,
                      const ServiceName& service);

  const SteerIdentity identity_;
  const ports::Clock& clock_;

  steering::BlockMapHolder blocks_;  // Locks for itself.

  mutable std::mutex mutex_;
  catalogue::SharedCatalogueView catalogue_;
  membership::MembershipTable members_;
  membership::TargetStatusTable targets_;
  membership::ExchangeSelector selector_;
  steering::LookupPlanner lookups_;
  steering::ShiftPlanner shifts_;
  steering::LookupDemandTracker handed_out_;
  steering::ShiftPlan plan_;
  std::map<ServiceName, std::uint64_t> answers_since_tick_;
  std::map<ServiceName, double> answers_per_second_;
  std::map<std::string, ports::ListedHost> listed_;
  std::optional<MonotonicTime> listed_at_;
  std::optional<MonotonicTime> reported_at_;
  std::set<HostName> wants_called_;
  bool is_entry_leaving_ = false;
  bool is_announced_ = false;
  std::uint64_t observation_sequence_;
  MonotonicTime ticked_at_;
  std::int64_t snapshot_number_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEER_CORE_H_
