#include "medlarcroft/admission/returning_callers.h"

#include <algorithm>

namespace medlarcroft::admission {

namespace {

// About the shortest Retry-After; a connection takes less.
constexpr double kMinWaitedSeconds = 0.2;
// The usual time follows the longest ones at once and shorter ones within some
// hundreds of requests, in case callers get less patient.
constexpr double kDecreaseGain = 0.002;

}  // namespace

bool ReturningCallers::OnRequest(const std::string& route, Duration time_left) {
  const double seconds = ToSeconds(time_left);
  const auto [found, is_new] = usual_seconds_.try_emplace(route, seconds);
  double& usual = found->second;
  usual = std::max(seconds, usual - kDecreaseGain * (usual - seconds));
  return usual - seconds >= kMinWaitedSeconds;
}

}  // namespace medlarcroft::admission
