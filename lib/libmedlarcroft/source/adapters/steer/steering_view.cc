#include "adapters/steer/steering_view.h"

namespace medlarcroft::adapters {

namespace {

steering::EntryHostLiveness ToLiveness(membership::Liveness liveness) {
  switch (liveness) {
    case membership::Liveness::kAlive:
      return steering::EntryHostLiveness::kAlive;
    case membership::Liveness::kSuspect:
      return steering::EntryHostLiveness::kSuspect;
    case membership::Liveness::kDead:
      return steering::EntryHostLiveness::kDead;
    default:
      return steering::EntryHostLiveness::kUnknown;
  }
}

steering::ServiceLoad ToSteering(const membership::ServiceLoad& load) {
  return {.service = load.service,
          .demand_per_second = load.demand_per_second,
          .outstanding = static_cast<double>(load.outstanding),
          .queued = static_cast<double>(load.queued),
          .usable_slots = static_cast<double>(load.usable_slots),
          .refused_per_second = load.refused_per_second,
          .shifted_in_per_second = load.shifted_in_per_second};
}

std::vector<steering::ServiceLoad> ToSteering(
    const std::vector<membership::ServiceLoad>& loads) {
  std::vector<steering::ServiceLoad> converted;
  converted.reserve(loads.size());
  for (const membership::ServiceLoad& load : loads) {
    converted.push_back(ToSteering(load));
  }
  return converted;
}

steering::DomainLoad ToSteering(const membership::DomainSummary& summary) {
  return {.failure_domain = summary.failure_domain,
          .live_hosts = summary.live_hosts,
          .age = summary.age,
          .loads = ToSteering(summary.loads)};
}

steering::EntryHostPhase PhaseOf(const membership::HostState& state,
                                 bool is_leaving,
                                 const catalogue::CatalogueView& catalogue) {
  if (is_leaving ||
      catalogue.IsDrained(catalogue::DrainSubject::kHost, state.host.Value())) {
    return steering::EntryHostPhase::kLeaving;
  }
  return state.phase == membership::HostPhase::kReady
             ? steering::EntryHostPhase::kReady
             : steering::EntryHostPhase::kStarting;
}

}  // namespace

std::vector<steering::EntryHost> EntryHostsOf(
    const membership::MembershipTable& members,
    const catalogue::CatalogueView& catalogue) {
  std::vector<steering::EntryHost> hosts;
  const auto add = [&](const membership::HostState& state,
                       steering::EntryHostLiveness liveness, bool is_leaving) {
    if (state.entry_address.empty()) {
      return;
    }
    hosts.push_back({.host = state.host,
                     .address = state.entry_address,
                     .failure_domain = state.failure_domain,
                     .phase = PhaseOf(state, is_leaving, catalogue),
                     .liveness = liveness,
                     .loads = ToSteering(state.loads)});
  };

  const membership::HostState& self = members.Self();
  add(self, steering::EntryHostLiveness::kAlive,
      self.phase == membership::HostPhase::kLeaving);
  for (const membership::Member& member : members.Members()) {
    const bool is_leaving =
        member.liveness == membership::Liveness::kLeaving ||
        member.state.phase == membership::HostPhase::kLeaving;
    add(member.state, ToLiveness(member.liveness), is_leaving);
  }
  return hosts;
}

std::vector<steering::DomainLoad> DomainLoadsOf(
    const membership::MembershipTable& members) {
  std::vector<steering::DomainLoad> loads;
  loads.push_back(ToSteering(members.Summarise()));
  for (const membership::DomainSummary& summary : members.Summaries()) {
    loads.push_back(ToSteering(summary));
  }
  return loads;
}

}  // namespace medlarcroft::adapters
