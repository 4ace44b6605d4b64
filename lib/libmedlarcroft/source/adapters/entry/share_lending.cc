#include "adapters/entry/share_lending.h"

#include <algorithm>

namespace medlarcroft::adapters {

namespace {

/// The lender is in the same failure domain or in a sibling 0.5 ms away.
constexpr Duration kCallTimeout = std::chrono::milliseconds(150);

capacity::ShareRequest FromWire(const wire::ShareRequest& request) {
  return {.borrower = HostName(request.borrower),
          .incarnation = static_cast<std::uint64_t>(request.incarnation),
          .request_id = static_cast<std::uint64_t>(request.request_id),
          .limit_name = request.limit_name,
          .amount = static_cast<std::uint32_t>(std::max(0, request.amount))};
}

wire::ShareRequest ToWire(const capacity::ShareRequest& request) {
  wire::ShareRequest out;
  out.borrower = request.borrower.Value();
  out.incarnation = static_cast<std::int64_t>(request.incarnation);
  out.request_id = static_cast<std::int64_t>(request.request_id);
  out.limit_name = request.limit_name;
  out.amount = static_cast<std::int32_t>(request.amount);
  return out;
}

}  // namespace

void ShareService::borrow_share(wire::ShareGrant& answer,
                                const wire::ShareRequest& request) {
  const capacity::ShareGrant grant = capacity_manager_.Lend(FromWire(request));
  answer.request_id = static_cast<std::int64_t>(grant.request_id);
  answer.amount = static_cast<std::int32_t>(grant.amount);
  answer.lease_ms = static_cast<std::int32_t>(ToMilliseconds(grant.lease));
}

void ShareService::return_share(const wire::ShareRequest& request) {
  capacity_manager_.AcceptReturn(FromWire(request));
}

void ShareBorrower::SendDueMessages(const RoutingTable& routes,
                                    const std::vector<TargetName>& saturated) {
  const capacity::CapacityManager::DueRequests due =
      capacity_manager_.CollectDueRequests(saturated);
  for (const capacity::OutgoingShareRequest& outgoing : due.requests) {
    Channel* channel = ChannelTo(routes, outgoing.lender);
    if (channel == nullptr) {
      continue;
    }
    const auto answer =
        channel->Invoke([&outgoing](wire::SharesClient& client) {
          wire::ShareGrant grant;
          client.borrow_share(grant, ToWire(outgoing.request));
          return grant;
        });
    if (IsOk(answer)) {
      const wire::ShareGrant& grant = ValueOf(answer);
      capacity_manager_.Apply(
          outgoing,
          {.request_id = static_cast<std::uint64_t>(grant.request_id),
           .amount = static_cast<std::uint32_t>(std::max(0, grant.amount)),
           .lease = std::chrono::milliseconds(std::max(0, grant.lease_ms))});
    }
  }
  for (const capacity::OutgoingShareRequest& outgoing : due.returns) {
    if (Channel* channel = ChannelTo(routes, outgoing.lender)) {
      // If the message is lost, the lender gets the slots back when the lease
      // ends.
      static_cast<void>(
          channel->Invoke([&outgoing](wire::SharesClient& client) {
            client.return_share(ToWire(outgoing.request));
            return true;
          }));
    }
  }
}

ShareBorrower::Channel* ShareBorrower::ChannelTo(const RoutingTable& routes,
                                                 const HostName& host) {
  const auto route = routes.hosts.find(host);
  if (route == routes.hosts.end() || route->second.share_address.empty()) {
    return nullptr;
  }
  std::unique_ptr<Channel>& channel = channels_[route->second.share_address];
  if (!channel) {
    channel =
        std::make_unique<Channel>(route->second.share_address, kCallTimeout);
  }
  return channel.get();
}

}  // namespace medlarcroft::adapters
