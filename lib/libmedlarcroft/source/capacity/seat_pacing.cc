#include "medlarcroft/capacity/seat_pacing.h"

#include <algorithm>

namespace medlarcroft::capacity {

namespace {

constexpr Duration kMinInterval = std::chrono::milliseconds(2500);
constexpr Duration kUnsettledInterval = std::chrono::milliseconds(400);
constexpr Duration kIntervalPerRow = std::chrono::milliseconds(100);

}  // namespace

Duration SeatPollInterval(const SeatPacingInputs& inputs) {
  if (!inputs.is_settled) {
    return kUnsettledInterval;
  }
  return std::max(kMinInterval, kIntervalPerRow * inputs.declared_seats);
}

}  // namespace medlarcroft::capacity
