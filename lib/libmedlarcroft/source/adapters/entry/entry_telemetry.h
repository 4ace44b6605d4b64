#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_TELEMETRY_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_TELEMETRY_H_

#include <memory>
#include <string_view>

#include "adapters/entry/request_engine.h"
#include "adapters/entry/request_events.h"
#include "adapters/entry/request_parser.h"
#include "medlarcroft/telemetry/metrics.h"
#include "medlarcroft/telemetry/tracer.h"

namespace medlarcroft::adapters {

/// @brief Metrics and trace spans of request processing.
class EntryTelemetry final : public RequestEvents {
 public:
  EntryTelemetry(telemetry::MetricsRegistry& metrics, telemetry::Tracer& tracer)
      : metrics_(metrics), tracer_(tracer) {}

  /// @brief Starts this hop's span as a child of the trace context that the
  /// caller sent, if it is valid.
  [[nodiscard]] std::shared_ptr<telemetry::ActiveSpan> StartRequest(
      const ServiceRequest& request,
      std::string_view trace_parent);

  /// @brief Records a request's final answer and ends its span.
  void EndRequest(const ServiceRequest& request,
                  const RequestResult& result,
                  Duration latency);

  // RequestEvents
  AttemptTrace OnAttemptStart(const ServiceRequest& request,
                              const TargetName& target,
                              decision::DispatchKind kind) override;
  void OnAttemptEnd(const AttemptEvent& event) override;
  void OnRefused(const ServiceRequest& request,
                 const decision::Refusal& refusal) override;
  void OnSilentConnection(const TargetName& target) override;
  void OnRestStarted(const TargetName& target,
                     Duration length,
                     std::string_view attempt) override;
  void OnRestEnded(const TargetName& target) override;
  void OnLeavingStated(const TargetName& target,
                       std::string_view attempt) override;

 private:
  telemetry::MetricsRegistry& metrics_;
  telemetry::Tracer& tracer_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_TELEMETRY_H_
