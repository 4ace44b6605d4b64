#ifndef MEDLARCROFT_ADAPTERS_HTTP_JSON_RESPONSE_H_
#define MEDLARCROFT_ADAPTERS_HTTP_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>

#include "adapters/http/http_message.h"

namespace medlarcroft::adapters {

/// @brief How an answer's JSON is laid out.
enum class JsonLayout { kCompact, kReadable };

/// @return an `application/json` answer.
[[nodiscard]] HttpResponse MakeJsonResponse(
    int status,
    const nlohmann::ordered_json& body,
    JsonLayout layout = JsonLayout::kReadable);

/// @return Prometheus text, version 0.0.4.
[[nodiscard]] HttpResponse MakeMetricsResponse(std::string text);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_JSON_RESPONSE_H_
