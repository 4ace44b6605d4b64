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

/// Bounds the work of one step; what is left is moved by the next one.
constexpr int kMaxMovesPerStep = 4000;

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

void CutTo(ServiceModel& model,
           std::size_t from,
           std::size_t to,
           double rate,
           ShiftBound bound) {
  ShiftFacts& shift = model.Shift(from, to);
  if (rate >= shift.rate) {
    return;
  }

  model.Add(from, to, rate - shift.rate);
  shift.rule = ShiftRule::kCut;
  shift.bound = bound;
}

/// Limits that fell below the rates in force cut at once, by the same part for
/// all senders: each has the same claim.
void CutToLimits(ServiceModel& model) {
  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    const ShiftBound obstacle = model.Obstacle(from, to);
    if (obstacle != ShiftBound::kNone) {
      CutTo(model, from, to, 0.0, obstacle);
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
    const PoolFacts& receiver = model.Pool(to);
    if (inflows[to] > receiver.spare) {
      const double part = receiver.spare / inflows[to];
      CutTo(model, from, to, model.Shift(from, to).rate * part,
            receiver.spare_bound);
    }
  });

  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    const PoolFacts& source = model.Pool(from);
    if (source.is_measured && source.outflow > source.demand) {
      const double part = source.demand / source.outflow;
      CutTo(model, from, to, model.Shift(from, to).rate * part,
            ShiftBound::kSourceDemand);
    }
  });
}

/// The link's capacity is one for all services.
void CutToLinkCapacity(Models& models, const Topology& topology) {
  const std::vector<LinkFacts> before = topology.links;

  for (ServiceModel& model : models) {
    ForEachLink(model, [&](std::size_t from, std::size_t to) {
      const LinkFacts& link = before[topology.At(from, to)];
      if (link.rate > link.entry->capacity) {
        const double part = std::max(link.entry->capacity, 0.0) / link.rate;
        CutTo(model, from, to, model.Shift(from, to).rate * part,
              ShiftBound::kLinkCapacity);
      }
    });
  }
}

/// Costs of all domains as a home and as a receiver of one quantum more.
struct Costs {
  explicit Costs(const ServiceModel& model) {
    for (std::size_t domain = 0; domain < model.Size(); ++domain) {
      home.push_back(model.HomeCost(domain, 0.0));
      receiver.push_back(model.ReceiverCost(domain, model.Quantum()));
    }
  }

  /// @return by how much a request is cheaper away than at home.
  [[nodiscard]] double GainOf(const ServiceModel& model,
                              std::size_t from,
                              std::size_t to) const {
    return home[from] - receiver[to] - model.LinkCost(from, to);
  }

  std::vector<double> home;
  std::vector<double> receiver;
};

std::optional<Candidate> FindBest(const ServiceModel& model, double margin) {
  const Costs costs(model);
  std::optional<Candidate> best;

  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    const double gain = costs.GainOf(model, from, to);
    if (gain <= margin || (best && gain <= best->gain)) {
      return;
    }

    if (model.RoomFor(from, to).rate >= kSmallestRate) {
      best = Candidate{from, to, gain};
    }
  });
  return best;
}

void Grow(Models& models, double margin) {
  std::vector<std::optional<Candidate>> best;
  for (const ServiceModel& model : models) {
    best.push_back(FindBest(model, margin));
  }

  for (int moves = 0; moves < kMaxMovesPerStep; ++moves) {
    const auto winner = std::max_element(
        best.begin(), best.end(), [](const auto& left, const auto& right) {
          return (left ? left->gain : 0.0) < (right ? right->gain : 0.0);
        });
    if (winner == best.end() || !*winner) {
      return;
    }

    ServiceModel& model =
        models[static_cast<std::size_t>(winner - best.begin())];
    const Candidate move = **winner;
    // Another service may have used the link since the candidate was found.
    const double room = model.RoomFor(move.from, move.to).rate;

    if (room >= kSmallestRate) {
      model.Add(move.from, move.to, std::min(room, model.Quantum()));
      model.Shift(move.from, move.to).rule = model.Domain(move.from).is_drained
                                                 ? ShiftRule::kDrain
                                                 : ShiftRule::kGrow;
    }

    *winner = FindBest(model, margin);
  }
}

/// @return by how much a request would be cheaper at home, with one quantum
/// more there, than where it is forwarded to.
double ReturnGain(const ServiceModel& model, std::size_t from, std::size_t to) {
  return model.ReceiverCost(to, 0.0) + model.LinkCost(from, to) -
         model.HomeCost(from, model.Quantum());
}

