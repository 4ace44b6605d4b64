#include "adapters/steer/peer_exchanger.h"

#include <algorithm>
#include <utility>

#include "adapters/peer/wire_conversion.h"
#include "adapters/platform/catalogue_wire_conversion.h"

namespace medlarcroft::adapters {

namespace {

/// Between regions an answer takes 110 ms; a silent peer costs one such wait.
constexpr Duration kCallTimeout = std::chrono::milliseconds(700);

/// Calls to hosts of other domains: in every round, by the domain's relays
/// only. Summaries are trusted for 3 s and discounted from then on, and each
/// call passes on those that were heard.
constexpr std::uint64_t kOtherDomainsEvery = 1;
constexpr std::size_t kRelaysPerDomain = 2;
constexpr std::string_view kExchangeTask = "exchange-between-domains";

/// An address of the settings is tried now and then even when peers are known,
/// so that two halves that grew apart find each other again.
constexpr std::uint64_t kBootstrapEvery = 15;

constexpr std::int32_t kChangesPerCall = 256;

/// A fresh host of a full domain has 51 to call before it may use a seat: with
/// eight a round it has called them all in seven seconds.
constexpr std::size_t kMaxWantedCalls = 8;

}  // namespace

PeerExchanger::PeerExchanger(const Options& options,
                             SteerCore& core,
                             CatalogueAgent& catalogue,
                             ports::RandomSource& random)
    : options_(options),
      core_(core),
      catalogue_(catalogue),
      random_(random),
      client_({}) {}

void PeerExchanger::Round() {
  ++round_;
  for (const Partner& partner : ChoosePartners()) {
    Exchange(partner);
  }
  if (const auto ahead = catalogue_.AddressOfPeerAhead()) {
    FetchChanges(*ahead);
  }
}

std::vector<PeerExchanger::Partner> PeerExchanger::ChoosePartners() {
  PartnersByHost own;
  PartnersByHost others;
  const FailureDomainName domain = core_.Self().failure_domain;
  for (const membership::Member& member : core_.ExchangePartners()) {
    if (member.state.peer_address.empty()) {
      continue;
    }
    (member.state.failure_domain == domain ? own
                                           : others)[member.state.host] = {
        member.state.peer_address, member.state.host,
        member.state.entry_address, member.state.failure_domain};
  }

  std::vector<Partner> chosen;
  // First those whose answer decides whether a seat may be used.
  for (const HostName& wanted : core_.WantsCalled()) {
    for (const PartnersByHost* known : {&own, &others}) {
      const auto found = known->find(wanted);
      if (found != known->end() && chosen.size() < kMaxWantedCalls) {
        chosen.push_back(found->second);
      }
    }
  }
  for (std::uint32_t i = 0; i < options_.pacing.fan_out; ++i) {
    AddNext(own, own_rotation_, chosen);
  }
  const bool is_relay_turn = round_ % kOtherDomainsEvery == 0;
  if (is_relay_turn && core_.IsRelayFor(kExchangeTask, kRelaysPerDomain)) {
    AddNext(others, other_rotation_, chosen);
  }
  const bool knows_nobody = own.empty() && others.empty();
  if ((knows_nobody || round_ % kBootstrapEvery == 0) &&
      !options_.bootstrap.empty()) {
    chosen.push_back(
        {options_.bootstrap.at(random_.NextBelow(options_.bootstrap.size())),
         HostName(), std::string(), FailureDomainName()});
  }
  return chosen;
}

void PeerExchanger::AddNext(const PartnersByHost& partners,
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
  const wire::Exchange mine = ToWire(
      core_.MakeExchange(options_.pacing.message_bytes, partner.failure_domain),
      core_.Catalogue()->Revision());
  const auto answer =
      ChannelTo(partner.address).Invoke([&mine](wire::PeerClient& client) {
        wire::Exchange theirs;
        client.exchange(theirs, mine);
        return theirs;
      });
  if (!IsOk(answer)) {
    (ErrorOf(answer) == PeerFailure::kRefused ? counters_.refused
                                              : counters_.failed)++;
    if (!partner.host.IsEmpty()) {
      ProbeEntry(partner);
    }
    return;
  }
  counters_.answered++;
  const wire::Exchange& theirs = ValueOf(answer);
  core_.Receive(FromWire(theirs));
  core_.RecordAnswer(HostName(theirs.sender.host));
  catalogue_.NoteRevision(static_cast<std::uint64_t>(std::max<std::int64_t>(
                              0, theirs.catalogue_revision)),
                          partner.address);
}

void PeerExchanger::ProbeEntry(const Partner& partner) {
  // Failure: only the other host's steerd is down. Symptom: the host counts as
  // gone, and its seat is taken while its entryd goes on using it. So its
  // entryd is asked too; either daemon's answer shows that the host lives.
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
        client.changes_since(delta, revision, kChangesPerCall);
        return delta;
      });
  const auto delta = IsOk(answer) ? FromWire(ValueOf(answer)) : std::nullopt;
  if (!delta) {
    catalogue_.ForgetPeerAhead(address);
    return;
  }
  counters_.deltas++;
  catalogue_.ApplyFromPeer(*delta);
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
