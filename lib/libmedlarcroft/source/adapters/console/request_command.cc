#include "adapters/console/request_command.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

namespace medlarcroft::adapters {

std::vector<RequestLogLine> FindRequestLines(std::istream& log,
                                             const std::string& id) {
  std::vector<RequestLogLine> lines;
  std::string text;
  while (std::getline(log, text)) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos || text.find(id) == std::string::npos) {
      continue;
    }
    text.erase(0, begin);
    const auto object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object() || object.value("request", "") != id) {
      continue;
    }
    lines.push_back({.time = object.value("time", ""), .text = text});
  }
  return lines;
}

ExitCode RunRequest(const CommandContext& context,
                    std::span<const std::string> arguments) {
  if (arguments.size() < 2) {
    return ExitCode::kBadUsage;
  }
  const std::string& id = arguments.front();
  std::vector<RequestLogLine> lines;
  for (const std::string& file : arguments.subspan(1)) {
    std::ifstream log(file);
    if (!log) {
      context.errors << file << ": cannot be read\n";
      return ExitCode::kBadUsage;
    }
    auto found = FindRequestLines(log, id);
    std::move(found.begin(), found.end(), std::back_inserter(lines));
  }
  std::ranges::stable_sort(lines, {}, &RequestLogLine::time);
  for (const RequestLogLine& line : lines) {
    context.out << line.text << '\n';
  }
  if (lines.empty()) {
    context.errors << "no line names request " << id << '\n';
    return ExitCode::kNotFound;
  }
  return ExitCode::kDone;
}

}  // namespace medlarcroft::adapters