/// @return whether home has been cheaper for the whole steady time.
bool IsSteady(ServiceModel& model,
              std::size_t from,
              std::size_t to,
              const ShiftPlannerOptions& options,
              MonotonicTime now) {
  ShiftFacts& shift = model.Shift(from, to);
  std::optional<MonotonicTime>& since = shift.memory->home_cheaper_since;
  const bool is_returnable =
      shift.rate > 0.0 && model.Pool(from).is_measured &&
      !model.Domain(from).is_drained &&
      ReturnGain(model, from, to) > options.growth_margin;

  if (!is_returnable) {
    since.reset();
    return false;
  }

  if (!since) {
    since = now;
  }
  return now - *since >= options.return_hold_time;
}

/// Takes back a step of the shift that gains most by it. One shift of a source
/// at a time: its caches have forgotten these callers, and several links' steps
/// together would bring it back to where the shifts began.
void ReturnShifts(ServiceModel& model,
                  std::size_t from,
                  const ShiftPlannerOptions& options,
                  MonotonicTime now) {
  std::optional<std::size_t> best;
  for (std::size_t to = 0; to < model.Size(); ++to) {
    const bool is_candidate = model.Link(from, to).entry != nullptr &&
                              IsSteady(model, from, to, options, now);
    if (is_candidate && (!best || ReturnGain(model, from, to) >
                                      ReturnGain(model, from, *best))) {
      best = to;
    }
  }

  if (!best) {
    return;
  }

  const catalogue::LinkEntry& link = *model.Link(from, *best).entry;
  PoolMemory& memory = *model.Pool(from).memory;
  const bool is_due = now - memory.last_return >= link.shift_window;
  if (!is_due || !model.HasReturnRoom(from, link.shift_step)) {
    return;
  }

  ShiftFacts& shift = model.Shift(from, *best);
  double left = link.shift_step;
  while (left > 0.0 && shift.rate > 0.0 &&
         ReturnGain(model, from, *best) > options.growth_margin) {
    const double change = std::min({left, shift.rate, model.Quantum()});
    model.Add(from, *best, -change);
    left -= change;
  }

  shift.rule = ShiftRule::kReturn;
  memory.last_return = now;
}

void Commit(ServiceModel& model,
            const ShiftPlannerOptions& options,
            MonotonicTime now) {
  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    ShiftFacts& shift = model.Shift(from, to);
    const bool is_nothing = shift.rate < kSmallestRate;
    if (is_nothing) {
      model.Add(from, to, -shift.rate);
    }
    shift.memory->growth.Set(now, shift.rate,
                             model.Link(from, to).entry->shift_window);
  });

  for (std::size_t domain = 0; domain < model.Size(); ++domain) {
    PoolFacts& pool = model.Pool(domain);
    const bool has_inflow = pool.inflow >= kSmallestRate;
    const bool is_used = pool.inflow >= 0.5 * pool.spare;
    pool.memory->warm_up.Observe(now, has_inflow, is_used, options.warm_up);
    pool.memory->inflow_peak.Observe(pool.inflow, now, options.stale_age);
  }
}

/// Growth that was worth it and did not happen names the limit that stood in
/// its way.
void Explain(ServiceModel& model, double margin, ShiftPlan& plan) {
  const Costs costs(model);
  ForEachLink(model, [&](std::size_t from, std::size_t to) {
    ShiftFacts& shift = model.Shift(from, to);
    const PoolFacts& source = model.Pool(from);
    const bool is_wanted = source.demand - source.outflow > kSmallestRate &&
                           costs.GainOf(model, from, to) > margin;

    if (is_wanted && shift.bound == ShiftBound::kNone) {
      const Room room = model.RoomFor(from, to);
      shift.bound = room.rate < kSmallestRate ? room.bound : ShiftBound::kNone;
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
                 .source_capacity = source.pool.Capacity(),
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
      ReturnShifts(model, from, options_, now);
    }
  }

  Grow(models, options_.growth_margin);

  ShiftPlan plan{.catalogue_revision = inputs.catalogue->Revision()};
  for (ServiceModel& model : models) {
    Commit(model, options_, now);
    Explain(model, options_.growth_margin, plan);
    PlanMoves(model, options_, now, plan);
  }

  for (LinkFacts& link : topology.links) {
    if (link.entry != nullptr) {
      link.growth->Set(now, link.rate, link.entry->shift_window);
    }
  }

  return plan;
}

}  // namespace medlarcroft::steering
