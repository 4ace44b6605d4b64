#ifndef MEDLARCROFT_CAPACITY_SEAT_PACING_H_
#define MEDLARCROFT_CAPACITY_SEAT_PACING_H_

#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::capacity {

/// @brief Inputs to how often a host reads the seat rows.
struct SeatPacingInputs {
  /// Rows read per round: seats of the host's own domain and of its siblings.
  std::uint32_t declared_seats = 0;
  /// Whether a seat is held and its shares may be used.
  bool is_settled = false;
};

/// @brief Returns the mean interval between two rounds of
/// `CapacityManager::StepSeats`.
///
/// Each of up to 880 hosts reads all seat rows of its region, about 126 rows
/// with 52 hosts per domain. At a fixed interval, each host's traffic would
/// grow with the number of hosts in the region and exceed the budget of 7 KB/s
/// for all control traffic. Ten rows a second cost about 1.6 KB/s. The minimum
/// of 2.5 s keeps 880 hosts with small domains at 900 reads a second, out of
/// the platform's 2,000. A host that does not serve yet polls every 0.4 s,
/// which is affordable with 190 new hosts a day.
/// The cost is that slots grow later after a change, and that a sibling domain
/// without hosts is taken over later, by up to one interval: 12.6 s with 126
/// rows.
[[nodiscard]] Duration SeatPollInterval(const SeatPacingInputs& inputs);

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SEAT_PACING_H_
