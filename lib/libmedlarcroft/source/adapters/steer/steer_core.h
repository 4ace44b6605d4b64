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

/// @brief Identity and addresses (IP:port) of this host, from its settings.
struct SteerIdentity {
  HostName host;
  FailureDomainName failure_domain;
  std::string lookup_address;
  std::string peer_address;
  std::string entry_address;
};

/// @brief All state that steerd's decisions depend on: catalogue, membership,
/// target status, load and the shift plan. It does no I/O and no call blocks.
/// Thread-safe.
class SteerCore {
 public:
  SteerCore(SteerIdentity identity,
            const ports::Clock& clock,
            ports::RandomSource& random);

  // Inputs.
  void ApplyCatalogue(catalogue::SharedCatalogueView view);
  void ApplyReport(const wire::EntryReport& report);
  void ApplyHostList(std::vector<ports::ListedHost> hosts);
  void Receive(const membership::ExchangeContent& content);
  void RecordAnswer(const HostName& host);
  void RecordFailedCall(const HostName& host);

  /// @return the client block map in use; the platform thread replaces it when
  /// a newer one is published.
  [[nodiscard]] steering::BlockMapHolder& ClientBlockMap() {
    return client_block_map_;
  }

  /// @brief Makes this host announce itself as leaving from now on.
  void AnnounceLeaving();

  /// @brief Updates what depends on time: liveness, shift plan and look-up
  /// inputs. Call it a few times a second.
  void Tick();

  // Queries.
  struct LookupQuery {
    ServiceName service;
    BrandName brand;
    std::optional<steering::ClientAddress> client;
  };
  [[nodiscard]] Result<steering::LookupAnswer, steering::LookupError> Lookup(
      const LookupQuery& query);

  [[nodiscard]] wire::RoutingSnapshot MakeSnapshot();
  /// @param message_bytes size limit of the message, in bytes.
  /// @param receiver failure domain of the receiver. A receiver in another
  /// failure domain also gets the load summary of this one.
  [[nodiscard]] membership::ExchangeContent MakeExchange(
      std::size_t message_bytes,
      const FailureDomainName& receiver);

  /// @return the hosts that this one may call, in its own failure domain and
  /// in the others. Only the hosts of a domain that are assigned to this task
  /// call other domains; see `IsAssignedTo`.
  [[nodiscard]] std::vector<membership::Member> ExchangePartners() const;
  /// @return hosts that entryd needs an answer from before it may use or take
  /// over a seat.
  [[nodiscard]] std::set<HostName> HostsToProbe() const;
  /// @return whether this host is now one of the `count` hosts of its failure
  /// domain that perform `task`. They are chosen among the live hosts by
  /// rendezvous hashing, so that hosts with the same members agree.
  [[nodiscard]] bool IsAssignedTo(std::string_view task,
                                  std::size_t count) const;

  // State for status pages and metrics.
  [[nodiscard]] catalogue::SharedCatalogueView Catalogue() const;
  [[nodiscard]] std::vector<membership::Member> Members() const;
  [[nodiscard]] membership::HostState Self() const;
  [[nodiscard]] steering::ShiftPlan Plan() const;
  [[nodiscard]] std::vector<steering::DomainLoad> DomainLoads() const;
  [[nodiscard]] bool IsEntryConnected() const;
  [[nodiscard]] bool IsLeaving() const;
  /// @return time since the platform's host list was last read, or nullopt
  /// before the first read.
  [[nodiscard]] std::optional<Duration> HostListAge() const;
  [[nodiscard]] membership::MergedTargetStatus MergedStatusOf(
      const TargetName& target) const;

 private:
  // Callers must hold `mutex_`.
  [[nodiscard]] membership::HostPhase CurrentPhase() const;
  [[nodiscard]] bool IsEntryConnectedLocked() const;
  /// @return the other failure domains of this host's region.
  [[nodiscard]] std::set<FailureDomainName> SiblingDomains() const;
  void UpdateSelf();
  void UpdatePlans();
  void RecordHandedOutDemand(const steering::LookupAnswer& answer,
                             const ServiceName& service);

  const SteerIdentity identity_;
  const ports::Clock& clock_;

  steering::BlockMapHolder client_block_map_;  // Has its own lock.

  mutable std::mutex mutex_;
  catalogue::SharedCatalogueView catalogue_;
  membership::MembershipTable members_;
  membership::TargetStatusTable targets_;
  membership::ExchangeSelector exchange_selector_;
  steering::LookupPlanner lookup_planner_;
  steering::ShiftPlanner shift_planner_;
  steering::LookupDemandTracker handed_out_;
  steering::ShiftPlan shift_plan_;
  std::map<ServiceName, std::uint64_t> answers_since_plan_update_;
  std::map<ServiceName, double> answers_per_second_;
  std::map<std::string, ports::ListedHost> listed_hosts_;
  std::optional<MonotonicTime> host_list_read_at_;
  std::optional<MonotonicTime> last_report_at_;
  std::set<HostName> hosts_to_probe_;
  bool is_entry_leaving_ = false;
  bool is_leaving_ = false;
  std::uint64_t observation_sequence_;
  MonotonicTime last_plan_update_;
  std::int64_t snapshot_number_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEER_CORE_H_
