#ifndef MEDLARCROFT_ADAPTERS_ENTRY_SHARE_LENDING_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_SHARE_LENDING_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "adapters/entry/routing_table.h"
#include "adapters/peer/thrift_channel.h"
#include "gen-cpp/Shares.h"
#include "medlarcroft/capacity/capacity_manager.h"

namespace medlarcroft::adapters {

/// @brief Lends this host's free slots to entryd on other hosts.
class ShareService final : public wire::SharesIf {
 public:
  ShareService(HostName self, capacity::CapacityManager& capacity_manager)
      : self_(std::move(self)), capacity_manager_(capacity_manager) {}

  void borrow_share(wire::ShareGrant& answer,
                    const wire::ShareRequest& request) override;
  void return_share(const wire::ShareRequest& request) override;
  void identify(std::string& answer) override { answer = self_.Value(); }

 private:
  const HostName self_;
  capacity::CapacityManager& capacity_manager_;
};

/// @brief Sends this host's loan requests to lenders. Calls block, so it runs
/// on its own thread.
class ShareBorrower {
 public:
  explicit ShareBorrower(capacity::CapacityManager& capacity_manager)
      : capacity_manager_(capacity_manager) {}

  /// @brief Sends the loan requests, renewals and returns that are due.
  /// @param saturated targets for which this host needs more slots.
  void SendDueMessages(const RoutingTable& routes,
                       const std::vector<TargetName>& saturated);

 private:
  using Channel = ThriftChannel<wire::SharesClient>;

  [[nodiscard]] Channel* ChannelTo(const RoutingTable& routes,
                                   const HostName& host);

  capacity::CapacityManager& capacity_manager_;
  std::map<std::string, std::unique_ptr<Channel>> channels_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_SHARE_LENDING_H_
