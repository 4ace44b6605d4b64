#ifndef MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_PARSER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_PARSER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/entry/problem.h"
#include "adapters/http/http_message.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/telemetry/tracer.h"

namespace medlarcroft::adapters {

/// @brief A caller's request for a service, with validated headers.
struct ServiceRequest {
  ServiceName service;
  BrandName brand;
  std::string method;
  std::string target_path;  ///< Path and query for the target, from "/".
  std::optional<Duration> time_left;
  std::optional<std::string> key_text;
  std::optional<std::string> forwarded_by;
  std::string forward_proof;
  HttpHeaders headers;  ///< Headers to forward to the target.
  std::string body;
  /// Span of this hop, the parent of the spans of its attempts; may be null.
  std::shared_ptr<telemetry::ActiveSpan> span;
};

/// @return the service name in a raw request target of the form
/// /v1/services/{service}/..., or nullopt for any other target.
[[nodiscard]] std::optional<std::string_view> ExtractServiceName(
    std::string_view raw_target);

/// @brief Validates a request's target and headers; consumes the request.
[[nodiscard]] Result<ServiceRequest, ProblemCode> ParseServiceRequest(
    HttpRequest&& request);

/// @return whether a header is removed from forwarded messages: a hop-by-hop
/// header, one that the HTTP client sets itself, or one that is reserved for
/// this system.
[[nodiscard]] bool IsStrippedHeader(std::string_view name);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_PARSER_H_
