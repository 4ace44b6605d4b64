#include "medlarcroft/steering/shift_admission.h"

#include <algorithm>

namespace medlarcroft::steering {

Result<Success, ShiftAdmissionRefusal> AdmitForwarded(
    const ReceiverState& state) {
  if (state.is_leaving) {
    return ShiftAdmissionRefusal::kLeaving;
  }

  if (state.queued > 0.0) {
    return ShiftAdmissionRefusal::kQueueing;
  }

  const double headroom = std::clamp(state.reserved_headroom, 0.0, 1.0);
  const double unreserved_slots = state.usable_slots * (1.0 - headroom);
  if (state.outstanding + 1.0 > unreserved_slots) {
    return ShiftAdmissionRefusal::kHeadroom;
  }

  return Success{};
}

}  // namespace medlarcroft::steering
