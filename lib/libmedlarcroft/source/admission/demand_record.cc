#include "medlarcroft/admission/demand_record.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::admission {

namespace {

// Long enough for some tens of requests of a host, short enough to follow a
// burst.
constexpr double kTimeConstantSeconds = 5.0;

}  // namespace

void DemandRecord::OnDecision(bool is_admitted, MonotonicTime now) {
  const double decay = DecayAt(now);
  offered_ = offered_ * decay + 1.0;
  admitted_ = admitted_ * decay + (is_admitted ? 1.0 : 0.0);
  updated_at_ = now;
}

double DemandRecord::Offered(MonotonicTime now) const {
  return offered_ * DecayAt(now);
}

double DemandRecord::AdmittedShare() const {
  return offered_ > 0 ? admitted_ / offered_ : 1.0;
}

double DemandRecord::AdmittedPerSecond(MonotonicTime now) const {
  return admitted_ * DecayAt(now) / kTimeConstantSeconds;
}

double DemandRecord::DecayAt(MonotonicTime now) const {
  const double age = std::max(0.0, ToSeconds(now - updated_at_));
  return std::exp(-age / kTimeConstantSeconds);
}

}  // namespace medlarcroft::admission
