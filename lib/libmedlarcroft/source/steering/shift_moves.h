#ifndef MEDLARCROFT_STEERING_SHIFT_MOVES_H_
#define MEDLARCROFT_STEERING_SHIFT_MOVES_H_

#include "shift_model.h"

namespace medlarcroft::steering {

/// @brief Adds to the plan which callers of drained domains look-ups direct to
/// other domains.
void PlanCallerMoves(ServiceModel& model,
                     const ShiftPlannerOptions& options,
                     MonotonicTime now,
                     ShiftPlan& plan);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_MOVES_H_
