#ifndef MEDLARCROFT_PROGRAMS_NODE_METRICS_PAGE_H_
#define MEDLARCROFT_PROGRAMS_NODE_METRICS_PAGE_H_

#include <memory>

#include "adapters/event/http_listener.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::node {

/// @brief Serves all metrics as Prometheus text.
class MetricsPage final : public adapters::HttpCallHandler {
 public:
  explicit MetricsPage(const telemetry::MetricsRegistry& metrics)
      : metrics_(metrics) {}

  void OnCall(
      adapters::HttpRequest request,
      const std::shared_ptr<adapters::HttpExchange>& exchange) override {
    if (request.raw_target != "/metrics") {
      exchange->Answer({.status = 404});
      return;
    }
    exchange->Answer(
        {.status = 200,
         .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
         .body = metrics_.FormatPrometheus()});
  }

 private:
  const telemetry::MetricsRegistry& metrics_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_METRICS_PAGE_H_
