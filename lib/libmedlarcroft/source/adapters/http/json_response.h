#ifndef MEDLARCROFT_ADAPTERS_HTTP_JSON_RESPONSE_H_
#define MEDLARCROFT_ADAPTERS_HTTP_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>

#include "adapters/http/http_message.h"

namespace medlarcroft::adapters {

/// @brief Layout of a JSON body.
enum class JsonLayout { kCompact, kReadable };

/// @return a response of type `application/json`.
[[nodiscard]] HttpResponse MakeJsonResponse(
    int status,
    const nlohmann::ordered_json& body,
    JsonLayout layout = JsonLayout::kReadable);

/// @return a response in the Prometheus text format, version 0.0.4.
[[nodiscard]] HttpResponse MakeMetricsResponse(std::string text);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_JSON_RESPONSE_H_
