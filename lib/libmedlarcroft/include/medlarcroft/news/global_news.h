#ifndef MEDLARCROFT_NEWS_GLOBAL_NEWS_H_
#define MEDLARCROFT_NEWS_GLOBAL_NEWS_H_

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/news/peer_news.h"
#include "medlarcroft/news/region_news.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::news {

/// @brief A registered host of another region.
struct RemoteHost {
  RegionName region;
  std::string address;  ///< IP:port that receives its datagrams.
};

/// @brief Distributes crash reports and rate limit reports to the hosts of all
/// regions.
///
/// The local region receives them like other news. In each other region
/// `kReceiversPerRegion` randomly chosen hosts receive them and forward them
/// within their region. Delivery is best effort, since datagrams may be lost
/// and the chosen hosts may be down: the reporting host must repeat a report
/// for as long as it is relevant.
class GlobalNews {
 public:
  struct Parts {
    RegionNews& region;
    NewsSender& sender;
    ports::RandomSource& random;
    /// Returns the registered hosts of other regions.
    std::function<std::vector<RemoteHost>()> remote_hosts;
  };

  GlobalNews(const HostName& host, Parts parts);

  void TellCrashes(std::span<const request_path::CrashReport> reports);
  void TellLimits(std::span<const request_path::LimitReport> reports);

  /// @brief Forwards reports received from another region to the local one.
  void OnNews(const PeerNews& news);

 private:
  /// @brief Sends the reports in `field` to the other regions, at most
  /// `most_per_datagram` in each datagram.
  template <typename Report>
  void SendToOtherRegions(std::vector<Report> PeerNews::*field,
                          std::span<const Report> reports,
                          std::size_t most_per_datagram);
  [[nodiscard]] std::vector<std::string> PickRemoteAddresses();

  std::uint32_t own_hash_;
  Parts parts_;
};

}  // namespace medlarcroft::news

#endif  // MEDLARCROFT_NEWS_GLOBAL_NEWS_H_
