#include "adapters/steer/snapshot_builder.h"

#include <algorithm>
#include <limits>

#include "adapters/peer/wire_conversion.h"
#include "gen-cpp/medlarcroft_constants.h"

namespace medlarcroft::adapters {

namespace {

std::int32_t ToClampedMilliseconds(Duration duration) {
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(
      ToMilliseconds(duration), 0, std::numeric_limits<std::int32_t>::max()));
}

bool IsServedHere(const SnapshotInputs& inputs,
                  const FailureDomainName& domain) {
  return domain == inputs.own_domain || inputs.siblings.contains(domain);
}

wire::TargetRoute MakeTargetRoute(const SnapshotInputs& inputs,
                                  const catalogue::TargetSpec& target) {
  wire::TargetRoute route;
  route.target = target.name.Value();
  route.address = target.address;
  route.slots = static_cast<std::int32_t>(target.slots);
  route.max_connections = static_cast<std::int32_t>(target.max_connections);
  route.failure_domain = target.failure_domain.Value();
  route.is_leaving =
      inputs.targets.IsLeaving(target.name) ||
      inputs.catalogue.IsDrained(catalogue::DrainSubject::kFailureDomain,
                                 target.failure_domain.Value());
  return route;
}

std::vector<std::string> EntryAddressesIn(const SnapshotInputs& inputs,
                                          const FailureDomainName& domain) {
  std::vector<std::string> addresses;
  for (const membership::Member& member : inputs.members) {
    const bool is_usable =
        member.liveness != membership::Liveness::kDead &&
        member.liveness != membership::Liveness::kLeaving &&
        member.state.phase == membership::HostPhase::kReady &&
        !inputs.catalogue.IsDrained(catalogue::DrainSubject::kHost,
                                    member.state.host.Value());
    if (member.state.failure_domain == domain && is_usable &&
        !member.state.entry_address.empty()) {
      addresses.push_back(member.state.entry_address);
    }
  }
  return addresses;
}

wire::ServiceRoute MakeServiceRoute(const SnapshotInputs& inputs,
                                    const catalogue::ServiceEntry& service) {
  const catalogue::RequestClass& request_class = service.request_class;
  wire::ServiceRoute route;
  route.service_name = service.service.Value();
  route.class_name = request_class.name;
  route.key_mode = static_cast<std::int32_t>(request_class.key_mode);
  route.deadline_ms = ToClampedMilliseconds(request_class.deadline);
  route.queue_limit_ms = ToClampedMilliseconds(request_class.queue_limit);
  route.max_request_bytes =
      static_cast<std::int32_t>(request_class.max_request_bytes);
  route.max_answer_bytes =
      static_cast<std::int32_t>(request_class.max_answer_bytes);
  route.may_hedge = request_class.may_hedge;
  route.expected_service_time_us = static_cast<std::int32_t>(
      request_class.expected_service_time / std::chrono::microseconds(1));
  route.reserved_headroom = service.reserved_headroom;

  for (const catalogue::BrandShare& brand : service.brands) {
    wire::BrandWeight weight;
    weight.brand = brand.brand.Value();
    weight.weight = brand.weight;
    route.brands.push_back(std::move(weight));
  }
  for (const catalogue::TargetSpec& target : service.targets) {
    if (IsServedHere(inputs, target.failure_domain)) {
      route.targets.push_back(MakeTargetRoute(inputs, target));
    }
  }
  for (const steering::PlannedShift& shift : inputs.plan.shifts) {
    if (shift.service != service.service || shift.from != inputs.own_domain ||
        shift.rate <= 0) {
      continue;
    }
    wire::DomainRoute domain;
    domain.failure_domain = shift.to.Value();
    domain.entry_addresses = EntryAddressesIn(inputs, shift.to);
    domain.share = shift.fraction;
    domain.rate = shift.rate;
    route.shifts.push_back(std::move(domain));
  }
  return route;
}

wire::HostRoute MakeHostRoute(const membership::Member& member,
                              MonotonicTime now) {
  wire::HostRoute host;
  host.host = member.state.host.Value();
  host.failure_domain = member.state.failure_domain.Value();
  host.entry_address = member.state.entry_address;
  host.share_address = member.state.share_address;
  for (const auto& [domain, seat] : member.state.seats) {
    host.seats[domain.Value()] = static_cast<std::int32_t>(seat);
  }
  host.incarnation = static_cast<std::int64_t>(member.state.number.incarnation);
  host.is_listed_live = member.is_listed_live;
  host.answered_age_ms = member.answered_at
                             ? ToClampedMilliseconds(now - *member.answered_at)
                             : -1;
  host.silent_ms =
      member.silent_for ? ToClampedMilliseconds(*member.silent_for) : -1;
  host.claim_age_ms = ToClampedMilliseconds(member.content_age);
  for (const membership::ServiceLoad& load : member.state.loads) {
    host.loads.push_back(ToWire(load));
  }
  return host;
}

wire::SeatDomain MakeSeatDomain(const SnapshotInputs& inputs,
                                const FailureDomainName& name,
                                bool is_sibling) {
  wire::SeatDomain domain;
  domain.failure_domain = name.Value();
  const auto* entry = inputs.catalogue.FindFailureDomain(name);
  domain.seats = entry == nullptr ? 0 : static_cast<std::int32_t>(entry->seats);
  // The revision of the whole catalogue is the same on all hosts and never
  // decreases. The highest revision of the existing entries would decrease when
  // an entry is deleted.
  domain.split_revision =
      static_cast<std::int64_t>(inputs.catalogue.Revision());
  domain.is_sibling = is_sibling;
  return domain;
}

}  // namespace

wire::RoutingSnapshot BuildSnapshot(const SnapshotInputs& inputs) {
  wire::RoutingSnapshot snapshot;
  snapshot.protocol_version = wire::g_medlarcroft_constants.PROTOCOL_VERSION;
  snapshot.catalogue_revision =
      static_cast<std::int64_t>(inputs.catalogue.Revision());
  for (const catalogue::ServiceEntry* service : inputs.catalogue.Services()) {
    snapshot.services.push_back(MakeServiceRoute(inputs, *service));
  }
  for (const membership::Member& member : inputs.members) {
    snapshot.hosts.push_back(MakeHostRoute(member, inputs.now));
  }
  for (const catalogue::LinkEntry* link : inputs.catalogue.Links()) {
    if (link->from == inputs.own_domain) {
      wire::LinkRoute route;
      route.failure_domain = link->to.Value();
      route.capacity = link->capacity;
      snapshot.links.push_back(std::move(route));
    }
  }
  snapshot.seat_domains.push_back(
      MakeSeatDomain(inputs, inputs.own_domain, /*is_sibling=*/false));
  for (const FailureDomainName& sibling : inputs.siblings) {
    snapshot.seat_domains.push_back(
        MakeSeatDomain(inputs, sibling, /*is_sibling=*/true));
  }
  return snapshot;
}

}  // namespace medlarcroft::adapters
