#include "adapters/console/log_line.h"

namespace medlarcroft::adapters {

std::optional<nlohmann::json> ParseLogLine(std::string& text) {
  const std::size_t begin = text.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  text.erase(0, begin);
  auto object = nlohmann::json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  return object;
}

std::string StringFieldOf(const nlohmann::json& line, const char* name) {
  const auto field = line.find(name);
  return field != line.end() && field->is_string() ? field->get<std::string>()
                                                   : std::string();
}

}  // namespace medlarcroft::adapters
