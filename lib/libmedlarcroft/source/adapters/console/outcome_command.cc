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

// Length of "2026-10-07T12:36:24".
constexpr std::size_t kSecondChars = 19;

/// @return the value of a numeric field; 0 if it is negative, missing or no
/// number.
double NonNegativeNumberOf(const nlohmann::json& line, const char* name) {
  const auto field = line.find(name);
  const bool is_number = field != line.end() && field->is_number();
  return is_number ? std::max(0.0, field->get<double>()) : 0;
}

bool FlagOf(const nlohmann::json& line, const char* name) {
  const auto field = line.find(name);
  return field != line.end() && field->is_boolean() && field->get<bool>();
}

/// @return how a request ended; nullopt if the line does not report the end of
/// a request.
std::optional<std::string> OutcomeOf(const nlohmann::json& line) {
  const std::string event = StringFieldOf(line, "event");
  if (event == "request-answered") {
    return "answered";
  }
  if (event == "request-answered-late") {
    return "late";
  }
  if (event == "request-refused") {
    return "refused, " + StringFieldOf(line, "reason");
  }
  if (event == "request-failed") {
    return "failed, " + StringFieldOf(line, "reason");
  }
  if (event == "request-cancelled") {
    return "cancelled";
  }
  return std::nullopt;
}

bool IsSend(const nlohmann::json& line) {
  const std::string event = StringFieldOf(line, "event");
  return event == "request-placed" || event == "request-sent-again";
}

}  // namespace

void OutcomeSummary::Add(const nlohmann::json& line) {
  const std::string domain = StringFieldOf(line, "failure_domain");
  const std::string route = StringFieldOf(line, "route");
  if (IsSend(line)) {
    Total& total = sends_[{.domain = domain,
                           .route = route,
                           .region = StringFieldOf(line, "region"),
                           .is_warm = FlagOf(line, "is_warm")}];
    ++total.count;
    total.milliseconds += NonNegativeNumberOf(line, "expected_wait_ms");
    return;
  }
  const auto outcome = OutcomeOf(line);
  if (!outcome) {
    return;
  }
  Total& total =
      ends_[{.second = StringFieldOf(line, "time").substr(0, kSecondChars),
             .domain = domain,
             .route = route,
             .outcome = *outcome}];
  ++total.count;
  total.milliseconds += NonNegativeNumberOf(line, "since_arrival_ms");
  unlogged_requests_ +=
      static_cast<std::uint64_t>(NonNegativeNumberOf(line, "held_back"));
}

void OutcomeSummary::Print(std::ostream& out) const {
  const auto mean = [](const Total& total) {
    return FormatMilliseconds(total.milliseconds /
                              static_cast<double>(total.count));
  };
  TextTable ends(
      {"second", "domain", "route", "outcome", "requests", "mean time"});
  for (const auto& [end, total] : ends_) {
    ends.Add({end.second, end.domain, end.route, end.outcome,
              std::to_string(total.count), mean(total)});
  }
  ends.Print(out);
  out << '\n';
  TextTable sends(
      {"domain", "route", "sent to", "object there", "sends", "expected wait"});
  for (const auto& [send, total] : sends_) {
    sends.Add({send.domain, send.route, send.region,
               send.is_warm ? "yes" : "no", std::to_string(total.count),
               mean(total)});
  }
  sends.Print(out);
  out << '\n'
      << unlogged_requests_ << " requests have no lines in these logs\n";
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
      context.errors << file << ": cannot read file\n";
      return ExitCode::kBadUsage;
    }
    for (std::string text; std::getline(log, text);) {
      if (const auto line = ParseLogLine(text)) {
        summary.Add(*line);
      }
    }
  }
  if (summary.IsEmpty()) {
    context.errors << "no request outcomes found\n";
    return ExitCode::kNotFound;
  }
  summary.Print(context.out);
  return ExitCode::kSuccess;
}

}  // namespace medlarcroft::adapters
