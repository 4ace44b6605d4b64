// medlar-load: open-loop load generator with correctness checks.
#include <fstream>
#include <iostream>
#include <optional>

#include "adapters/load/deployment_file.h"
#include "adapters/load/load_plan_schema.h"
#include "adapters/process/program_options.h"
#include "load/load_options.h"
#include "load/load_run.h"
#include "medlarcroft/load_generator/report_comparison.h"
#include "medlarcroft/load_generator/report_page.h"

namespace medlarcroft::load {
namespace {

using adapters::Deployment;
using load_generator::LoadPlan;
using load_generator::LoadReport;
using load_generator::Verdict;

std::optional<LoadPlan> ReadPlan(const std::string& file) {
  auto plan = adapters::LoadSettings(adapters::LoadPlanSchema(), file);
  if (!IsOk(plan)) {
    adapters::PrintSettingsErrors(ErrorOf(plan), std::cerr);
    return std::nullopt;
  }
  if (ValueOf(plan).classes.empty() || ValueOf(plan).brands.empty()) {
    std::cerr << file << ": classes and brands must not be empty\n";
    return std::nullopt;
  }
  return TakeValue(std::move(plan));
}

std::optional<Deployment> LoadDeployment(const LoadOptions& options) {
  if (options.deployment_file.empty()) {
    return Deployment{.lookup_urls = options.lookup_urls};
  }
  const auto text = adapters::ReadSettingsFile(options.deployment_file);
  if (!IsOk(text)) {
    adapters::PrintSettingsErrors(ErrorOf(text), std::cerr);
    return std::nullopt;
  }
  auto deployment = adapters::ParseDeployment(ValueOf(text));
  if (!IsOk(deployment)) {
    std::cerr << options.deployment_file << ": not a valid deployment file\n";
    return std::nullopt;
  }
  return TakeValue(std::move(deployment));
}

/// @return nullopt, after printing the reason, when the file is no report.
std::optional<LoadReport> ReadReport(const std::string& file) {
  const auto text = adapters::ReadSettingsFile(file);
  if (!IsOk(text)) {
    adapters::PrintSettingsErrors(ErrorOf(text), std::cerr);
    return std::nullopt;
  }
  auto report = load_generator::ParseReportJson(ValueOf(text));
  if (!IsOk(report)) {
    std::cerr << file << ": not a JSON report of medlar-load\n";
    return std::nullopt;
  }
  return TakeValue(std::move(report));
}

void Compare(const LoadReport& before, LoadReport& report) {
  const auto comparison = load_generator::CompareReports(before, report);
  std::cout << "compared with " << before.name << ":\n"
            << load_generator::FormatComparison(comparison);
  for (const load_generator::ClassComparison& row : comparison) {
    if (row.is_worse && report.verdict == Verdict::kPass) {
      report.verdict = Verdict::kWorse;
    }
  }
}

bool WriteText(const std::string& file, const std::string& text) {
  if (file.empty()) {
    return true;
  }
  std::ofstream out(file, std::ios::binary);
  out << text << std::flush;
  if (!out.good()) {
    std::cerr << file << ": can't write file\n";
  }
  return out.good();
}

int Run(int argc, char** argv) {
  const ParsedOptions parsed = ParseLoadOptions(argc, argv);
  if (!parsed.options) {
    return parsed.exit_status;
  }
  const LoadOptions& options = *parsed.options;
  const auto plan = ReadPlan(options.plan_file);
  const auto deployment = LoadDeployment(options);
  std::optional<LoadReport> before;
  if (!options.baseline_file.empty()) {
    before = ReadReport(options.baseline_file);
  }
  if (!plan || !deployment || (!options.baseline_file.empty() && !before)) {
    return adapters::kExitBadSettings;
  }

  LoadReport report = RunLoad(*plan, *deployment, options);
  if (before) {
    Compare(*before, report);
  }
  std::cout << load_generator::FormatReportText(report);
  const bool is_written =
      WriteText(options.json_file, load_generator::FormatReportJson(report)) &&
      WriteText(options.html_file,
                load_generator::FormatReportPage(report, before));
  return is_written ? static_cast<int>(report.verdict)
                    : adapters::kExitBadUsage;
}

}  // namespace
}  // namespace medlarcroft::load

int main(int argc, char** argv) {
  return medlarcroft::load::Run(argc, argv);
}
