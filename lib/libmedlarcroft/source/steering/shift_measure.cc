#include "shift_measure.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "entry_host_weight.h"

namespace medlarcroft::steering {

namespace {

/// Measured service times are used up to this multiple of the catalogue's. A
/// longer one is a fault of the targets, which sending nothing does not cure.
constexpr double kMaxServiceTimeFactor = 4.0;
/// Measured service times below this multiple of the catalogue's are
/// measurement noise.
constexpr double kMinServiceTimeFactor = 1.25;
/// Time constants of the moving averages. The first delays the reaction to a
/// surge by about as much as the exchange of measurements does.
constexpr Duration kLoadTimeConstant = std::chrono::seconds(3);
constexpr Duration kServiceTimeTimeConstant = std::chrono::seconds(20);
/// Minimum work from which a service time is derived, in requests and in
/// requests per second; with less, the time cannot be estimated.
constexpr double kMinOutstanding = 1.0;
constexpr double kMinServedPerSecond = 1.0;
/// A pool is congested when its callers wait for this fraction of the queue
/// limit or this fraction of them is refused.
constexpr double kCongestedWaitFraction = 0.1;
constexpr double kCongestedRefusedFraction = 0.01;
/// Step by which rates are changed, as a fraction of the mean capacity.
constexpr double kRateStepFraction = 0.01;

double ConfidenceOf(const DomainLoad* load,
                    const ShiftPlannerOptions& options) {
  if (load == nullptr || load->age >= options.stale_age) {
    return 0.0;
  }

  if (load->age <= options.fresh_age) {
    return 1.0;
  }

  return ToSeconds(options.stale_age - load->age) /
         ToSeconds(options.stale_age - options.fresh_age);
}

/// @param position index of the load if the domain reports the services in the
/// catalogue's order, as it does when it knows the same ones.
const ServiceLoad* FindLoadAt(const DomainLoad* domain,
                              const ServiceName& service,
                              std::size_t position) {
  if (domain == nullptr) {
    return nullptr;
  }

  const std::vector<ServiceLoad>& loads = domain->loads;
  if (position < loads.size() && loads[position].service == service) {
    return &loads[position];
  }

  return FindLoad(loads, service);
}

const DomainLoad* FindDomain(std::span<const DomainLoad> domains,
                             const FailureDomainName& name) {
  for (const DomainLoad& domain : domains) {
    if (domain.failure_domain == name) {
      return &domain;
    }
  }
  return nullptr;
}

void UpdateAverage(double& smoothed, double sample, double weight) {
  smoothed += (sample - smoothed) * weight;
}

void UpdateSmoothedLoad(SmoothedLoad& smoothed,
                        const ServiceLoad& sample,
                        double expected_seconds,
                        double outflow,
                        MonotonicTime now) {
  const double served =
      std::max(sample.demand_per_second + sample.shifted_in_per_second -
                   sample.refused_per_second,
               0.0);

  if (!smoothed.updated_at) {
    smoothed = {.load = sample,
                // A single sample is noise: start from the catalogue's time.
                .slow_outstanding = served * expected_seconds,
                .slow_served = served,
                .updated_at = now};
    return;
  }

  const double elapsed = ToSeconds(now - *smoothed.updated_at);
  const double weight = 1.0 - std::exp(-elapsed / ToSeconds(kLoadTimeConstant));
  const double slow_weight =
      1.0 - std::exp(-elapsed / ToSeconds(kServiceTimeTimeConstant));
  ServiceLoad& load = smoothed.load;
  UpdateAverage(load.demand_per_second, sample.demand_per_second, weight);
  UpdateAverage(load.outstanding, sample.outstanding, weight);
  UpdateAverage(load.queued, sample.queued, weight);
  UpdateAverage(load.refused_per_second, sample.refused_per_second, weight);
  UpdateAverage(load.shifted_in_per_second, sample.shifted_in_per_second,
                weight);
  // The outflow is a planned rate, not a measured one: counting it would make a
  // domain look slower the more it forwards.
  if (outflow <= 0.0) {
    UpdateAverage(smoothed.slow_outstanding, sample.outstanding, slow_weight);
    UpdateAverage(smoothed.slow_served, served, slow_weight);
  }
  // Slots are counted, not sampled, so a change takes effect at once.
  load.usable_slots = sample.usable_slots;
  smoothed.updated_at = now;
}

/// The catalogue's service time is a hint; by Little's law, outstanding
/// requests divided by requests served per second give the actual one. Only a
/// longer time is used, because it reduces the capacity that the planner counts
/// on.
Duration ServiceTimeOf(const catalogue::RequestClass& request_class,
                       const SmoothedLoad& smoothed) {
  const double expected = ToSeconds(request_class.expected_service_time);
  const bool has_enough_work = smoothed.slow_outstanding >= kMinOutstanding &&
                               smoothed.slow_served >= kMinServedPerSecond;
  const double measured = has_enough_work
                              ? smoothed.slow_outstanding / smoothed.slow_served
                              : expected;

  if (measured < expected * kMinServiceTimeFactor) {
    return request_class.expected_service_time;
  }
  return FromSeconds(std::min(measured, expected * kMaxServiceTimeFactor));
}

/// @return whether a noticeable part of the domain's own callers waits or is
/// refused.
bool IsCongested(const ServerPool& pool,
                 const ServiceLoad& load,
                 const catalogue::RequestClass& request_class) {
  const double capacity = pool.Capacity();
  const double wait = capacity > 0.0 ? load.queued / capacity : 0.0;
  return wait > kCongestedWaitFraction * ToSeconds(request_class.queue_limit) ||
         pool.refused_fraction > kCongestedRefusedFraction;
}

void MeasureOffer(PoolModel& pool,
                  const catalogue::ServiceEntry& service,
                  double confidence,
                  const ShiftPlannerOptions& options,
                  MonotonicTime now) {
  const double headroom = std::clamp(service.reserved_headroom, 0.0, 1.0);
  const double warm_fraction =
      pool.state->warm_up.Fraction(now, options.warm_up);
  const double free =
      pool.servers.Capacity() * (1.0 - headroom) - pool.committed_demand;
  pool.spare = std::max(free, 0.0) * confidence * warm_fraction;

  if (confidence < 1.0) {
    pool.spare_bound = ShiftBound::kReceiverStale;
  } else if (warm_fraction < 1.0) {
    pool.spare_bound = ShiftBound::kReceiverCold;
  }
}

void MeasurePool(ServiceModel& model,
                 std::size_t domain,
                 double pending,
                 const ShiftPlannerOptions& options,
                 MonotonicTime now) {
  const catalogue::ServiceEntry& service = model.Service();
  const DomainModel& domain_model = model.Domain(domain);
  PoolModel& pool = model.Pool(domain);
  const ServiceLoad* load =
      FindLoadAt(domain_model.load, service.service, model.Position());
  pool.servers.service_time = service.request_class.expected_service_time;

  if (load == nullptr) {
    pool.spare_bound = ShiftBound::kReceiverStale;
    return;
  }

  UpdateSmoothedLoad(pool.state->smoothed, *load,
                     ToSeconds(service.request_class.expected_service_time),
                     pool.outflow, now);
  load = &pool.state->smoothed.load;
  pool.servers.service_time =
      ServiceTimeOf(service.request_class, pool.state->smoothed);
  pool.servers.slots = load->usable_slots;
  pool.servers.queued = load->queued;
  pool.servers.refused_fraction =
      load->demand_per_second > 0.0
          ? std::min(load->refused_per_second / load->demand_per_second, 1.0)
          : 0.0;
  pool.is_measured = domain_model.confidence > 0.0;
  pool.is_congested = IsCongested(pool.servers, *load, service.request_class);
  pool.demand = load->demand_per_second;

  const double unplanned_inflow = std::max(
      load->shifted_in_per_second - pool.state->inflow_peak.value, 0.0);
  pool.committed_demand = std::max(pool.demand, pending) + unplanned_inflow;
  MeasureOffer(pool, service, domain_model.confidence, options, now);
}

void RestoreShifts(ServiceModel& model) {
  for (std::size_t from = 0; from < model.Size(); ++from) {
    for (std::size_t to = 0; to < model.Size(); ++to) {
      ShiftState& state = model.State().shifts[model.PairIndex(from, to)];
      if (model.Link(from, to).entry == nullptr) {
        state = {};  // A link that reappears starts at the rate 0.
        continue;
      }

      model.Shift(from, to).state = &state;
      model.ChangeRate(from, to, state.growth.Rate());
    }
  }
}

}  // namespace

Topology MeasureTopology(const ShiftInputs& inputs,
                         const ShiftPlannerOptions& options,
                         ShiftPlanner::State& state,
                         MonotonicTime now) {
  Topology topology;
  const catalogue::CatalogueView& view = *inputs.catalogue;
  state.SyncWithCatalogue(view);
  state.links.resize(state.domains.size() * state.domains.size());

  for (const catalogue::FailureDomainEntry* entry : view.FailureDomains()) {
    const DomainLoad* load = FindDomain(inputs.domains, entry->failure_domain);
    topology.domains.push_back(
        {.entry = entry,
         .load = load,
         .is_drained = view.IsDrained(catalogue::DrainSubject::kFailureDomain,
                                      entry->failure_domain.Value()),
         .confidence = ConfidenceOf(load, options)});
  }

  std::map<FailureDomainName, std::size_t> indices;
  for (std::size_t domain = 0; domain < topology.Size(); ++domain) {
    indices[topology.domains[domain].entry->failure_domain] = domain;
  }

  const std::size_t pairs = topology.Size() * topology.Size();
  topology.links.resize(pairs);
  for (const catalogue::LinkEntry* link : view.Links()) {
    const auto from = indices.find(link->from);
    const auto to = indices.find(link->to);
    if (from == indices.end() || to == indices.end() || from == to) {
      continue;
    }

    const std::size_t pair_index = topology.PairIndex(from->second, to->second);
    GrowthLimit& growth = state.links[pair_index];
    topology.links[pair_index] = {
        .entry = link,
        .growth = &growth,
        .ceiling = growth.Ceiling(now, link->shift_step, link->shift_window)};
  }

  for (std::size_t pair_index = 0; pair_index < pairs; ++pair_index) {
    if (topology.links[pair_index].entry == nullptr) {
      state.links[pair_index] = {};
    }
  }

  return topology;
}

PendingByPool IndexPending(std::span<const PendingDemand> pending) {
  PendingByPool index;
  for (const PendingDemand& demand : pending) {
    index[{demand.service, demand.failure_domain}] += demand.demand_per_second;
  }
  return index;
}

void MeasureService(ServiceModel& model,
                    const PendingByPool& pending,
                    const ShiftPlannerOptions& options,
                    MonotonicTime now) {
  RestoreShifts(model);
  double capacity = 0.0;

  for (std::size_t domain = 0; domain < model.Size(); ++domain) {
    PoolModel& pool = model.Pool(domain);
    pool.state = &model.State().pools[domain];
    const auto found = pending.find(
        {model.Service().service, model.Domain(domain).entry->failure_domain});
    MeasurePool(model, domain, found == pending.end() ? 0.0 : found->second,
                options, now);
    capacity += pool.servers.Capacity();
  }

  const double domains =
      static_cast<double>(std::max<std::size_t>(model.Size(), 1));
  model.SetRateStep(
      std::max(capacity / domains * kRateStepFraction, 10.0 * kNegligibleRate));
}

}  // namespace medlarcroft::steering
