#include "medlarcroft/steering/shift_planner.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "shift_measure.h"
#include "shift_model.h"
#include "shift_moves.h"
#include "shift_state.h"

namespace medlarcroft::steering {

namespace {

/// Bounds the work of one planning step; the next step continues with the rest.
constexpr int kMaxGrowthSteps = 4000;

using Models = std::vector<ServiceModel>;

struct Candidate {
  std::size_t from = 0;
  std::size_t to = 0;
  double gain = 0.0;
};

template <typename Visit>
void ForEachLink(const ServiceModel& model, Visit visit) {
  for (std::size_t from = 0; from < model.Size(); ++from) {
    for (std::size_t to = 0; to < model.Size(); ++to) {
      if (model.Link(from, to).entry != nullptr) {
        visit(from, to);
      }
    }
  }
}

void CutShift(ServiceModel& model,
              std::size_t from,
              std::size_t to,
              double rate,
              ShiftBound bound) {
  ShiftModel& shift = model.Shift(from, to);
  if (rate >= shift.rate) {
    return;
  }

  model.ChangeRate(from, to, rate - shift.rate);
  shift.rule = ShiftRule::kCut;
  shift.bound = bound;
}

/// Cuts rates that exceed a limit at once, by the same factor for all senders,
/// because all have the same claim.
void CutToLimits(ServiceModel& model) {
  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    const ShiftBound blocking_bound = model.FindBlockingBound(from, to);
    if (blocking_bound != ShiftBound::kNone) {
      CutShift(model, from, to, 0.0, blocking_bound);
    }
  });

  const std::vector<double> inflows = [&] {
    std::vector<double> values(model.Size());
    for (std::size_t domain = 0; domain < model.Size(); ++domain) {
      values[domain] = model.Pool(domain).inflow;
    }
    return values;
  }();
  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    const PoolModel& receiver = model.Pool(to);
    if (inflows[to] > receiver.spare) {
      const double fraction = receiver.spare / inflows[to];
      CutShift(model, from, to, model.Shift(from, to).rate * fraction,
               receiver.spare_bound);
    }
  });

  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    const PoolModel& source = model.Pool(from);
    if (source.is_measured && source.outflow > source.demand) {
      const double fraction = source.demand / source.outflow;
      CutShift(model, from, to, model.Shift(from, to).rate * fraction,
               ShiftBound::kSourceDemand);
    }
  });
}

/// Cuts rates that exceed a link's capacity, which all services share.
void CutToLinkCapacity(Models& models, const Topology& topology) {
  const std::vector<LinkModel> before = topology.links;

  for (ServiceModel& model : models) {
    ForEachLink(model, [&](std::size_t from, std::size_t to) {
      const LinkModel& link = before[topology.PairIndex(from, to)];
      if (link.rate > link.entry->capacity) {
        const double fraction = std::max(link.entry->capacity, 0.0) / link.rate;
        CutShift(model, from, to, model.Shift(from, to).rate * fraction,
                 ShiftBound::kLinkCapacity);
      }
    });
  }
}

/// Costs of all domains, as a home and as a receiver of one more step of rate.
struct Costs {
  explicit Costs(const ServiceModel& model) {
    for (std::size_t domain = 0; domain < model.Size(); ++domain) {
      home.push_back(model.HomeCost(domain, 0.0));
      receiver.push_back(model.ReceiverCost(domain, model.RateStep()));
    }
  }

  /// @return by how much a request is cheaper at the receiver than at home.
  [[nodiscard]] double GainOf(const ServiceModel& model,
                              std::size_t from,
                              std::size_t to) const {
    return home[from] - receiver[to] - model.LinkCost(from, to);
  }

  std::vector<double> home;
  std::vector<double> receiver;
};

std::optional<Candidate> FindBestGrowth(const ServiceModel& model,
                                        double margin) {
  const Costs costs(model);
  std::optional<Candidate> best;

  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    const double gain = costs.GainOf(model, from, to);
    if (gain <= margin || (best && gain <= best->gain)) {
      return;
    }

    if (model.FindAllowedGrowth(from, to).rate >= kNegligibleRate) {
      best = Candidate{from, to, gain};
    }
  });
  return best;
}

