#include "adapters/process/span_output.h"

#include <utility>

#include "adapters/process/log.h"

namespace medlarcroft::adapters {

SpanOutput::SpanOutput(const TelemetrySettings& settings,
                       const SpanResource& resource) {
  if (settings.trace_file.empty()) {
    return;
  }
  auto opened = OtlpFileExporter::Open(settings.trace_file, resource);
  if (IsOk(opened)) {
    file_exporter_ = TakeValue(std::move(opened));
  } else {
    // Tracing is optional: the daemon runs without it.
    Log(LogLevel::kError, "trace-file-refused",
        {{"file", settings.trace_file}});
  }
}

telemetry::SpanExporter& SpanOutput::Exporter() {
  if (file_exporter_) {
    return *file_exporter_;
  }
  return null_exporter_;
}

}  // namespace medlarcroft::adapters
