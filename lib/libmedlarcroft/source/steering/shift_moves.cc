#include "shift_moves.h"

#include <algorithm>

namespace medlarcroft::steering {

namespace {

/// Fraction of a drained domain's demand that must be forwarded before its
/// callers move; the rest is measurement noise.
constexpr double kMinForwardedFraction = 0.95;

bool IsDemandForwarded(ServiceModel& model, std::size_t from) {
  const PoolModel& source = model.Pool(from);
  return source.is_measured && source.outflow >= kNegligibleRate &&
         source.outflow >= kMinForwardedFraction * source.demand;
}

/// A moved caller is no longer part of the drained domain's demand, so the
/// fractions are saved while forwarding still carries it.
void SaveFractions(ServiceModel& model,
                   std::size_t from,
                   CallerMoveState& state) {
  state.drain_ended.reset();

  if (!IsDemandForwarded(model, from) || !state.fractions.empty()) {
    return;
  }

  for (std::size_t to = 0; to < model.Size(); ++to) {
    const double rate = model.Shift(from, to).rate;
    if (rate > 0.0) {
      state.fractions.emplace_back(model.Domain(to).entry->failure_domain,
                                   rate / model.Pool(from).outflow);
    }
  }
}

/// A receiver that has become unusable takes no moved callers. The others keep
/// their fractions, so that none gets more than was forwarded to it.
void DropUnusableReceivers(ServiceModel& model,
                           std::size_t from,
                           CallerMoveState& state) {
  for (std::size_t to = 0; to < model.Size(); ++to) {
    if (model.FindBlockingBound(from, to) == ShiftBound::kNone) {
      continue;
    }

    std::erase_if(state.fractions, [&](const auto& fraction) {
      return fraction.first == model.Domain(to).entry->failure_domain;
    });
  }
}

double RemainingFraction(CallerMoveState& state,
                         const ShiftPlannerOptions& options,
                         MonotonicTime now) {
  if (!state.drain_ended) {
    return 1.0;
  }

  const double elapsed = ToSeconds(now - *state.drain_ended);
  return std::max(0.0, 1.0 - elapsed / ToSeconds(options.caller_return_time));
}

}  // namespace

void PlanCallerMoves(ServiceModel& model,
                     const ShiftPlannerOptions& options,
                     MonotonicTime now,
                     ShiftPlan& plan) {
  const ServiceName& service = model.Service().service;

  for (std::size_t from = 0; from < model.Size(); ++from) {
    const FailureDomainName& source = model.Domain(from).entry->failure_domain;
    const bool is_drained = model.Domain(from).is_drained;

    CallerMoveState& state = model.State().moves[from];
    if (!is_drained && state.fractions.empty()) {
      continue;
    }

    if (is_drained) {
      SaveFractions(model, from, state);
    } else if (!state.drain_ended) {
      state.drain_ended = now;
    }

    DropUnusableReceivers(model, from, state);
    const double remaining = RemainingFraction(state, options, now);

    for (const auto& [to, fraction] : state.fractions) {
      plan.moves.push_back({.service = service,
                            .from = source,
                            .to = to,
                            .fraction = fraction * remaining});
    }

    if (remaining <= 0.0) {
      state = {};
    }
  }
}

}  // namespace medlarcroft::steering
