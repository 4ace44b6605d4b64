// Callers may send any bytes as `traceparent`: every accepted value must parse
// to the same context after formatting.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "medlarcroft/telemetry/trace.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace telemetry = medlarcroft::telemetry;
  const std::string_view header(reinterpret_cast<const char*>(data), size);
  const auto parsed = telemetry::ParseTraceparent(header);
  if (!medlarcroft::IsOk(parsed)) {
    return 0;
  }
  const telemetry::TraceContext& context = medlarcroft::ValueOf(parsed);
  const auto again =
      telemetry::ParseTraceparent(telemetry::FormatTraceparent(context));
  if (!medlarcroft::IsOk(again) || !(medlarcroft::ValueOf(again) == context)) {
    std::abort();
  }
  return 0;
}
