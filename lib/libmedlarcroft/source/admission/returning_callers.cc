#include "medlarcroft/admission/returning_callers.h"

#include <algorithm>

namespace medlarcroft::admission {

namespace {

// About the shortest Retry-After; a connection takes less.
constexpr double kMinWaitedSeconds = 0.2;
// The largest time follows longer ones at once, and shorter ones within some
// hundreds of requests in case callers become less patient.
constexpr double kDecreaseGain = 0.005;
// A caller that states a far longer time than its route allows must not make
// all others look like returning ones.
constexpr double kMaxIncreaseSeconds = 1.0;

}  // namespace

bool ReturningCallers::OnRequest(const std::string& route, Duration time_left) {
  const double seconds = ToSeconds(time_left);
  const auto [found, is_new] = recent_max_seconds_.try_emplace(route, seconds);
  double& longest = found->second;
  longest = seconds > longest ? std::min(seconds, longest + kMaxIncreaseSeconds)
                              : longest - kDecreaseGain * (longest - seconds);
  return longest - seconds >= kMinWaitedSeconds;
}

}  // namespace medlarcroft::admission
