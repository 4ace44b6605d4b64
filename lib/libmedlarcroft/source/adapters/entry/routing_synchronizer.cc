#include "adapters/entry/routing_synchronizer.h"

#include <memory>
#include <utility>

#include "adapters/peer/wire_conversion.h"

namespace medlarcroft::adapters {

namespace {

/// Loopback to a process that answers from memory; longer means that it hangs.
constexpr Duration kCallTimeout = std::chrono::milliseconds(200);

wire::TargetObservation ToWire(const decision::TargetObservationReport& seen) {
  wire::TargetObservation observation;
  observation.target = seen.target.Value();
  observation.is_leaving = seen.is_leaving;
  observation.is_ejected = seen.is_ejected;
  observation.outstanding = static_cast<std::int32_t>(seen.outstanding);
  observation.latency_ms = ToSeconds(seen.latency) * 1000.0;
  return observation;
}

}  // namespace

RoutingSynchronizer::RoutingSynchronizer(const Options& options,
                                         const Parts& parts)
    : options_(options),
      parts_(parts),
      channel_(options.routing_address, kCallTimeout) {}

void RoutingSynchronizer::Exchange() {
  const wire::EntryReport report = MakeReport();
  const auto reported = channel_.Invoke([&report](wire::RoutingClient& client) {
    wire::ReportAnswer answer;
    client.report(answer, report);
    return answer;
  });
  if (!IsOk(reported)) {
    is_connected_ = false;
    return;
  }
  wanted_local_keys_ = ValueOf(reported).wanted_local_keys;
  wanted_durable_keys_ = ValueOf(reported).wanted_durable_keys;

  const MonotonicTime requested_at = parts_.clock.Now();
  const auto answer = channel_.Invoke([this](wire::RoutingClient& client) {
    wire::RoutingSnapshot snapshot;
    client.snapshot(snapshot, number_, 0);
    return snapshot;
  });
  is_connected_ = IsOk(answer);
  if (!is_connected_ || ValueOf(answer).number == 0) {
    return;
  }
  number_ = ValueOf(answer).number;
  const RoutingTable routes = ToRoutingTable(ValueOf(answer), requested_at);
  parts_.capacity.ApplyPlan(routes.capacity);
  parts_.shifts.ApplyRoutes(
      routes, parts_.capacity.OwnRateShare(options_.failure_domain, 1.0));
  parts_.engine.ApplyRoutes(WithShares(routes));
}

void RoutingSynchronizer::RefreshShares() {
  // Mostly nothing has changed, and copying all services ten times a second
  // was the larger part of what entryd spent at rest.
  const SharedRoutingTable routes = parts_.engine.Routes();
  if (routes && HaveSharesChanged(*routes)) {
    parts_.engine.ApplyRoutes(WithShares(*routes));
  }
}

bool RoutingSynchronizer::HaveSharesChanged(const RoutingTable& routes) const {
  for (const auto& [name, service] : routes.services) {
    for (const decision::TargetConfig& target : service.config.targets) {
      if (target.share != parts_.capacity.UsableSlotsOf(target.name).Total()) {
        return true;
      }
    }
  }
  return false;
}

SharedRoutingTable RoutingSynchronizer::WithShares(
    const RoutingTable& routes) const {
  auto shared = std::make_shared<RoutingTable>(routes);
  for (auto& [name, service] : shared->services) {
    for (decision::TargetConfig& target : service.config.targets) {
      target.share = parts_.capacity.UsableSlotsOf(target.name).Total();
    }
  }
  return shared;
}

std::vector<TargetName> RoutingSynchronizer::PressedTargets() const {
  std::vector<TargetName> pressed;
  const SharedRoutingTable routes = parts_.engine.Routes();
  if (!routes) {
    return pressed;
  }
  for (const ServiceLoad& load : parts_.engine.Loads()) {
    const ServiceRoute* service = routes->Find(load.service);
    const bool is_full = load.outstanding >= load.usable_slots;
    if (service == nullptr || (load.queued == 0 && !is_full) ||
        load.demand_per_second <= 0) {
      continue;
    }
    for (const decision::TargetConfig& target : service->config.targets) {
      if (!target.is_leaving) {
        pressed.push_back(target.name);
      }
    }
  }
  return pressed;
}

wire::EntryReport RoutingSynchronizer::MakeReport() {
  wire::EntryReport report;
  report.incarnation = static_cast<std::int64_t>(options_.incarnation);
  report.entry_address = options_.entry_address;
  report.share_address = options_.share_address;
  report.snapshot_number = number_;
  report.is_leaving = is_leaving_;
  for (const ServiceLoad& load : parts_.engine.Loads()) {
    report.loads.push_back(ToWire(load));
  }
  for (const auto& seen : parts_.engine.Observations()) {
    report.observations.push_back(ToWire(seen));
  }
  for (const auto& [domain, seat] : parts_.capacity.Seats()) {
    report.seats[domain.Value()] = static_cast<std::int32_t>(seat);
  }
  for (const HostName& host : parts_.capacity.HostsToProbe()) {
    report.wants_called.push_back(host.Value());
  }
  const auto issue = [this](std::int32_t& wanted, idempotency::Mode mode,
                            std::vector<std::string>& keys) {
    for (; wanted > 0; --wanted) {
      keys.push_back(parts_.keys.Issue(mode));
    }
  };
  issue(wanted_local_keys_, idempotency::Mode::kLocal, report.local_keys);
  issue(wanted_durable_keys_, idempotency::Mode::kDurable, report.durable_keys);
  return report;
}

}  // namespace medlarcroft::adapters
