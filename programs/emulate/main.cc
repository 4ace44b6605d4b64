// medlar-emulate: compares policies on an emulated deployment in virtual time.
#include <fstream>
#include <iostream>

#include "adapters/emulation/deployment_schema.h"
#include "adapters/process/program_options.h"
#include "adapters/process/settings_document.h"
#include "emulate_options.h"
#include "medlarcroft/emulation/experiment.h"

namespace medlarcroft::emulate {
namespace {

std::optional<std::vector<emulation::Policy>> ChoosePolicies(
    const EmulateOptions& options) {
  if (options.varied_option.empty()) {
    return emulation::KnownPolicies();
  }
  return emulation::VaryOption(options.varied_option, options.values);
}

/// @brief Writes to standard output when `file` is empty.
/// @return false, after printing the error, when the file can't be written.
bool WriteText(const std::string& file, const std::string& text) {
  if (file.empty()) {
    std::cout << text;
    return true;
  }
  std::ofstream output(file);
  output << text;
  output.close();
  if (!output) {
    std::cerr << "medlar-emulate: " << file << ": can't write file\n";
  }
  return !output.fail();
}

int Run(const EmulateOptions& options) {
  const auto deployment = adapters::LoadSettings(
      adapters::EmulatedDeploymentSchema(), options.deployment_file);
  if (!IsOk(deployment)) {
    adapters::PrintSettingsErrors(ErrorOf(deployment), std::cerr);
    return adapters::kExitBadSettings;
  }
  const auto policies = ChoosePolicies(options);
  if (!policies) {
    std::cerr << "medlar-emulate: unknown option to vary: "
              << options.varied_option << "\n";
    return adapters::kExitBadUsage;
  }
  const auto results =
      emulation::RunExperiment(ValueOf(deployment), *policies, options.seeds);
  std::string table = emulation::FormatTable(results);
  if (options.shows_windows) {
    table += "\n" + emulation::FormatWindows(results);
  }
  bool is_written = WriteText(options.table_file, table);
  if (!options.plot_file.empty()) {
    is_written = WriteText(options.plot_file, emulation::FormatPlot(results)) &&
                 is_written;
  }
  return is_written ? 0 : adapters::kExitFailure;
}

}  // namespace
}  // namespace medlarcroft::emulate

int main(int argc, char** argv) {
  const auto parsed = medlarcroft::emulate::ParseEmulateOptions(argc, argv);
  return parsed.options ? medlarcroft::emulate::Run(*parsed.options)
                        : parsed.exit_status;
}
