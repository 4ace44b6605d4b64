#include "adapters/entry/shift_chooser.h"

#include <map>
#include <vector>

namespace medlarcroft::adapters {

ShiftChooser::ShiftChooser(const ports::Clock& clock,
                           ports::RandomSource& random)
    : random_(random), limiter_(clock) {}

void ShiftChooser::ApplyRoutes(const RoutingTable& routes,
                               double host_fraction) {
  std::vector<steering::LinkAllowance> links;
  for (const auto& [domain, capacity] : routes.links) {
    links.push_back({.to = domain, .capacity_share = capacity * host_fraction});
  }
  std::vector<steering::ShiftAllowance> shifts;
  for (const auto& [name, service] : routes.services) {
    for (const ShiftRoute& shift : service.shifts) {
      shifts.push_back({.service = name,
                        .to = shift.failure_domain,
                        .rate = shift.rate * host_fraction});
    }
  }
  const std::lock_guard lock(mutex_);
  limiter_.Update(links, shifts);
}

std::optional<ShiftChoice> ShiftChooser::Choose(const ServiceRoute& service) {
  if (service.shifts.empty()) {
    return std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  double drawn = random_.NextUnit();
  for (const ShiftRoute& shift : service.shifts) {
    drawn -= shift.share;
    if (drawn >= 0) {
      continue;
    }
    if (shift.entry_addresses.empty() ||
        !IsOk(limiter_.TryForward(service.config.service,
                                  shift.failure_domain))) {
      return std::nullopt;
    }
    const std::uint64_t index = random_.NextBelow(shift.entry_addresses.size());
    return ShiftChoice{shift.failure_domain, shift.entry_addresses.at(index)};
  }
  return std::nullopt;
}

void ShiftChooser::OnAnswer(const ServiceName& service,
                            const FailureDomainName& to,
                            bool is_accepted) {
  const std::lock_guard lock(mutex_);
  limiter_.OnAnswer(service, to, is_accepted);
}

}  // namespace medlarcroft::adapters