void GrowShifts(Models& models, double margin) {
  std::vector<std::optional<Candidate>> best;
  for (const ServiceModel& model : models) {
    best.push_back(FindBestGrowth(model, margin));
  }

  for (int steps = 0; steps < kMaxGrowthSteps; ++steps) {
    const auto winner = std::max_element(
        best.begin(), best.end(), [](const auto& left, const auto& right) {
          return (left ? left->gain : 0.0) < (right ? right->gain : 0.0);
        });
    if (winner == best.end() || !*winner) {
      return;
    }

    ServiceModel& model =
        models[static_cast<std::size_t>(winner - best.begin())];
    const Candidate candidate = **winner;
    // Another service may have used the link since the candidate was found.
    const double allowed =
        model.FindAllowedGrowth(candidate.from, candidate.to).rate;

    if (allowed >= kNegligibleRate) {
      model.ChangeRate(candidate.from, candidate.to,
                       std::min(allowed, model.RateStep()));
      model.Shift(candidate.from, candidate.to).rule =
          model.Domain(candidate.from).is_drained ? ShiftRule::kDrain
                                                  : ShiftRule::kGrow;
    }

    *winner = FindBestGrowth(model, margin);
  }
}

/// @return by how much a request would be cheaper at home, with one more step
/// of rate there, than where it is forwarded to.
double ReturnGain(const ServiceModel& model, std::size_t from, std::size_t to) {
  return model.ReceiverCost(to, 0.0) + model.LinkCost(from, to) -
         model.HomeCost(from, model.RateStep());
}

/// @return whether home has been cheaper for the whole hold time.
bool HasReturnHoldPassed(ServiceModel& model,
                         std::size_t from,
                         std::size_t to,
                         const ShiftPlannerOptions& options,
                         MonotonicTime now) {
  ShiftModel& shift = model.Shift(from, to);
  std::optional<MonotonicTime>& cheaper_since = shift.state->home_cheaper_since;
  const bool is_returnable =
      shift.rate > 0.0 && model.Pool(from).is_measured &&
      !model.Domain(from).is_drained &&
      ReturnGain(model, from, to) > options.growth_margin;

  if (!is_returnable) {
    cheaper_since.reset();
    return false;
  }

  if (!cheaper_since) {
    cheaper_since = now;
  }
  return now - *cheaper_since >= options.return_hold_time;
}

/// Returns one step of the shift that gains most from it. Only one shift of a
/// source returns at a time: the source's caches no longer hold the data of
/// these callers, and the steps of several links together would restore the
/// load at which the shifts began.
void ReturnBestShift(ServiceModel& model,
                     std::size_t from,
                     const ShiftPlannerOptions& options,
                     MonotonicTime now) {
  std::optional<std::size_t> best;
  for (std::size_t to = 0; to < model.Size(); ++to) {
    const bool is_candidate =
        model.Link(from, to).entry != nullptr &&
        HasReturnHoldPassed(model, from, to, options, now);
    if (is_candidate && (!best || ReturnGain(model, from, to) >
                                      ReturnGain(model, from, *best))) {
      best = to;
    }
  }

  if (!best) {
    return;
  }

  const catalogue::LinkEntry& link = *model.Link(from, *best).entry;
  PoolState& state = *model.Pool(from).state;
  const bool is_due = now - state.last_return >= link.shift_window;
  if (!is_due || !model.HasCapacityToReturn(from, link.shift_step)) {
    return;
  }

  ShiftModel& shift = model.Shift(from, *best);
  double remaining = link.shift_step;
  while (remaining > 0.0 && shift.rate > 0.0 &&
         ReturnGain(model, from, *best) > options.growth_margin) {
    const double change = std::min({remaining, shift.rate, model.RateStep()});
    model.ChangeRate(from, *best, -change);
    remaining -= change;
  }

  shift.rule = ShiftRule::kReturn;
  state.last_return = now;
}

