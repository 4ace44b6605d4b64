#include "adapters/entry/routing_table.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::adapters {

namespace {

catalogue::RequestClass ToRequestClass(const wire::ServiceRoute& route) {
  catalogue::RequestClass request_class;
  request_class.name = route.class_name;
  request_class.key_mode = static_cast<catalogue::KeyMode>(route.key_mode);
  request_class.deadline = std::chrono::milliseconds(route.deadline_ms);
  request_class.queue_limit = std::chrono::milliseconds(route.queue_limit_ms);
  request_class.max_request_bytes =
      static_cast<std::size_t>(std::max(0, route.max_request_bytes));
  request_class.max_answer_bytes =
      static_cast<std::size_t>(std::max(0, route.max_answer_bytes));
  request_class.may_hedge = route.may_hedge;
  request_class.expected_service_time =
      std::chrono::microseconds(route.expected_service_time_us);
  return request_class;
}

std::uint32_t ToCount(std::int32_t number) {
  return static_cast<std::uint32_t>(std::max(0, number));
}

decision::TargetConfig ToTargetConfig(const wire::TargetRoute& route) {
  return {.name = TargetName(route.target),
          .slots = ToCount(route.slots),
          .share = 0,
          .max_connections = ToCount(route.max_connections),
          .is_leaving = route.is_leaving};
}

ServiceRoute ToServiceRoute(const wire::ServiceRoute& route) {
  ServiceRoute service;
  service.config.service = ServiceName(route.service_name);
  service.config.request_class = ToRequestClass(route);
  service.config.reserved_headroom = route.reserved_headroom;
  for (const wire::BrandWeight& brand : route.brands) {
    service.config.brands.push_back(
        {.brand = BrandName(brand.brand), .weight = brand.weight});
  }
  for (const wire::TargetRoute& target : route.targets) {
    service.config.targets.push_back(ToTargetConfig(target));
    service.target_addresses[TargetName(target.target)] = target.address;
  }
  for (const wire::DomainRoute& shift : route.shifts) {
    service.shifts.push_back(
        {.failure_domain = FailureDomainName(shift.failure_domain),
         .entry_addresses = shift.entry_addresses,
         .share = shift.share,
         .rate = shift.rate});
  }
  return service;
}

std::map<FailureDomainName, std::uint32_t> ToSeats(
    const std::map<std::string, std::int32_t>& seats) {
  std::map<FailureDomainName, std::uint32_t> converted;
  for (const auto& [domain, seat] : seats) {
    converted[FailureDomainName(domain)] = ToCount(seat);
  }
  return converted;
}

void AddSlotLimits(const wire::ServiceRoute& service,
                   capacity::CapacityPlan& plan) {
  for (const wire::TargetRoute& target : service.targets) {
    plan.limits.push_back(
        {.target = TargetName(target.target),
         .failure_domain = FailureDomainName(target.failure_domain),
         .slots = ToCount(target.slots)});
  }
}

void AddHost(const wire::HostRoute& host,
             const std::vector<capacity::SeatDomainPlan>& domains,
             MonotonicTime requested_at,
             capacity::CapacityPlan& plan) {
  const FailureDomainName domain(host.failure_domain);
  const bool is_known_domain = std::ranges::any_of(
      domains, [&domain](const capacity::SeatDomainPlan& each) {
        return each.failure_domain == domain;
      });
  // A host of which only the name is known is treated as a member of one of
  // these failure domains.
  if (!is_known_domain && !domain.IsEmpty()) {
    return;
  }
  const auto seats = ToSeats(host.seats);
  plan.lenders.push_back({.host = HostName(host.host), .seats = seats});

  capacity::PeerEvidence evidence{
      .host = HostName(host.host),
      .incarnation = static_cast<std::uint64_t>(host.incarnation),
      .failure_domain = domain,
      .is_listed_live = host.is_listed_live};
  if (host.answered_age_ms >= 0) {
    evidence.answered_at =
        requested_at - std::chrono::milliseconds(host.answered_age_ms);
  }
  if (host.silent_ms >= 0) {
    evidence.silent_for = std::chrono::milliseconds(host.silent_ms);
  }
  evidence.claimed_at =
      requested_at - std::chrono::milliseconds(std::max(0, host.claim_age_ms));
  plan.evidence.peers.push_back({.peer = evidence, .seats = seats});
}

capacity::CapacityPlan ToCapacityPlan(const wire::RoutingSnapshot& snapshot,
                                      MonotonicTime requested_at) {
  capacity::CapacityPlan plan;
  for (const wire::SeatDomain& domain : snapshot.seat_domains) {
    plan.domains.push_back(
        {.failure_domain = FailureDomainName(domain.failure_domain),
         .seats = ToCount(domain.seats),
         .split_revision = static_cast<std::uint64_t>(domain.split_revision),
         .is_sibling = domain.is_sibling});
  }
  for (const wire::ServiceRoute& service : snapshot.services) {
    AddSlotLimits(service, plan);
  }
  for (const wire::HostRoute& host : snapshot.hosts) {
    AddHost(host, plan.domains, requested_at, plan);
  }
  plan.evidence.is_list_fresh = snapshot.is_host_list_fresh;
  return plan;
}

}  // namespace

const ServiceRoute* RoutingTable::Find(const ServiceName& service) const {
  const auto found = services.find(service);
  return found == services.end() ? nullptr : &found->second;
}

RoutingTable ToRoutingTable(const wire::RoutingSnapshot& snapshot,
                            MonotonicTime requested_at) {
  RoutingTable table;
  table.number = snapshot.number;
  table.catalogue_revision = snapshot.catalogue_revision;
  for (const wire::ServiceRoute& route : snapshot.services) {
    table.services[ServiceName(route.service_name)] = ToServiceRoute(route);
  }
  for (const wire::HostRoute& host : snapshot.hosts) {
    table.hosts[HostName(host.host)] = {.entry_address = host.entry_address,
                                        .share_address = host.share_address};
  }
  for (const wire::LinkRoute& link : snapshot.links) {
    table.links[FailureDomainName(link.failure_domain)] = link.capacity;
  }
  table.capacity = ToCapacityPlan(snapshot, requested_at);
  return table;
}

}  // namespace medlarcroft::adapters
