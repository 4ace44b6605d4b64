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

/// @brief What exchanges with peers have come to.
struct ExchangeCounters {
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> deltas{0};
  /// Of the calls that this host begins, both ways.
  FrameBytes bytes;
};

/// @brief Calls peers, one after the other, on a thread of its own: exchanges
/// states, and fetches the catalogue's changes from whoever is ahead.
class PeerExchanger {
 public:
  struct Options {
    std::string own_address;
    /// Tried until the first peers are known, and again when none answers.
    std::vector<std::string> bootstrap;
    membership::ExchangePacing pacing;
  };

  PeerExchanger(const Options& options,
                SteerCore& core,
                CatalogueAgent& catalogue,
                ports::RandomSource& random);

  /// @brief One period: as many calls as the pacing says. Blocks for at most
  /// that many timeouts.
  void Round();

  [[nodiscard]] const ExchangeCounters& Counters() const { return counters_; }

 private:
  using Channel = ThriftChannel<wire::PeerClient>;

  /// One call's destination.
  struct Partner {
    std::string address;
    HostName host;  ///< Empty for an address of the settings.
    std::string entry_address;
    FailureDomainName failure_domain;
  };

  using PartnersByHost = std::map<HostName, Partner>;

  [[nodiscard]] std::vector<Partner> ChoosePartners();
  void AddNext(const PartnersByHost& partners,
               membership::PeerRotation& rotation,
               std::vector<Partner>& chosen);
  void Exchange(const Partner& partner);
  void ProbeEntry(const Partner& partner);
  void FetchChanges(const std::string& address);
  [[nodiscard]] Channel& ChannelTo(const std::string& address);

  const Options options_;
  SteerCore& core_;
  CatalogueAgent& catalogue_;
  ports::RandomSource& random_;
  HttpClient client_;
  ExchangeCounters counters_;  // Before the channels, which count in it.
  std::map<std::string, std::unique_ptr<Channel>> channels_;
  membership::PeerRotation own_rotation_;
  membership::PeerRotation other_rotation_;
  std::uint64_t round_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_PEER_EXCHANGER_H_
