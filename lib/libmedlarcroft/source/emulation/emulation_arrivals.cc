// Emulation: the requests that arrive.
#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

#include "medlarcroft/emulation/emulation.h"

namespace medlarcroft::emulation {

namespace {

double Phase(Duration at, Duration period) {
  return ToSeconds(at) / std::max(ToSeconds(period), 1e-3);
}

}  // namespace

double Emulation::DemandShare(std::size_t region) const {
  double all = 0;
  for (const EmulatedRegion& other : deployment_.regions) {
    all += other.demand_weight;
  }
  return deployment_.regions[region].demand_weight / all;
}

double Emulation::RateAt(std::size_t class_index,
                         std::size_t region,
                         Duration at) const {
  const double phase = Phase(at, deployment_.wave_period) +
                       deployment_.regions[region].wave_phase;
  const double wave_factor = 1.0 + deployment_.wave_amplitude *
                                       std::sin(2.0 * std::numbers::pi * phase);
  return deployment_.request_classes[class_index].requests_per_second *
         DemandShare(region) * wave_factor * demand_factor_;
}

double Emulation::Exponential() {
  return -std::log(1.0 - random_.NextUnit());
}

double Emulation::Normal() {
  const double radius = std::sqrt(2.0 * Exponential());
  return radius * std::cos(2.0 * std::numbers::pi * random_.NextUnit());
}

// Draws the next arrival of a Poisson process of varying rate by thinning:
// candidates arrive at the peak rate, and each is accepted with the probability
// of the current rate over the peak rate.
void Emulation::ScheduleNextArrival(std::size_t class_index,
                                    std::size_t region) {
  const double highest =
      deployment_.request_classes[class_index].requests_per_second *
      DemandShare(region) * demand_factor_ * (1.0 + deployment_.wave_amplitude);
  events_.After(FromSeconds(Exponential() / highest), [=, this] {
    const Duration at = Elapsed();
    if (at > deployment_.duration) {
      return;
    }
    if (random_.NextUnit() * highest < RateAt(class_index, region, at)) {
      SendToHost(MakeCaller(class_index, region));
    }
    ScheduleNextArrival(class_index, region);
  });
}

Emulation::Caller Emulation::MakeCaller(std::size_t class_index,
                                        std::size_t region) {
  const EmulatedRequestClass& request_class =
      deployment_.request_classes[class_index];
  const double factor =
      std::max(0.05, 1.0 + request_class.work_spread * Normal());
  return {.request_class = &request_class,
          .region = region,
          .object = deployment_.regions[region].name + "/" +
                    std::to_string(random_.NextBelow(request_class.objects)),
          .work = FromSeconds(ToSeconds(request_class.work) * factor),
          .arrived = events_.Now(),
          .retries_left = request_class.caller_retries,
          .fingerprint =
              request_path::RequestFingerprint::FromValue(++last_fingerprint_)};
}

}  // namespace medlarcroft::emulation
