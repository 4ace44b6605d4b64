#ifndef MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_PARSER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_PARSER_H_

#include <memory>
#include <optional>
#include <span>
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

/// @brief Selects the headers of a message that are forwarded: all but
/// hop-by-hop headers, those that `Connection` names, those that the HTTP
/// client sets itself, and those that are reserved for this system.
/// @param kept names of reserved headers that are forwarded all the same.
[[nodiscard]] HttpHeaders ForwardedHeaders(
    const HttpHeaders& headers,
    std::span<const std::string_view> kept = {});

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_PARSER_H_
