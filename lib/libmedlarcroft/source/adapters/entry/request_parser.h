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

/// @brief A caller's request for a service, its head checked.
struct ServiceRequest {
  ServiceName service;
  BrandName brand;
  std::string method;
  std::string target_path;  ///< Path and query for the target, from "/".
  std::optional<Duration> time_left;
  std::optional<std::string> key_text;
  std::optional<std::string> forwarded_by;
  std::string forward_proof;
  HttpHeaders headers;  ///< Those that go on to the target.
  std::string body;
  /// This hop's span, the parent of the attempts' spans; may be null.
  std::shared_ptr<telemetry::ActiveSpan> span;
};

/// @return the service that a raw request target names, if it is of the form
/// /v1/services/{service}/...
[[nodiscard]] std::optional<std::string_view> ExtractServiceName(
    std::string_view raw_target);

/// @brief Checks a request's head; consumes the request.
[[nodiscard]] Result<ServiceRequest, ProblemCode> ParseServiceRequest(
    HttpRequest&& request);

/// @return whether a field concerns one connection only, or is ours to set, and
/// so is not passed on.
[[nodiscard]] bool IsStrippedHeader(std::string_view name);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_PARSER_H_
