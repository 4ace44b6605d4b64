#ifndef MEDLARCROFT_STEERING_SHIFT_ADMISSION_H_
#define MEDLARCROFT_STEERING_SHIFT_ADMISSION_H_

#include "medlarcroft/core/result.h"

namespace medlarcroft::steering {

/// @brief State of one service on the receiving host when a forwarded request
/// arrives.
struct ReceiverState {
  double usable_slots = 0.0;  ///< This host's share, of usable targets.
  double outstanding = 0.0;   ///< Slots of this share in use.
  double queued = 0.0;        ///< Requests waiting for a slot on this host.
  double reserved_headroom = 0.0;  ///< From the service entry, 0 to 1.
  bool is_leaving = false;  ///< The host is leaving or its domain is drained.
};

enum class ShiftAdmissionRefusal {
  kLeaving,   ///< This host accepts no new work.
  kQueueing,  ///< The domain's own callers are already waiting.
  kHeadroom,  ///< The free slots are the domain's reserve.
};

/// @brief Decides whether to accept a request that another domain forwarded.
///
/// The sender's plan may be seconds old, several senders act independently of
/// each other, and the receiver's own demand may surge. Therefore the check
/// uses only the current local state, so that no outdated view of a sender can
/// take the receiver over its capacity: a forwarded request gets a slot only if
/// the reserve stays free after it and none of the domain's own callers is
/// waiting. It is never queued, because the link has already used up part of
/// its deadline.
[[nodiscard]] Result<Success, ShiftAdmissionRefusal> AdmitForwarded(
    const ReceiverState& state);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_ADMISSION_H_
