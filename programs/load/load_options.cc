#include "load/load_options.h"

#include <boost/program_options.hpp>
#include <iostream>

#include "adapters/process/program_options.h"
#include "adapters/process/version.h"

namespace medlarcroft::load {

namespace {

namespace po = boost::program_options;

struct Flags {
  bool version = false;
  bool help = false;
};

po::options_description MakeDescription(LoadOptions& options, Flags& flags) {
  po::options_description description("Options");
  auto add = description.add_options();
  add("plan", po::value(&options.plan_file), "YAML file with the load plan");
  add("deployment", po::value(&options.deployment_file),
      "JSON file of a running deployment: look-up listeners and targets");
  add("lookup", po::value(&options.lookup_urls)->composing(),
      "look-up listener http://IP:PORT, instead of --deployment; repeatable");
  add("name", po::value(&options.name), "name of the run in its reports");
  add("json", po::value(&options.json_file),
      "write the report to this file as JSON");
  add("html", po::value(&options.html_file),
      "write the report to this file as an HTML page");
  add("against", po::value(&options.baseline_file),
      "compare with the JSON report of an earlier run");
  add("quiet", po::bool_switch(&options.is_quiet), "print no progress");
  add("version", po::bool_switch(&flags.version), "print the version and exit");
  add("help", po::bool_switch(&flags.help), "print this text and exit");
  return description;
}

}  // namespace

ParsedOptions ParseLoadOptions(int argc, char** argv) {
  LoadOptions options;
  Flags flags;
  const po::options_description description = MakeDescription(options, flags);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "medlar-load: " << error.what() << "\n" << description;
    return {.exit_status = adapters::kExitBadUsage};
  }

  if (flags.help) {
    std::cout
        << "medlar-load: open-loop load generator with correctness checks\n"
        << description;
    return {};
  }
  if (flags.version) {
    std::cout << "medlar-load " << adapters::kVersion << "\n";
    return {};
  }
  const bool has_deployment =
      !options.deployment_file.empty() || !options.lookup_urls.empty();
  if (options.plan_file.empty() || !has_deployment) {
    std::cerr << "medlar-load: --plan and one of --deployment and --lookup are "
                 "required\n"
              << description;
    return {.exit_status = adapters::kExitBadUsage};
  }
  return {.options = options};
}

}  // namespace medlarcroft::load
