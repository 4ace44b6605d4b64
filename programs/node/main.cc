// medlar-node: runs one host of medlarcroft on the users' platform.
#include <iostream>
#include <span>

#include "adapters/event/event_loop.h"
#include "adapters/process/daemon_signals.h"
#include "adapters/process/log.h"
#include "adapters/process/memory_return.h"
#include "adapters/process/node_settings.h"
#include "adapters/process/process_exit.h"
#include "adapters/process/program_options.h"
#include "adapters/process/settings_document.h"
#include "adapters/process/system_clock.h"
#include "node.h"

namespace {

using medlarcroft::IsOk;
using medlarcroft::ValueOf;
namespace adapters = medlarcroft::adapters;

using Start = adapters::ProgramStart<adapters::NodeSettings>;

void Reload(const Start& start, medlarcroft::node::Node& node) {
  const auto reloaded =
      adapters::LoadSettings(adapters::NodeSchema(), start.settings_file);
  if (!IsOk(reloaded)) {
    adapters::PrintSettingsErrors(medlarcroft::ErrorOf(reloaded), std::cerr);
    adapters::Log(adapters::LogLevel::kError, "settings-refused");
    return;
  }
  node.Reload(ValueOf(reloaded));
  adapters::Log(adapters::LogLevel::kInfo, "settings-reloaded");
}

int Run(const Start& start) {
  const adapters::NodeSettings& settings = start.settings;
  adapters::StartLogging({.program = "medlar-node",
                          .host = settings.host,
                          .failure_domain = settings.failure_domain,
                          .level = settings.telemetry.log_level,
                          .log4cplus_config = settings.telemetry.log_config,
                          .output = adapters::LogOutput::kStandardOutput});
  const adapters::SystemClock clock;
  adapters::EventLoop loop(clock);
  medlarcroft::node::Node node(settings, loop);
  if (const auto failure = node.Start()) {
    adapters::Log(adapters::LogLevel::kError, "start-failed",
                  {{"reason", medlarcroft::node::NameOf(*failure)}});
    return adapters::kExitFailure;
  }
  adapters::Log(adapters::LogLevel::kInfo, "started",
                {{"region", settings.region}});
  loop.OnTerminate([&](int count) {
    adapters::Log(adapters::LogLevel::kInfo, "stop-requested",
                  {{"signals", count}});
    node.RequestStop(count);
  });
  loop.OnReload([&] { Reload(start, node); });
  return loop.Run();
}

}  // namespace

int main(int argc, char** argv) {
  adapters::ReturnLargeBuffersToSystem();
  adapters::BlockDaemonSignals();
  const std::span<const char* const> arguments(
      argv + 1, static_cast<std::size_t>(argc - 1));
  const auto start = adapters::StartProgram(
      {.name = "medlar-node",
       .summary = "routes and forwards requests on the users' platform"},
      adapters::NodeSchema(), arguments, std::cout, std::cerr);
  if (!IsOk(start)) {
    return medlarcroft::ErrorOf(start);
  }
  adapters::ExitWithoutLogThreads(Run(ValueOf(start)));
}
