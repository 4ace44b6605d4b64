#include "medlarcroft/capacity/seat_pacing.h"

#include <algorithm>

namespace medlarcroft::capacity {

namespace {

constexpr Duration kShortest = std::chrono::milliseconds(2500);
constexpr Duration kUnsettled = std::chrono::milliseconds(400);
constexpr Duration kPerRow = std::chrono::milliseconds(100);

}  // namespace

Duration SeatPollInterval(const SeatPacingInputs& inputs) {
  if (!inputs.is_settled) {
    return kUnsettled;
  }
  return std::max(kShortest, kPerRow * inputs.declared_seats);
}

}  // namespace medlarcroft::capacity
