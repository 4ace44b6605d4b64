#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SPAN_OUTPUT_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SPAN_OUTPUT_H_

#include <memory>
#include <string>

#include "adapters/process/common_settings.h"
#include "adapters/process/otlp_file_exporter.h"
#include "medlarcroft/telemetry/span.h"

namespace medlarcroft::adapters {

/// @brief Selects the span exporter of a daemon by its settings: an OTLP file,
/// or an exporter that discards all spans.
class SpanOutput {
 public:
  SpanOutput(const TelemetrySettings& settings, const SpanResource& resource);

  [[nodiscard]] telemetry::SpanExporter& Exporter();

 private:
  class NullExporter final : public telemetry::SpanExporter {
   public:
    void Export(telemetry::Span /*span*/) override {}
  };

  NullExporter null_exporter_;
  std::unique_ptr<OtlpFileExporter> file_exporter_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SPAN_OUTPUT_H_
