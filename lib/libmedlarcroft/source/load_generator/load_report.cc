#include "medlarcroft/load_generator/load_report.h"

#include <array>
#include <iomanip>
#include <sstream>

namespace medlarcroft::load_generator {

namespace {

constexpr int kColumnWidth = 10;

void AddClassRow(const ClassReport& report, std::ostream& out) {
  const EndCounts& counts = report.counts;
  out << std::left << std::setw(2 * kColumnWidth) << report.service
      << std::right;
  for (const std::uint64_t count :
       {counts.intended, counts.ran, counts.refused, counts.failed,
        counts.unsent, report.late, report.retries}) {
    out << std::setw(kColumnWidth) << count;
  }
  for (const double milliseconds :
       {report.latency.p50_ms, report.latency.p99_ms, report.latency.p999_ms}) {
    out << std::setw(kColumnWidth) << milliseconds;
  }
  out << "\n";
}

void AddCauses(const ClassReport& report, std::ostream& out) {
  for (const auto& [cause, count] : report.causes) {
    out << "  " << report.service << ": " << count << " x " << cause << "\n";
  }
}

void AddChecks(const CheckReport& checks, std::ostream& out) {
  out << "checks: " << checks.answers << " responses; truncated "
      << checks.truncated << ", crossed " << checks.crossed
      << ", without outcome " << checks.missing_outcome << "\n";
  if (!checks.is_audited) {
    out << "runs: not compared (no targets listed)\n";
    return;
  }
  out << "runs: double " << checks.double_runs << ", false \"not run\" "
      << checks.false_not_run << ", reported but not run " << checks.no_run
      << (checks.is_audit_complete ? "" : " (some targets did not respond)")
      << "\n";
  for (const std::string& example : checks.examples) {
    out << "  " << example << "\n";
  }
}

}  // namespace

std::string_view NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kPass:
      return "pass";
    case Verdict::kFault:
      return "fault";
    case Verdict::kOverLimit:
      return "over-limit";
    case Verdict::kWorse:
      return "worse";
    case Verdict::kNoResponse:
      return "no-answer";
  }
  return "";
}

std::string FormatReportText(const LoadReport& report) {
  constexpr std::array<std::string_view, 10> kColumns = {
      "intended", "ran",     "refused", "failed", "unsent",
      "late",     "retries", "p50 ms",  "p99 ms", "p99.9 ms"};
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << report.name << ": " << report.duration_s << " s\n";
  out << std::left << std::setw(2 * kColumnWidth) << "service" << std::right;
  for (const std::string_view column : kColumns) {
    out << std::setw(kColumnWidth) << column;
  }
  out << "\n";
  for (const ClassReport& row : report.classes) {
    AddClassRow(row, out);
  }
  for (const ClassReport& row : report.classes) {
    AddCauses(row, out);
  }
  AddChecks(report.checks, out);
  for (const std::string& service : report.services_over_limit) {
    out << "over its limits: " << service << "\n";
  }
  out << "verdict: " << NameOf(report.verdict) << "\n";
  return out.str();
}

}  // namespace medlarcroft::load_generator
