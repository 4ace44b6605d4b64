#include "adapters/http/listener_metrics.h"

namespace medlarcroft::adapters {

namespace {

using telemetry::MetricDescription;

constexpr MetricDescription kConnections = {"medlar_http_connections_total",
                                            "Connections accepted by HTTP."};
constexpr MetricDescription kRequests = {
    "medlar_http_requests_total",
    "Requests that reached the HTTP listener, pages for operators included."};
constexpr MetricDescription kBodiesTooLarge = {
    "medlar_http_bodies_too_large_total",
    "Requests refused for the size of their body."};
constexpr MetricDescription kClientErrors = {
    "medlar_http_client_errors_total",
    "Requests answered with a status of 400 to 499."};
constexpr MetricDescription kInFlight = {
    "medlar_http_in_flight", "Requests of the listener not yet answered."};

}  // namespace

ListenerMetrics::ListenerMetrics(telemetry::MetricsRegistry& metrics)
    : connections_(metrics.CounterOf(kConnections)),
      requests_(metrics.CounterOf(kRequests)),
      bodies_too_large_(metrics.CounterOf(kBodiesTooLarge)),
      client_errors_(metrics.CounterOf(kClientErrors)),
      in_flight_(metrics.GaugeOf(kInFlight)) {}

void ListenerMetrics::Refresh() {
  const HttpServerCounters* counters = counters_;
  if (counters == nullptr) {
    return;
  }
  connections_.RaiseTo(counters->connections);
  requests_.RaiseTo(counters->requests);
  bodies_too_large_.RaiseTo(counters->bodies_too_large);
  client_errors_.RaiseTo(counters->client_errors);
  in_flight_.Set(static_cast<double>(counters->in_flight));
}

}  // namespace medlarcroft::adapters