void SaveState(ServiceModel& model,
               const ShiftPlannerOptions& options,
               MonotonicTime now) {
  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    ShiftModel& shift = model.Shift(from, to);
    const bool is_negligible = shift.rate < kNegligibleRate;
    if (is_negligible) {
      model.ChangeRate(from, to, -shift.rate);
    }
    shift.state->growth.Set(now, shift.rate,
                            model.Link(from, to).entry->shift_window);
  });

  for (std::size_t domain = 0; domain < model.Size(); ++domain) {
    PoolModel& pool = model.Pool(domain);
    const bool has_inflow = pool.inflow >= kNegligibleRate;
    const bool is_used = pool.inflow >= 0.5 * pool.spare;
    pool.state->warm_up.Observe(now, has_inflow, is_used, options.warm_up);
    pool.state->inflow_peak.Observe(pool.inflow, now, options.stale_age);
  }
}

/// Adds the shifts to the plan. Where growth was worthwhile but did not happen,
/// names the limit that prevented it.
void AddShiftsToPlan(ServiceModel& model, double margin, ShiftPlan& plan) {
  const Costs costs(model);
  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    ShiftModel& shift = model.Shift(from, to);
    const PoolModel& source = model.Pool(from);
    const bool is_wanted = source.demand - source.outflow > kNegligibleRate &&
                           costs.GainOf(model, from, to) > margin;

    if (is_wanted && shift.bound == ShiftBound::kNone) {
      const AllowedGrowth allowed = model.FindAllowedGrowth(from, to);
      shift.bound =
          allowed.rate < kNegligibleRate ? allowed.bound : ShiftBound::kNone;
    }

    if (shift.rate <= 0.0 && shift.bound == ShiftBound::kNone) {
      return;
    }

    const DomainLoad* receiver = model.Domain(to).load;
    plan.shifts.push_back(
        {.service = model.Service().service,
         .from = model.Domain(from).entry->failure_domain,
         .to = model.Domain(to).entry->failure_domain,
         .rate = shift.rate,
         .fraction = source.demand > 0.0
                         ? std::min(shift.rate / source.demand, 1.0)
                         : 0.0,
         .why = {.rule = shift.rule,
                 .bound = shift.bound,
                 .source_demand = source.demand,
                 .source_capacity = source.servers.Capacity(),
                 .source_cost = costs.home[from],
                 .receiver_spare = model.Pool(to).spare,
                 .receiver_cost = costs.receiver[to] + model.LinkCost(from, to),
                 .receiver_age =
                     receiver == nullptr ? Duration::max() : receiver->age,
                 .link_latency = model.Link(from, to).entry->latency}});
  });
}

}  // namespace

ShiftPlanner::ShiftPlanner(const ports::Clock& clock,
                           ShiftPlannerOptions options)
    : clock_(&clock), options_(options), state_(std::make_unique<State>()) {}

ShiftPlanner::~ShiftPlanner() = default;

ShiftPlan ShiftPlanner::Plan(const ShiftInputs& inputs) {
  const MonotonicTime now = clock_->Now();
  Topology topology = MeasureTopology(inputs, options_, *state_, now);

  const PendingByPool pending = IndexPending(inputs.pending);

  Models models;
  for (const catalogue::ServiceEntry* service : inputs.catalogue->Services()) {
    models.emplace_back(*service, models.size(),
                        state_->services.at(service->service), topology,
                        options_, now);
    MeasureService(models.back(), pending, options_, now);
    CutToLimits(models.back());
  }
  CutToLinkCapacity(models, topology);

  for (ServiceModel& model : models) {
    for (std::size_t from = 0; from < model.Size(); ++from) {
      ReturnBestShift(model, from, options_, now);
    }
  }

  GrowShifts(models, options_.growth_margin);

  ShiftPlan plan{.catalogue_revision = inputs.catalogue->Revision()};
  for (ServiceModel& model : models) {
    SaveState(model, options_, now);
    AddShiftsToPlan(model, options_.growth_margin, plan);
    PlanCallerMoves(model, options_, now, plan);
  }

  for (LinkModel& link : topology.links) {
    if (link.entry != nullptr) {
      link.growth->Set(now, link.rate, link.entry->shift_window);
    }
  }

  return plan;
}

}  // namespace medlarcroft::steering
