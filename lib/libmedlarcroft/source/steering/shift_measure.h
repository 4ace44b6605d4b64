#ifndef MEDLARCROFT_STEERING_SHIFT_MEASURE_H_
#define MEDLARCROFT_STEERING_SHIFT_MEASURE_H_

#include <map>
#include <span>
#include <utility>

#include "shift_model.h"

namespace medlarcroft::steering {

/// @brief Builds the domains and links of one planning step from the inputs.
[[nodiscard]] Topology MeasureTopology(const ShiftInputs& inputs,
                                       const ShiftPlannerOptions& options,
                                       ShiftPlanner::State& state,
                                       MonotonicTime now);

/// Demand of look-up answers still in use, in requests per second.
using PendingByPool =
    std::map<std::pair<ServiceName, FailureDomainName>, double>;

[[nodiscard]] PendingByPool IndexPending(
    std::span<const PendingDemand> pending);

/// @brief Fills a model's shifts with the rates in force, and its pools with
/// the measured load, the committed demand and the capacity to offer.
void MeasureService(ServiceModel& model,
                    const PendingByPool& pending,
                    const ShiftPlannerOptions& options,
                    MonotonicTime now);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_MEASURE_H_
