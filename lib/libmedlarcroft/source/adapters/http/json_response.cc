#include "adapters/http/json_response.h"

#include <utility>

namespace medlarcroft::adapters {

HttpResponse MakeJsonResponse(int status,
                              const nlohmann::ordered_json& body,
                              JsonLayout layout) {
  constexpr int kNoIndent = -1;
  constexpr int kIndent = 1;
  HttpResponse response{.status = status};
  response.headers.Add("Content-Type", "application/json");
  response.body =
      body.dump(layout == JsonLayout::kCompact ? kNoIndent : kIndent) + "\n";
  return response;
}

HttpResponse MakeMetricsResponse(std::string text) {
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(text);
  return response;
}

}  // namespace medlarcroft::adapters
