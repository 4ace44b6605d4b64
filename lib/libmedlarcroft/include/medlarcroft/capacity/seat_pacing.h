#ifndef MEDLARCROFT_CAPACITY_SEAT_PACING_H_
#define MEDLARCROFT_CAPACITY_SEAT_PACING_H_

#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::capacity {

/// @brief What decides how often a host reads the rows of seats.
struct SeatPacingInputs {
  /// Rows of one round: seats of the own domain and of its siblings.
  std::uint32_t declared_seats = 0;
  /// Whether a seat is held and its parts may be used.
  bool is_settled = false;
};

/// @brief The mean pause between two rounds of `CapacityManager::StepSeats`.
///
/// Load: 880 hosts that read all rows of their region, some 126 at 52 hosts a
/// domain. Harm prevented: at one fixed period each host's bytes grow with the
/// hosts of its region and pass the 7 KB/s of all control. Limits: ten rows a
/// second are some 1.6 KB/s, and never more often than each 2.5 s, so that 880
/// hosts with small domains stay at 900 reads a second of the platform's 2,000.
/// A host that serves nothing yet looks each 0.4 s: 190 fresh hosts a day. The
/// price is that slots grow later after a change, and that a sibling's lost
/// domain is taken over later, by up to one period: 12.6 s at 126 rows.
[[nodiscard]] Duration SeatPollInterval(const SeatPacingInputs& inputs);

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SEAT_PACING_H_
