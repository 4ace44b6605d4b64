#ifndef MEDLARCROFT_ADAPTERS_PROCESS_OTLP_JSON_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_OTLP_JSON_H_

#include <span>
#include <string>

#include "medlarcroft/telemetry/span.h"

namespace medlarcroft::adapters {

/// @brief OTLP resource attributes of the process that created the spans.
struct SpanResource {
  std::string program;
  std::string host;
  std::string failure_domain;
};

/// @return an OTLP/JSON ExportTraceServiceRequest on one line, without a
/// trailing newline.
[[nodiscard]] std::string FormatOtlpJson(
    const SpanResource& resource,
    std::span<const telemetry::Span> spans);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_OTLP_JSON_H_
