#include "medlarcroft/steering/shift_plan.h"

#include <algorithm>

namespace medlarcroft::steering {

std::string_view ToString(ShiftRule rule) {
  constexpr std::string_view kNames[] = {"grow", "hold", "return", "drain",
                                         "cut"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::string_view ToString(ShiftBound bound) {
  constexpr std::string_view kNames[] = {"none",
                                         "link-capacity",
                                         "shift-step",
                                         "receiver-headroom",
                                         "receiver-stale",
                                         "receiver-cold",
                                         "receiver-unusable",
                                         "receiver-pressed",
                                         "link-too-slow",
                                         "link-missing",
                                         "source-unknown",
                                         "source-demand"};
  return kNames[static_cast<std::size_t>(bound)];
}

double ShiftPlan::RateOf(const ServiceName& service,
                         const FailureDomainName& from,
                         const FailureDomainName& to) const {
  const auto found =
      std::find_if(shifts.begin(), shifts.end(), [&](const auto& shift) {
        return shift.service == service && shift.from == from && shift.to == to;
      });
  return found == shifts.end() ? 0.0 : found->rate;
}

}  // namespace medlarcroft::steering
