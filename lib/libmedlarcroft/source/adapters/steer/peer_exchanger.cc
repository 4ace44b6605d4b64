#include "adapters/steer/peer_exchanger.h"

#include <algorithm>
#include <utility>

#include "adapters/peer/wire_conversion.h"
#include "adapters/platform/catalogue_wire_conversion.h"

namespace medlarcroft::adapters {

namespace {

/// An answer from another region takes 110 ms. A peer that does not answer
/// delays the round by this timeout.
constexpr Duration kCallTimeout = std::chrono::milliseconds(700);

/// Hosts of other failure domains are called in every round, and only by the
/// few hosts of this domain that are assigned to this task. Load summaries are
/// used in full for 3 s and discounted after that; each call also forwards the
/// summaries received from others.
constexpr std::uint64_t kRoundsPerCrossDomainCall = 1;
constexpr std::size_t kCrossDomainCallersPerDomain = 2;
constexpr std::string_view kCrossDomainExchangeTask =
    "exchange-between-domains";

/// A bootstrap address is called from time to time even when peers are known,
/// so that the two sides of a healed network partition find each other again.
constexpr std::uint64_t kRoundsPerBootstrapCall = 15;

constexpr std::int32_t kMaxChangesPerFetch = 256;

/// A new host in a full failure domain must call 51 hosts before it may use a
/// seat. At eight calls a round it has called them all within seven seconds.
constexpr std::size_t kMaxRequiredCallsPerRound = 8;

}  // namespace

PeerExchanger::PeerExchanger(const Options& options,
                             SteerCore& core,
                             CatalogueSync& catalogue_sync,
                             ports::RandomSource& random)
    : options_(options),
      core_(core),
      catalogue_sync_(catalogue_sync),
      random_(random),
      client_({}) {}

void PeerExchanger::RunRound() {
  ++round_;
  for (const Partner& partner : ChoosePartners()) {
    Exchange(partner);
  }
  if (const auto ahead = catalogue_sync_.NewerPeerAddress()) {
    FetchChanges(*ahead);
  }
}

std::vector<PeerExchanger::Partner> PeerExchanger::ChoosePartners() {
  PartnersByHost same_domain;
  PartnersByHost other_domains;
  const FailureDomainName domain = core_.Self().failure_domain;
  for (const membership::Member& member : core_.ExchangePartners()) {
    if (member.state.peer_address.empty()) {
      continue;
    }
    (member.state.failure_domain == domain
         ? same_domain
         : other_domains)[member.state.host] = {
        member.state.peer_address, member.state.host,
        member.state.entry_address, member.state.failure_domain};
  }

  std::vector<Partner> chosen;
  // Hosts whose answers decide whether a seat may be used come first.
  for (const HostName& wanted : core_.HostsToProbe()) {
    for (const PartnersByHost* known : {&same_domain, &other_domains}) {
      const auto found = known->find(wanted);
      if (found != known->end() && chosen.size() < kMaxRequiredCallsPerRound) {
        chosen.push_back(found->second);
      }
    }
  }
  for (std::uint32_t i = 0; i < options_.pacing.fan_out; ++i) {
    AddNextPartner(same_domain, same_domain_rotation_, chosen);
  }
  const bool is_cross_domain_round = round_ % kRoundsPerCrossDomainCall == 0;
  if (is_cross_domain_round &&
      core_.IsAssignedTo(kCrossDomainExchangeTask,
                         kCrossDomainCallersPerDomain)) {
    AddNextPartner(other_domains, other_domain_rotation_, chosen);
  }
  const bool has_no_peers = same_domain.empty() && other_domains.empty();
  if ((has_no_peers || round_ % kRoundsPerBootstrapCall == 0) &&
      !options_.bootstrap.empty()) {
    chosen.push_back(
        {options_.bootstrap.at(random_.NextBelow(options_.bootstrap.size())),
         HostName(), std::string(), FailureDomainName()});
  }
  return chosen;
}

void PeerExchanger::AddNextPartner(const PartnersByHost& partners,
                                   membership::PeerRotation& rotation,
                                   std::vector<Partner>& chosen) {
  std::vector<HostName> hosts;
  hosts.reserve(partners.size());
  for (const auto& [host, partner] : partners) {
    hosts.push_back(host);
  }
  if (const auto next = rotation.Next(hosts, random_)) {
    chosen.push_back(partners.at(*next));
  }
}

void PeerExchanger::Exchange(const Partner& partner) {
  if (partner.address == options_.own_address) {
    return;
  }
  const wire::Exchange request = ToWire(
      core_.MakeExchange(options_.pacing.message_bytes, partner.failure_domain),
      core_.Catalogue()->Revision());
  const auto answer =
      ChannelTo(partner.address).Invoke([&request](wire::PeerClient& client) {
        wire::Exchange response;
        client.exchange(response, request);
        return response;
      });
  if (!IsOk(answer)) {
    (ErrorOf(answer) == ThriftCallFailure::kRefused ? counters_.refused
                                                    : counters_.failed)++;
    if (!partner.host.IsEmpty()) {
      ProbeEntry(partner);
    }
    return;
  }
  counters_.answered++;
  const wire::Exchange& response = ValueOf(answer);
  core_.Receive(FromWire(response));
  core_.RecordAnswer(HostName(response.sender.host));
  catalogue_sync_.RecordPeerRevision(
      static_cast<std::uint64_t>(
          std::max<std::int64_t>(0, response.catalogue_revision)),
      partner.address);
}

void PeerExchanger::ProbeEntry(const Partner& partner) {
  // When only the steerd of the other host is down, the host would be regarded
  // as dead and its seat taken over while its entryd still uses it. Therefore
  // its entryd is probed too: an answer of either daemon proves that the host
  // is alive.
  const bool is_alive =
      !partner.entry_address.empty() &&
      IsOk(client_.SendAndWait(
          {.url = "http://" + partner.entry_address + "/healthz",
           .timeout = kCallTimeout}));
  if (is_alive) {
    core_.RecordAnswer(partner.host);
  } else {
    core_.RecordFailedCall(partner.host);
  }
}

void PeerExchanger::FetchChanges(const std::string& address) {
  const auto revision =
      static_cast<std::int64_t>(core_.Catalogue()->Revision());
  const auto answer =
      ChannelTo(address).Invoke([revision](wire::PeerClient& client) {
        wire::CatalogueDelta delta;
        client.changes_since(delta, revision, kMaxChangesPerFetch);
        return delta;
      });
  const auto delta = IsOk(answer) ? FromWire(ValueOf(answer)) : std::nullopt;
  if (!delta) {
    catalogue_sync_.ClearNewerPeer(address);
    return;
  }
  counters_.deltas++;
  catalogue_sync_.ApplyFromPeer(*delta);
}

PeerExchanger::Channel& PeerExchanger::ChannelTo(const std::string& address) {
  std::unique_ptr<Channel>& channel = channels_[address];
  if (!channel) {
    channel =
        std::make_unique<Channel>(address, kCallTimeout, &counters_.bytes);
  }
  return *channel;
}

}  // namespace medlarcroft::adapters
