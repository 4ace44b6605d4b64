#ifndef MEDLARCROFT_STEERING_SHIFT_ADMISSION_H_
#define MEDLARCROFT_STEERING_SHIFT_ADMISSION_H_

#include "medlarcroft/core/result.h"

namespace medlarcroft::steering {

/// @brief One service on the receiving host, at the moment a forwarded request
/// arrives.
struct ReceiverState {
  double usable_slots = 0.0;  ///< This host's share, of targets that take work.
  double outstanding = 0.0;   ///< Of it, in use now.
  double queued = 0.0;        ///< Requests that wait for a slot here.
  double reserved_headroom = 0.0;  ///< Of the service entry, 0 to 1.
  bool is_leaving = false;         ///< The host, or its domain is drained.
};

enum class ShiftAdmissionRefusal {
  kLeaving,   ///< Nothing new is taken here.
  kQueueing,  ///< The domain's own callers wait already.
  kHeadroom,  ///< The slots left are the domain's reserve.
};

/// @brief Decides whether a request that another domain forwarded is taken.
///
/// Made for a plan that is seconds old on the sending side, several senders
/// that do not see each other, and a surge of the receiver's own callers. The
/// check uses only what is true here and now, so no belief of a sender can take
/// the receiver over its capacity: a forwarded request gets a slot only while
/// the reserve stays free after it and none of the domain's own callers waits.
/// It never queues, because its deadline has already paid for the link.
[[nodiscard]] Result<Success, ShiftAdmissionRefusal> AdmitForwarded(
    const ReceiverState& state);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_ADMISSION_H_
