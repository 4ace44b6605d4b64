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
  std::string names = "option that is varied, one of:";
  for (const std::string_view name : emulation::OptionNames()) {
    names += " ";
    names += name;
  }
  return names + "; none: the known policies are compared";
}

po::options_description MakeDescription(EmulateOptions& options, Flags& flags) {
  po::options_description description("Options");
  auto add = description.add_options();
  add("deployment", po::value(&options.deployment_file),
      "YAML file: regions, services, kinds of requests, faults");
  add("vary", po::value(&options.varied_option), DescribeOptions().c_str());
  add("values", po::value(&options.values)->multitoken(),
      "values of that option");
  add("seeds", po::value(&options.seeds), "runs of each policy (5)");
  add("table", po::value(&options.table_file), "write the table there");
  add("plot", po::value(&options.plot_file), "write a picture (SVG) there");
  add("windows", po::bool_switch(&options.shows_windows),
      "show the credit of each window as well");
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
    std::cout << "medlar-emulate: tries policies on an emulated deployment\n"
              << description;
    return {};
  }
  if (flags.version) {
    std::cout << "medlar-emulate " << adapters::kVersion << "\n";
    return {};
  }
  if (!IsComplete(options)) {
    std::cerr << "medlar-emulate: needs --deployment, and --values with --vary"
              << "\n"
              << description;
    return {.exit_status = adapters::kExitBadUsage};
  }
  return {.options = options};
}

}  // namespace medlarcroft::emulate
