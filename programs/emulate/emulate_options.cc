#include "emulate_options.h"

#include <boost/program_options.hpp>
#include <iostream>

#include "adapters/process/program_options.h"
#include "adapters/process/version.h"
#include "medlarcroft/emulation/experiment.h"

namespace medlarcroft::emulate {

namespace {

namespace po = boost::program_options;

struct Flags {
  bool version = false;
  bool help = false;
};

std::string DescribeOptions() {
  std::string names = "option to vary, one of:";
  for (const std::string_view name : emulation::OptionNames()) {
    names += " ";
    names += name;
  }
  return names + "; default: compare the known policies";
}

po::options_description MakeDescription(EmulateOptions& options, Flags& flags) {
  po::options_description description("Options");
  auto add = description.add_options();
  add("deployment", po::value(&options.deployment_file),
      "YAML file with regions, services, request classes and faults");
  add("vary", po::value(&options.varied_option), DescribeOptions().c_str());
  add("values", po::value(&options.values)->multitoken(),
      "values of the varied option");
  add("seeds", po::value(&options.seeds),
      "number of runs of each policy (default 5)");
  add("table", po::value(&options.table_file), "write the table to this file");
  add("plot", po::value(&options.plot_file),
      "write an SVG bar chart to this file");
  add("windows", po::bool_switch(&options.shows_windows),
      "also print the credit of each window");
  add("version", po::bool_switch(&flags.version), "print the version and exit");
  add("help", po::bool_switch(&flags.help), "print this text and exit");
  return description;
}

bool IsComplete(const EmulateOptions& options) {
  return !options.deployment_file.empty() && options.seeds > 0 &&
         options.varied_option.empty() == options.values.empty();
}

}  // namespace

ParsedOptions ParseEmulateOptions(int argc, char** argv) {
  EmulateOptions options;
  Flags flags;
  const po::options_description description = MakeDescription(options, flags);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "medlar-emulate: " << error.what() << "\n" << description;
    return {.exit_status = adapters::kExitBadUsage};
  }
  if (flags.help) {
    std::cout << "medlar-emulate: compares policies on an emulated deployment\n"
              << description;
    return {};
  }
  if (flags.version) {
    std::cout << "medlar-emulate " << adapters::kVersion << "\n";
    return {};
  }
  if (!IsComplete(options)) {
    std::cerr << "medlar-emulate: --deployment is required; --vary and "
                 "--values only together"
              << "\n"
              << description;
    return {.exit_status = adapters::kExitBadUsage};
  }
  return {.options = options};
}

}  // namespace medlarcroft::emulate
