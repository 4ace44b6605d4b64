#ifndef MEDLARCROFT_PROGRAMS_NODE_METRICS_HANDLER_H_
#define MEDLARCROFT_PROGRAMS_NODE_METRICS_HANDLER_H_

#include <memory>

#include "adapters/event/http_listener.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::node {

/// @brief Serves all metrics in the Prometheus text format.
class MetricsHandler final : public adapters::HttpRequestHandler {
 public:
  explicit MetricsHandler(const telemetry::MetricsRegistry& metrics)
      : metrics_(metrics) {}

  [[nodiscard]] bool NeedsBody(const adapters::HttpRequest&) override {
    return false;
  }

  void OnRequest(
      adapters::HttpRequest request,
      const std::shared_ptr<adapters::HttpExchange>& exchange) override {
    if (request.raw_target != "/metrics") {
      exchange->Respond({.status = 404});
      return;
    }
    exchange->Respond(
        {.status = 200,
         .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
         .body = metrics_.FormatPrometheus()});
  }

 private:
  const telemetry::MetricsRegistry& metrics_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_METRICS_HANDLER_H_
