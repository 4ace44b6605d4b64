#include "adapters/console/outcome_command.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string_view>

#include "adapters/console/log_line.h"
#include "adapters/console/text_table.h"

namespace medlarcroft::adapters {

namespace {

// "2026-10-07T12:36:24"
constexpr std::size_t kSecondChars = 19;

/// @return the count or time of that field; 0 when it is none.
double NumberOf(const nlohmann::json& line, const char* name) {
  const auto field = line.find(name);
  const bool is_number = field != line.end() && field->is_number();
  return is_number ? std::max(0.0, field->get<double>()) : 0;
}

bool FlagOf(const nlohmann::json& line, const char* name) {
  const auto field = line.find(name);
  return field != line.end() && field->is_boolean() && field->get<bool>();
}

/// @return how the request of that line ended; nullopt: the line tells of no
/// end.
std::optional<std::string> OutcomeOf(const nlohmann::json& line) {
  const std::string event = TextField(line, "event");
  if (event == "request-answered") {
    return "answered";
  }
  if (event == "request-answered-late") {
    return "late";
  }
  if (event == "request-refused") {
    return "refused, " + TextField(line, "reason");
  }
  if (event == "request-failed") {
    return "failed, " + TextField(line, "reason");
  }
  if (event == "request-cancelled") {
    return "cancelled";
  }
  return std::nullopt;
}

bool IsSend(const nlohmann::json& line) {
  const std::string event = TextField(line, "event");
  return event == "request-placed" || event == "request-sent-again";
}

}  // namespace

void OutcomeSummary::Add(const nlohmann::json& line) {
  const std::string domain = TextField(line, "failure_domain");
  const std::string route = TextField(line, "route");
  if (IsSend(line)) {
    Sum& sum = sends_[{.domain = domain,
                       .route = route,
                       .region = TextField(line, "region"),
                       .is_warm = FlagOf(line, "is_warm")}];
    ++sum.count;
    sum.milliseconds += NumberOf(line, "expected_wait_ms");
    return;
  }
  const auto outcome = OutcomeOf(line);
  if (!outcome) {
    return;
  }
  Sum& sum = ends_[{.second = TextField(line, "time").substr(0, kSecondChars),
                    .domain = domain,
                    .route = route,
                    .outcome = *outcome}];
  ++sum.count;
  sum.milliseconds += NumberOf(line, "since_arrival_ms");
  left_out_ += static_cast<std::uint64_t>(NumberOf(line, "held_back"));
}

void OutcomeSummary::Print(std::ostream& out) const {
  const auto mean = [](const Sum& sum) {
    return FormatMilliseconds(sum.milliseconds /
                              static_cast<double>(sum.count));
  };
  TextTable ends(
      {"second", "domain", "route", "outcome", "requests", "mean time"});
  for (const auto& [end, sum] : ends_) {
    ends.Add({end.second, end.domain, end.route, end.outcome,
              std::to_string(sum.count), mean(sum)});
  }
  ends.Print(out);
  out << '\n';
  TextTable sends(
      {"domain", "route", "sent to", "object there", "sends", "expected wait"});
  for (const auto& [send, sum] : sends_) {
    sends.Add({send.domain, send.route, send.region,
               send.is_warm ? "yes" : "no", std::to_string(sum.count),
               mean(sum)});
  }
  sends.Print(out);
  out << '\n' << left_out_ << " requests have no lines in these logs\n";
}

ExitCode RunOutcomes(const CommandContext& context,
                     std::span<const std::string> arguments) {
  if (arguments.empty()) {
    return ExitCode::kBadUsage;
  }
  OutcomeSummary summary;
  for (const std::string& file : arguments) {
    std::ifstream log(file);
    if (!log) {
      context.errors << file << ": cannot be read\n";
      return ExitCode::kBadUsage;
    }
    for (std::string text; std::getline(log, text);) {
      if (const auto line = ReadLogLine(text)) {
        summary.Add(*line);
      }
    }
  }
  if (summary.IsEmpty()) {
    context.errors << "no line tells how a request ended\n";
    return ExitCode::kNotFound;
  }
  summary.Print(context.out);
  return ExitCode::kDone;
}

}  // namespace medlarcroft::adapters
