// Stand-in for the platform: table service, object store and host list in
// memory.

#include <signal.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "standins/platform/platform_handler.h"

namespace {

using medlarcroft::IsOk;
using medlarcroft::TakeValue;
using medlarcroft::adapters::HttpServer;
using medlarcroft::standins::PlatformHandler;
namespace options = boost::program_options;

enum ExitCode {
  kSuccess = 0,
  kBadUsage = 2,
  kBadHostsFile = 3,
  kListenFailed = 4
};

bool LoadHosts(const std::string& path, PlatformHandler& handler) {
  std::ostringstream text;
  const std::ifstream file(path);
  text << file.rdbuf();
  auto hosts = medlarcroft::adapters::ParseHosts(text.str());
  if (!file || !hosts) {
    return false;
  }
  handler.Platform().SetHosts(*std::move(hosts));
  return true;
}

void WaitForStopSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

int Run(const options::variables_map& values) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  PlatformHandler handler;
  if (values.contains("hosts") &&
      !LoadHosts(values["hosts"].as<std::string>(), handler)) {
    std::cerr << R"({"error":"bad-hosts-file"})" << std::endl;
    return kBadHostsFile;
  }
  auto started = HttpServer::Start(
      {.address = values["listen"].as<std::string>()}, handler);
  if (!IsOk(started)) {
    std::cerr << R"({"error":"cannot-listen"})" << std::endl;
    return kListenFailed;
  }
  const auto server = TakeValue(std::move(started));
  std::cout << R"({"port":)" << server->Port() << "}" << std::endl;
  WaitForStopSignal(signals);
  server->Stop();
  return kSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description("standin-platform options");
  auto add = description.add_options();
  add("help", "print this help");
  add("listen", options::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:port to listen on; port 0 selects a free port");
  add("hosts", options::value<std::string>(),
      "JSON file {\"hosts\":[{name,role,failure_domain,address,is_leaving}]}");

  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n' << description;
    return kBadUsage;
  }
  if (values.contains("help")) {
    std::cout << description;
    return kSuccess;
  }
  return Run(values);
}
