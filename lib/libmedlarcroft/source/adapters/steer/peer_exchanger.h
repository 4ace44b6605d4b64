#ifndef MEDLARCROFT_ADAPTERS_STEER_PEER_EXCHANGER_H_
#define MEDLARCROFT_ADAPTERS_STEER_PEER_EXCHANGER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "adapters/peer/thrift_channel.h"
#include "adapters/steer/catalogue_sync.h"
#include "adapters/steer/steer_core.h"
#include "gen-cpp/Peer.h"
#include "medlarcroft/membership/exchange.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::adapters {

/// @brief Outcomes of the calls to peers.
struct ExchangeCounters {
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> deltas{0};
  /// Calls that this host initiates, in both directions.
  FrameByteCounters bytes;
};

/// @brief Calls peers one after the other, on a thread of its own: exchanges
/// membership state, and fetches catalogue changes from a peer that has a newer
/// revision.
class PeerExchanger {
 public:
  struct Options {
    std::string own_address;
    /// Addresses (IP:port) to call while no peer is known, and from time to
    /// time later.
    std::vector<std::string> bootstrap;
    membership::ExchangePacing pacing;
  };

  PeerExchanger(const Options& options,
                SteerCore& core,
                CatalogueSync& catalogue_sync,
                ports::RandomSource& random);

  /// @brief Makes the calls of one period, as many as the pacing allows. Blocks
  /// for at most one timeout per call.
  void RunRound();

  [[nodiscard]] const ExchangeCounters& Counters() const { return counters_; }

 private:
  using Channel = ThriftChannel<wire::PeerClient>;

  /// Destination of a call.
  struct Partner {
    std::string address;
    HostName host;  ///< Empty for a bootstrap address.
    std::string entry_address;
    FailureDomainName failure_domain;
  };

  using PartnersByHost = std::map<HostName, Partner>;

  [[nodiscard]] std::vector<Partner> ChoosePartners();
  void AddNextPartner(const PartnersByHost& partners,
                      membership::PeerRotation& rotation,
                      std::vector<Partner>& chosen);
  void Exchange(const Partner& partner);
  void ProbeEntry(const Partner& partner);
  void FetchChanges(const std::string& address);
  [[nodiscard]] Channel& ChannelTo(const std::string& address);

  const Options options_;
  SteerCore& core_;
  CatalogueSync& catalogue_sync_;
  ports::RandomSource& random_;
  HttpClient client_;
  ExchangeCounters counters_;  // Declared before its users in `channels_`.
  std::map<std::string, std::unique_ptr<Channel>> channels_;
  membership::PeerRotation same_domain_rotation_;
  membership::PeerRotation other_domain_rotation_;
  std::uint64_t round_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_PEER_EXCHANGER_H_
