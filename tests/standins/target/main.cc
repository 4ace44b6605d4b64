// standin-target: a simple target for tests and the demo.
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "adapters/http/http_server.h"
#include "standins/target/target_handler.h"

namespace medlarcroft::standins {
namespace {

namespace po = boost::program_options;

/// Time for requests in flight to finish after SIGTERM.
constexpr auto kDrainLimit = std::chrono::seconds(5);
constexpr int kExitBadUsage = 2;

struct CommandLine {
  TargetOptions options;
  double service_time_ms = 20;
  bool wants_help = false;
};

po::options_description MakeDescription(CommandLine& line) {
  TargetOptions& options = line.options;
  po::options_description description("standin-target");
  auto add = description.add_options();
  add("help", po::bool_switch(&line.wants_help), "print this help");
  add("listen", po::value(&options.listen),
      "IP:PORT to listen on; port 0 selects a free port");
  add("name", po::value(&options.name), "name of the target");
  add("service", po::value(&options.service), "service of the target");
  add("failure-domain", po::value(&options.failure_domain),
      "failure domain of the target");
  add("slots", po::value(&options.slots), "number of concurrent requests");
  add("service-time-ms", po::value(&line.service_time_ms),
      "mean of the exponential service time");
  add("seed", po::value(&options.seed), "seed of the random service times");
  return description;
}

void PrintPort(const TargetOptions& options, std::uint16_t port) {
  const nlohmann::json line = {{"target", options.name},
                               {"service", options.service},
                               {"failure_domain", options.failure_domain},
                               {"port", port}};
  std::cout << line.dump() << '\n' << std::flush;
}

void WaitForIdle(const TargetHandler& handler) {
  const auto limit = std::chrono::steady_clock::now() + kDrainLimit;
  while (handler.Outstanding() > 0 &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Serve(const TargetOptions& options) {
  // Must precede the start of threads, so that all of them inherit the mask.
  const sigset_t signals = BlockStopSignals();
  TargetHandler handler(options);
  const auto started = adapters::HttpServer::Start(
      {.address = options.listen, .threads = 1}, handler);
  if (!IsOk(started)) {
    std::cerr << R"({"event":"cannot-listen","address":")" << options.listen
              << "\"}\n";
    return kExitBadUsage;
  }

  adapters::HttpServer& server = *ValueOf(started);
  handler.SetConnectionCounter(server.Counters().connections);
  PrintPort(options, server.Port());
  int signal = 0;
  sigwait(&signals, &signal);

  handler.StartDraining();
  server.StartDraining();
  WaitForIdle(handler);
  server.Stop();
  return 0;
}

int Run(int argc, char** argv) {
  CommandLine line;
  const po::options_description description = MakeDescription(line);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << description;
    return kExitBadUsage;
  }
  if (line.wants_help) {
    std::cout << description;
    return 0;
  }
  line.options.mean_service_time = FromSeconds(line.service_time_ms / 1000);
  return Serve(line.options);
}

}  // namespace
}  // namespace medlarcroft::standins

int main(int argc, char** argv) {
  return medlarcroft::standins::Run(argc, argv);
}
