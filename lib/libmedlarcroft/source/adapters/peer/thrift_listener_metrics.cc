#include "adapters/peer/thrift_listener_metrics.h"

namespace medlarcroft::adapters {

namespace {

using telemetry::Label;
using telemetry::MetricDescription;

constexpr MetricDescription kFrames = {"medlar_thrift_frames_total",
                                       "Frames received."};
constexpr MetricDescription kBadFrames = {
    "medlar_thrift_bad_frames_total",
    "Frames that could not be read; their connections are closed."};
constexpr MetricDescription kConnectionsRefused = {
    "medlar_thrift_connections_refused_total",
    "Connections beyond the listener's limit."};

}  // namespace

ThriftListenerMetrics::ThriftListenerMetrics(
    telemetry::MetricsRegistry& metrics,
    std::string_view listener)
    : frames_(metrics.CounterOf(kFrames,
                                {Label::OfConstant("listener", listener)})),
      bad_frames_(metrics.CounterOf(kBadFrames,
                                    {Label::OfConstant("listener", listener)})),
      connections_refused_(
          metrics.CounterOf(kConnectionsRefused,
                            {Label::OfConstant("listener", listener)})) {}

void ThriftListenerMetrics::Refresh() {
  const ThriftServerCounters* counters = counters_;
  if (counters == nullptr) {
    return;
  }
  frames_.RaiseTo(counters->frames);
  bad_frames_.RaiseTo(counters->bad_frames);
  connections_refused_.RaiseTo(counters->connections_refused);
}

}  // namespace medlarcroft::adapters
