#include "medlarcroft/decision/service_state.h"

#include <algorithm>

namespace medlarcroft::decision {
namespace {

constexpr double kAnswersPerTarget = 10.0;

}  // namespace

ServiceState::ServiceState(const ServiceConfig& service_config,
                           const SchedulerOptions& options)
    : config(service_config),
      queue(options.is_fair_between_brands),
      latency(service_config.request_class.expected_service_time),
      budget(options.retries) {
  queue.Configure(config.brands);
}

void ServiceState::OnServiceTime(Duration elapsed, std::size_t target_count) {
  latency.Add(elapsed);

  // The first samples have equal weights. Otherwise the very first one would
  // dominate the mean that all targets are compared with.
  ++sample_count_;
  const double seconds = ToSeconds(elapsed);
  const double steady_weight =
      1.0 / (kAnswersPerTarget *
             static_cast<double>(std::max<std::size_t>(target_count, 1)));
  const double weight =
      std::max(steady_weight, 1.0 / static_cast<double>(sample_count_));
  recent_mean_seconds_ += weight * (seconds - recent_mean_seconds_);
}

double ServiceState::RelativeServiceTime(Duration elapsed) const {
  if (!latency.IsMeasured())
    return 1.0;
  return ToSeconds(elapsed) / std::max(recent_mean_seconds_, 1e-6);
}

}  // namespace medlarcroft::decision
