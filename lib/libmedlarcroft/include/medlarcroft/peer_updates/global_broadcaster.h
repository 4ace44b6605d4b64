#ifndef MEDLARCROFT_PEER_UPDATES_GLOBAL_BROADCASTER_H_
#define MEDLARCROFT_PEER_UPDATES_GLOBAL_BROADCASTER_H_

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/peer_updates/peer_update.h"
#include "medlarcroft/peer_updates/region_broadcaster.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::peer_updates {

/// @brief A registered host of another region.
struct RemoteHost {
  RegionName region;
  std::string address;  ///< IP:port on which it receives datagrams.
};

/// @brief Distributes crash reports and rate limit reports to the hosts of all
/// regions.
///
/// The local region receives them like other updates. In each other region
/// `kReceiversPerRegion` randomly chosen hosts receive them and forward them
/// within their region. Delivery is best effort, since datagrams may be lost
/// and the chosen hosts may be down: the reporting host must repeat a report
/// for as long as it is relevant.
class GlobalBroadcaster {
 public:
  struct Parts {
    RegionBroadcaster& region;
    UpdateSender& sender;
    ports::RandomSource& random;
    /// Returns the registered hosts of other regions.
    std::function<std::vector<RemoteHost>()> remote_hosts;
  };

  GlobalBroadcaster(const HostName& host, Parts parts);

  void BroadcastCrashes(std::span<const request_path::CrashReport> reports);
  void BroadcastLimits(std::span<const request_path::LimitReport> reports);

  /// @brief Broadcasts reports received from another region in the local one.
  void OnUpdate(const PeerUpdate& update);

 private:
  /// @brief Sends the reports in `field` to the other regions, at most
  /// `max_per_datagram` in each datagram.
  template <typename Report>
  void SendToOtherRegions(std::vector<Report> PeerUpdate::*field,
                          std::span<const Report> reports,
                          std::size_t max_per_datagram);
  [[nodiscard]] std::vector<std::string> ChooseRemoteAddresses();

  std::uint32_t own_hash_;
  Parts parts_;
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_GLOBAL_BROADCASTER_H_
