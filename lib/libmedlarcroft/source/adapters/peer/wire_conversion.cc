#include "adapters/peer/wire_conversion.h"
#include "gen-cpp/medlarcroft_constants.h"

#include <algorithm>
#include <limits>

namespace medlarcroft::adapters {

namespace {

std::uint32_t FromWireCount(std::int32_t number) {
  return static_cast<std::uint32_t>(std::max(0, number));
}

std::uint64_t FromWireCount(std::int64_t number) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, number));
}

std::int32_t ToWireCount(std::uint32_t number) {
  constexpr auto kMax =
      static_cast<std::uint32_t>(std::numeric_limits<std::int32_t>::max());
  return static_cast<std::int32_t>(std::min(number, kMax));
}

std::int32_t ToWireAge(Duration age) {
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(ToMilliseconds(age), 0, kMax));
}

Duration FromWireAge(std::int32_t age_ms) {
  return std::chrono::milliseconds(std::max(0, age_ms));
}

using Heartbeats = std::vector<membership::Heartbeat>;

template <typename Out, typename In>
std::vector<Out> ConvertAll(const std::vector<In>& items,
                            Out (*convert)(const In&)) {
  std::vector<Out> converted;
  converted.reserve(items.size());
  std::transform(items.begin(), items.end(), std::back_inserter(converted),
                 convert);
  return converted;
}

/// An unknown phase, as sent by another version, counts as not ready.
membership::HostPhase PhaseFromWire(std::int32_t phase) {
  const auto& constants = wire::g_medlarcroft_constants;
  if (phase == constants.PHASE_READY) {
    return membership::HostPhase::kReady;
  }
  return phase == constants.PHASE_LEAVING ? membership::HostPhase::kLeaving
                                          : membership::HostPhase::kStarting;
}

wire::DomainSummary SummaryToWire(const membership::DomainSummary& summary) {
  wire::DomainSummary out;
  out.failure_domain = summary.failure_domain.Value();
  out.reporter = summary.reporter.Value();
  out.incarnation = static_cast<std::int64_t>(summary.number.incarnation);
  out.sequence = static_cast<std::int64_t>(summary.number.sequence);
  out.loads = ConvertAll<wire::ServiceLoad>(summary.loads, &ToWire);
  out.live_hosts = ToWireCount(summary.live_hosts);
  out.catalogue_revision =
      static_cast<std::int64_t>(summary.catalogue_revision);
  out.age_ms = ToWireAge(summary.age);
  return out;
}

membership::DomainSummary SummaryFromWire(const wire::DomainSummary& summary) {
  membership::DomainSummary out;
  out.failure_domain = FailureDomainName(summary.failure_domain);
  out.reporter = HostName(summary.reporter);
  out.number = {FromWireCount(summary.incarnation),
                FromWireCount(summary.sequence)};
  out.loads = ConvertAll<membership::ServiceLoad>(summary.loads, &FromWire);
  out.live_hosts = FromWireCount(summary.live_hosts);
  out.catalogue_revision = FromWireCount(summary.catalogue_revision);
  out.age = FromWireAge(summary.age_ms);
  return out;
}

}  // namespace

wire::ServiceLoad ToWire(const membership::ServiceLoad& load) {
  wire::ServiceLoad out;
  out.service_name = load.service.Value();
  out.demand_per_second = load.demand_per_second;
  out.outstanding = ToWireCount(load.outstanding);
  out.queued = ToWireCount(load.queued);
  out.usable_slots = ToWireCount(load.usable_slots);
  out.refused_per_second = load.refused_per_second;
  out.shifted_in_per_second = load.shifted_in_per_second;
  return out;
}

membership::ServiceLoad FromWire(const wire::ServiceLoad& load) {
  return {.service = ServiceName(load.service_name),
          .demand_per_second = std::max(0.0, load.demand_per_second),
          .outstanding = FromWireCount(load.outstanding),
          .queued = FromWireCount(load.queued),
          .usable_slots = FromWireCount(load.usable_slots),
          .refused_per_second = std::max(0.0, load.refused_per_second),
          .shifted_in_per_second = std::max(0.0, load.shifted_in_per_second)};
}

