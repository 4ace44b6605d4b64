#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ROUTING_SYNCHRONIZER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ROUTING_SYNCHRONIZER_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "adapters/entry/idempotency_guard.h"
#include "adapters/entry/request_engine.h"
#include "adapters/entry/shift_chooser.h"
#include "adapters/peer/thrift_channel.h"
#include "gen-cpp/Routing.h"
#include "medlarcroft/capacity/capacity_manager.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::adapters {

/// @brief Keeps entryd's routes equal to steerd's, and reports this host's load
/// and its observations of targets to steerd. While steerd is down, the last
/// routes stay in force; the slot shares in them expire with their own leases.
class RoutingSynchronizer {
 public:
  struct Options {
    std::string routing_address;  ///< steerd's loopback listener, IP:port.
    std::string entry_address;    ///< Address for callers, IP:port.
    std::string share_address;    ///< Address for hosts that borrow slots.
    std::uint64_t incarnation = 0;
    FailureDomainName failure_domain;
  };

  struct Dependencies {
    RequestEngine& engine;
    ShiftChooser& shifts;
    IdempotencyGuard& keys;
    capacity::CapacityManager& capacity;
    const ports::Clock& clock;
  };

  RoutingSynchronizer(const Options& options, const Dependencies& dependencies);

  /// @brief Sends a report, then fetches routes; blocks for at most two call
  /// timeouts. Call it a few times a second.
  void Synchronize();

  /// @brief Updates the engine's slot shares to those that this host holds now,
  /// without fetching routes. Call it a few times a second.
  void RefreshShares();

  /// @return targets of services that have demand, and queued requests or no
  /// free slot, on this host.
  [[nodiscard]] std::vector<TargetName> SaturatedTargets() const;

  /// @brief From now on, reports say that this host is leaving.
  void AnnounceLeaving() { is_leaving_ = true; }

  /// @return whether steerd answered the last synchronization.
  [[nodiscard]] bool IsConnected() const { return is_connected_; }

 private:
  [[nodiscard]] wire::EntryReport MakeReport();
  [[nodiscard]] bool HaveSharesChanged(const RoutingTable& routes) const;
  [[nodiscard]] SharedRoutingTable WithCurrentShares(
      const RoutingTable& routes) const;

  const Options options_;
  const Dependencies dependencies_;
  ThriftChannel<wire::RoutingClient> channel_;
  std::atomic<bool> is_leaving_{false};
  std::atomic<bool> is_connected_{false};
  std::int64_t snapshot_number_ = 0;
  std::int32_t wanted_local_keys_ = 0;
  std::int32_t wanted_durable_keys_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ROUTING_SYNCHRONIZER_H_
