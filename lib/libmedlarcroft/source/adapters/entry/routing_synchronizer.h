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

/// @brief Keeps entryd's routes as steerd has them, and tells steerd what this
/// host's requests show. While steerd is down the last routes stay in force;
/// shares in them end by their own leases.
class RoutingSynchronizer {
 public:
  struct Options {
    std::string routing_address;  ///< steerd's loopback listener, IP:port.
    std::string entry_address;    ///< Where callers reach this host, IP:port.
    std::string share_address;    ///< Where other entryds borrow slots.
    std::uint64_t incarnation = 0;
    FailureDomainName failure_domain;
  };

  struct Parts {
    RequestEngine& engine;
    ShiftChooser& shifts;
    IdempotencyGuard& keys;
    capacity::CapacityManager& capacity;
    const ports::Clock& clock;
  };

  RoutingSynchronizer(const Options& options, const Parts& parts);

  /// @brief Reports, then asks for routes; blocks for at most two timeouts.
  /// Call it a few times a second.
  void Exchange();

  /// @brief Brings the engine's shares up to what this host holds now; without
  /// new routes. Call it a few times a second.
  void RefreshShares();

  /// @return targets whose slots are used up here while requests wait.
  [[nodiscard]] std::vector<TargetName> PressedTargets() const;

  /// @brief From now on the reports say that this host leaves.
  void Announce() { is_leaving_ = true; }

  /// @return whether steerd answered the last exchange.
  [[nodiscard]] bool IsConnected() const { return is_connected_; }

 private:
  [[nodiscard]] wire::EntryReport MakeReport();
  [[nodiscard]] bool HaveSharesChanged(const RoutingTable& routes) const;
  [[nodiscard]] SharedRoutingTable WithShares(const RoutingTable& routes) const;

  const Options options_;
  const Parts parts_;
  ThriftChannel<wire::RoutingClient> channel_;
  std::atomic<bool> is_leaving_{false};
  std::atomic<bool> is_connected_{false};
  std::int64_t number_ = 0;
  std::int32_t wanted_local_keys_ = 0;
  std::int32_t wanted_durable_keys_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ROUTING_SYNCHRONIZER_H_
