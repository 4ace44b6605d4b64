#include "adapters/console/request_command.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <utility>

#include "adapters/console/log_line.h"

namespace medlarcroft::adapters {

std::vector<RequestLogLine> FindRequestLines(std::istream& log,
                                             const std::string& id) {
  std::vector<RequestLogLine> lines;
  std::string text;
  while (std::getline(log, text)) {
    if (text.find(id) == std::string::npos) {
      continue;
    }
    const auto object = ParseLogLine(text);
    if (object && StringFieldOf(*object, "request") == id) {
      lines.push_back({.time = StringFieldOf(*object, "time"), .text = text});
    }
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
      context.errors << file << ": cannot read file\n";
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
    context.errors << "no log lines found for request " << id << '\n';
    return ExitCode::kNotFound;
  }
  return ExitCode::kSuccess;
}

}  // namespace medlarcroft::adapters
