#include "adapters/steer/routing_service.h"

namespace medlarcroft::adapters {

void RoutingService::snapshot(wire::RoutingSnapshot& answer,
                              std::int64_t /*known_number*/,
                              std::int32_t /*wait_ms*/) {
  answer = core_.MakeSnapshot();
}

void RoutingService::report(wire::ReportAnswer& answer,
                            const wire::EntryReport& report) {
  core_.ApplyReport(report);
  keys_.Add(report.incarnation, report.local_keys, report.durable_keys);
  answer.wanted_local_keys = keys_.WantedLocal();
  answer.wanted_durable_keys = keys_.WantedDurable();
}

}  // namespace medlarcroft::adapters
