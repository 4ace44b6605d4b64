#include "medlarcroft/telemetry/gauge_group.h"

#include <algorithm>

namespace medlarcroft::telemetry {

void GaugeGroup::Set(std::span<const GaugeValue> values) {
  const std::lock_guard lock(mutex_);
  std::vector<Gauge*> current;
  current.reserve(values.size());
  for (const GaugeValue& value : values) {
    Gauge& gauge = metrics_.GaugeOf(metric_, value.labels);
    gauge.Set(value.value);
    current.push_back(&gauge);
  }
  std::ranges::sort(current);
  for (Gauge* const previous : active_) {
    if (!std::ranges::binary_search(current, previous)) {
      previous->Set(0);
    }
  }
  active_ = std::move(current);
}

}  // namespace medlarcroft::telemetry
