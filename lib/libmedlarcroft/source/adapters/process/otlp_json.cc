#include "adapters/process/otlp_json.h"

#include <nlohmann/json.hpp>

namespace medlarcroft::adapters {

namespace {

using nlohmann::json;
using telemetry::Span;
using telemetry::SpanAttribute;

/// Converts an attribute value. OTLP/JSON encodes 64-bit integers as strings.
struct ValueWriter {
  json operator()(bool value) const { return {{"boolValue", value}}; }
  json operator()(std::int64_t value) const {
    return {{"intValue", std::to_string(value)}};
  }
  json operator()(double value) const { return {{"doubleValue", value}}; }
  json operator()(const std::string& value) const {
    return {{"stringValue", value}};
  }
};

json MakeAttribute(std::string_view name, const telemetry::SpanValue& value) {
  return {{"key", name}, {"value", std::visit(ValueWriter{}, value)}};
}

json MakeSpan(const Span& span) {
  const auto start = span.started_at.time_since_epoch();
  json attributes = json::array();
  for (const SpanAttribute& attribute : span.attributes) {
    attributes.push_back(MakeAttribute(attribute.name, attribute.value));
  }
  json object = {
      {"traceId", telemetry::FormatId(span.context.trace_id)},
      {"spanId", telemetry::FormatId(span.context.span_id)},
      {"name", span.name},
      {"kind", static_cast<int>(span.kind)},
      {"startTimeUnixNano", std::to_string(start.count())},
      {"endTimeUnixNano", std::to_string((start + span.duration).count())},
      {"attributes", std::move(attributes)},
      {"status", {{"code", static_cast<int>(span.status)}}}};
  if (span.parent) {
    object["parentSpanId"] = telemetry::FormatId(*span.parent);
  }
  return object;
}

}  // namespace

std::string FormatOtlpJson(const SpanResource& resource,
                           std::span<const Span> spans) {
  json list = json::array();
  for (const Span& span : spans) {
    list.push_back(MakeSpan(span));
  }
  const json attributes = {
      MakeAttribute("service.name", resource.program),
      MakeAttribute("host.name", resource.host),
      MakeAttribute("medlar.failure_domain", resource.failure_domain)};
  const json scope = {{"scope", {{"name", "medlarcroft"}}},
                      {"spans", std::move(list)}};
  const json document = {{"resourceSpans",
                          {{{"resource", {{"attributes", attributes}}},
                            {"scopeSpans", json::array({scope})}}}}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace medlarcroft::adapters
