#include <nlohmann/json.hpp>

#include "medlarcroft/load_generator/load_report.h"

namespace medlarcroft::load_generator {

// nlohmann::json finds these functions by argument-dependent look-up and
// prescribes their names.
// NOLINTBEGIN(readability-identifier-naming)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LatencySummary,
                                   p50_ms,
                                   p90_ms,
                                   p99_ms,
                                   p999_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndCounts,
                                   intended,
                                   ran,
                                   refused,
                                   failed,
                                   unsent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClassReport,
                                   service,
                                   counts,
                                   late,
                                   retries,
                                   latency,
                                   causes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CheckReport,
                                   answers,
                                   truncated,
                                   crossed,
                                   missing_outcome,
                                   is_audited,
                                   is_audit_complete,
                                   double_runs,
                                   false_not_run,
                                   no_run,
                                   examples)

static void to_json(nlohmann::json& json, const SecondReport& second) {
  json = {{"counts", second.counts},
          {"p50_ms", second.p50_ms},
          {"p99_ms", second.p99_ms}};
  if (second.headroom) {
    json["headroom"] = *second.headroom;
  }
}

static void from_json(const nlohmann::json& json, SecondReport& second) {
  json.at("counts").get_to(second.counts);
  json.at("p50_ms").get_to(second.p50_ms);
  json.at("p99_ms").get_to(second.p99_ms);
  if (json.contains("headroom")) {
    second.headroom = json["headroom"].get<double>();
  }
}
// NOLINTEND(readability-identifier-naming)

std::string FormatReportJson(const LoadReport& report) {
  const nlohmann::ordered_json document = {
      {"name", report.name},
      {"verdict", NameOf(report.verdict)},
      {"limits_passed", report.services_over_limit},
      {"duration_s", report.duration_s},
      {"checks", nlohmann::json(report.checks)},
      {"classes", nlohmann::json(report.classes)},
      {"seconds", nlohmann::json(report.seconds)}};
  return document.dump(1) + "\n";
}

Result<LoadReport, ReportParseError> ParseReportJson(std::string_view text) {
  const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return ReportParseError::kNotJson;
  }
  try {
    LoadReport report;
    document.at("name").get_to(report.name);
    document.at("duration_s").get_to(report.duration_s);
    document.at("checks").get_to(report.checks);
    document.at("classes").get_to(report.classes);
    document.at("seconds").get_to(report.seconds);
    return report;
  } catch (const nlohmann::json::exception&) {
    return ReportParseError::kMissingField;
  }
}

}  // namespace medlarcroft::load_generator
