#include "adapters/load/deployment_file.h"

#include <nlohmann/json.hpp>

namespace medlarcroft::adapters {

namespace {

using nlohmann::json;

std::vector<std::string> ReadUrls(const json& document, const char* list) {
  std::vector<std::string> urls;
  if (!document.contains(list) || !document[list].is_array()) {
    return urls;
  }
  for (const json& item : document[list]) {
    if (item.is_object() && item.contains("url") && item["url"].is_string()) {
      urls.push_back(item["url"]);
    }
  }
  return urls;
}

}  // namespace

Result<Deployment, DeploymentFileError> ParseDeployment(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return DeploymentFileError::kNotJson;
  }
  Deployment deployment{.lookup_urls = ReadUrls(document, "steerd"),
                        .target_urls = ReadUrls(document, "targets")};
  if (deployment.lookup_urls.empty()) {
    return DeploymentFileError::kNoSteerd;
  }
  return deployment;
}

}  // namespace medlarcroft::adapters
