#ifndef MEDLARCROFT_BENCHMARKS_SHIFT_BASELINES_H_
#define MEDLARCROFT_BENCHMARKS_SHIFT_BASELINES_H_

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "scenarios/steering/shift_policy.h"

namespace medlarcroft::benchmarks {

using steering::DomainLoad;
using steering::PlannedShift;
using steering::ServiceLoad;
using steering::ShiftInputs;
using steering::ShiftPlan;
using steering::scenario::ShiftPolicy;

/// Utilisation above which the baselines shift demand.
inline constexpr double kTargetUtilisation = 0.8;

inline double CapacityOf(const catalogue::ServiceEntry& service,
                         const ServiceLoad& load) {
  return load.usable_slots /
         ToSeconds(service.request_class.expected_service_time);
}

inline const ServiceLoad* LoadOf(const ShiftInputs& inputs,
                                 const FailureDomainName& domain,
                                 const ServiceName& service) {
  for (const DomainLoad& candidate : inputs.domains) {
    if (candidate.failure_domain != domain || candidate.live_hosts == 0) {
      continue;
    }
    for (const ServiceLoad& load : candidate.loads) {
      if (load.service == service) {
        return &load;
      }
    }
  }
  return nullptr;
}

inline void AddShift(ShiftPlan& plan,
                     const ServiceLoad& source,
                     const catalogue::LinkEntry& link,
                     double rate) {
  const double capped = std::min(rate, link.capacity);
  if (capped <= 0.0 || source.demand_per_second <= 0.0) {
    return;
  }
  plan.shifts.push_back(
      {.service = source.service,
       .from = link.from,
       .to = link.to,
       .rate = capped,
       .fraction = std::min(capped / source.demand_per_second, 1.0)});
}

/// Never shifts anything.
class NoShift final : public ShiftPolicy {
 public:
  ShiftPlan Plan(const ShiftInputs& /*inputs*/,
                 const FailureDomainName& /*own_domain*/) override {
    return {};
  }
};

/// Shifts all demand above kTargetUtilisation to the nearest domains with free
/// slots in the latest load reports.
class GreedyNearest final : public ShiftPolicy {
 public:
  ShiftPlan Plan(const ShiftInputs& inputs,
                 const FailureDomainName& own_domain) override {
    ShiftPlan plan;
    for (const auto* service : inputs.catalogue->Services()) {
      const ServiceLoad* own = LoadOf(inputs, own_domain, service->service);
      if (own == nullptr) {
        continue;
      }

      std::vector<const catalogue::LinkEntry*> links;
      for (const auto* link : inputs.catalogue->Links()) {
        if (link->from == own_domain) {
          links.push_back(link);
        }
      }
      std::sort(links.begin(), links.end(),
                [](const auto* left, const auto* right) {
                  return left->latency < right->latency;
                });

      double excess = own->demand_per_second -
                      kTargetUtilisation * CapacityOf(*service, *own);
      for (const auto* link : links) {
        const ServiceLoad* load = LoadOf(inputs, link->to, service->service);
        if (load == nullptr || excess <= 0.0) {
          continue;
        }
        const double free =
            (load->usable_slots - load->outstanding) /
            ToSeconds(service->request_class.expected_service_time);
        const double rate = std::min({excess, free, link->capacity});
        AddShift(plan, *own, *link, rate);
        excess -= std::max(rate, 0.0);
      }
    }
    return plan;
  }
};

/// Proportional controller: each step changes the shifted rate by a fraction of
/// the error of the own slot utilisation, and splits it among other domains by
/// their free slots.
class ProportionalFeedback final : public ShiftPolicy {
 public:
  ShiftPlan Plan(const ShiftInputs& inputs,
                 const FailureDomainName& own_domain) override {
    constexpr double kGain = 0.3;
    ShiftPlan plan;
    for (const auto* service : inputs.catalogue->Services()) {
      const ServiceLoad* own = LoadOf(inputs, own_domain, service->service);
      if (own == nullptr) {
        continue;
      }

      const double used = (own->outstanding + own->queued) / own->usable_slots;
      double& total = totals_[service->service];
      total += kGain * (used - kTargetUtilisation) * CapacityOf(*service, *own);
      total = std::clamp(total, 0.0, own->demand_per_second);

      double free_slots = 0.0;
      for (const auto* link : inputs.catalogue->Links()) {
        free_slots += FreeSlots(inputs, *link, own_domain, service->service);
      }
      for (const auto* link : inputs.catalogue->Links()) {
        const double free =
            FreeSlots(inputs, *link, own_domain, service->service);
        if (free > 0.0) {
          AddShift(plan, *own, *link, total * free / free_slots);
        }
      }
    }
    return plan;
  }

 private:
  static double FreeSlots(const ShiftInputs& inputs,
                          const catalogue::LinkEntry& link,
                          const FailureDomainName& own_domain,
                          const ServiceName& service) {
    const ServiceLoad* load = LoadOf(inputs, link.to, service);
    if (link.from != own_domain || load == nullptr) {
      return 0.0;
    }
    return std::max(load->usable_slots - load->outstanding, 0.0);
  }

  std::map<ServiceName, double> totals_;
};

/// The planner without one of its safeguards: it gets no pending demand.
class PlannerWithoutPending final : public ShiftPolicy {
 public:
  explicit PlannerWithoutPending(const ports::Clock& clock) : planner_(clock) {}

  ShiftPlan Plan(const ShiftInputs& inputs,
                 const FailureDomainName& own_domain) override {
    return planner_.Plan(
        {.catalogue = inputs.catalogue, .domains = inputs.domains}, own_domain);
  }

 private:
  steering::scenario::PlannerPolicy planner_;
};

}  // namespace medlarcroft::benchmarks

#endif  // MEDLARCROFT_BENCHMARKS_SHIFT_BASELINES_H_