wire::HostState ToWire(const membership::HostState& state) {
  wire::HostState out;
  out.host = state.host.Value();
  out.failure_domain = state.failure_domain.Value();
  out.incarnation = static_cast<std::int64_t>(state.number.incarnation);
  out.sequence = static_cast<std::int64_t>(state.number.sequence);
  out.phase = static_cast<std::int32_t>(state.phase);
  out.lookup_address = state.lookup_address;
  out.entry_address = state.entry_address;
  out.peer_address = state.peer_address;
  out.share_address = state.share_address;
  out.catalogue_revision = static_cast<std::int64_t>(state.catalogue_revision);
  out.loads = ConvertAll<wire::ServiceLoad>(state.loads, &ToWire);
  out.age_ms = ToWireAge(state.age);
  for (const auto& [domain, seat] : state.seats) {
    out.seats[domain.Value()] = ToWireCount(seat);
  }
  return out;
}

membership::HostState FromWire(const wire::HostState& state) {
  membership::HostState out;
  out.host = HostName(state.host);
  out.failure_domain = FailureDomainName(state.failure_domain);
  out.number = {FromWireCount(state.incarnation),
                FromWireCount(state.sequence)};
  out.phase = PhaseFromWire(state.phase);
  out.lookup_address = state.lookup_address;
  out.entry_address = state.entry_address;
  out.peer_address = state.peer_address;
  out.share_address = state.share_address;
  out.catalogue_revision = FromWireCount(state.catalogue_revision);
  out.loads = ConvertAll<membership::ServiceLoad>(state.loads, &FromWire);
  out.age = FromWireAge(state.age_ms);
  for (const auto& [domain, seat] : state.seats) {
    out.seats[FailureDomainName(domain)] = FromWireCount(seat);
  }
  return out;
}

wire::TargetObservation ToWire(
    const membership::TargetObservation& observation) {
  wire::TargetObservation out;
  out.target = observation.target.Value();
  out.observer = observation.observer.Value();
  out.sequence = static_cast<std::int64_t>(observation.sequence);
  out.is_leaving = observation.is_leaving;
  out.is_ejected = observation.is_ejected;
  out.outstanding = ToWireCount(observation.outstanding);
  out.latency_ms = ToSeconds(observation.latency) * 1000.0;
  out.age_ms = ToWireAge(observation.age);
  return out;
}

membership::TargetObservation FromWire(
    const wire::TargetObservation& observation) {
  return {.target = TargetName(observation.target),
          .observer = HostName(observation.observer),
          .sequence = FromWireCount(observation.sequence),
          .is_leaving = observation.is_leaving,
          .is_ejected = observation.is_ejected,
          .outstanding = FromWireCount(observation.outstanding),
          .latency =
              FromSeconds(std::clamp(observation.latency_ms, 0.0, 1e9) / 1000),
          .age = FromWireAge(observation.age_ms)};
}

wire::Exchange ToWire(const membership::ExchangeContent& content,
                      std::uint64_t catalogue_revision) {
  wire::Exchange out;
  out.protocol_version = wire::g_medlarcroft_constants.PROTOCOL_VERSION;
  out.sender = ToWire(content.sender);
  out.hosts = ConvertAll<wire::HostState>(content.hosts, &ToWire);
  out.observations =
      ConvertAll<wire::TargetObservation>(content.observations, &ToWire);
  out.summaries =
      ConvertAll<wire::DomainSummary>(content.summaries, &SummaryToWire);
  out.catalogue_revision = static_cast<std::int64_t>(catalogue_revision);
  out.heartbeats = membership::EncodeHeartbeats(content.heartbeats);
  return out;
}

membership::ExchangeContent FromWire(const wire::Exchange& exchange) {
  membership::ExchangeContent out;
  out.sender = FromWire(exchange.sender);
  out.hosts = ConvertAll<membership::HostState>(exchange.hosts, &FromWire);
  out.observations = ConvertAll<membership::TargetObservation>(
      exchange.observations, &FromWire);
  out.summaries = ConvertAll<membership::DomainSummary>(exchange.summaries,
                                                        &SummaryFromWire);
  // A field that can't be decoded loses only the heartbeats in it.
  out.heartbeats =
      membership::DecodeHeartbeats(exchange.heartbeats).value_or(Heartbeats());
  return out;
}

}  // namespace medlarcroft::adapters
