#ifndef MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_MAIN_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_MAIN_H_

#include <iostream>
#include <memory>
#include <span>
#include <string>

#include "adapters/process/daemon_loop.h"
#include "adapters/process/log.h"
#include "adapters/process/memory_return.h"
#include "adapters/process/process_exit.h"
#include "adapters/process/program_options.h"
#include "adapters/process/settings_schema.h"
#include "adapters/process/system_clock.h"
#include "medlarcroft/process/stop_sequence.h"

namespace medlarcroft::adapters {

/// Interval between calls of a node's `Tick`. A stop request or an expired
/// lease is noticed within this time.
inline constexpr Duration kTickPeriod = std::chrono::milliseconds(200);

/// @brief Runs a daemon's node until it has stopped.
/// @return the exit status of the process.
template <typename Node, typename Settings>
int RunNode(const ProgramIdentity& identity,
            const SettingsSchema<Settings>& schema,
            const ProgramStart<Settings>& start) {
  const Settings& settings = start.settings;
  StartLogging({.program = std::string(identity.name),
                .host = settings.host,
                .failure_domain = settings.failure_domain,
                .level = settings.telemetry.log_level,
                .log4cplus_config = settings.telemetry.log_config});
  const SystemClock clock;
  auto started = Node::Start(settings, clock);
  if (!IsOk(started)) {
    Log(LogLevel::kError, "start-failed",
        {{"reason", NameOf(ErrorOf(started))}});
    return kExitFailure;
  }
  const std::unique_ptr<Node> node = TakeValue(std::move(started));
  Log(LogLevel::kInfo, "started");

  DaemonLoop loop;
  loop.Every(kTickPeriod, [&] {
    node->Tick();
    if (node->Phase() == process::StopPhase::kStopped) {
      loop.Finish(0);
    }
  });
  loop.OnTerminate([&](int count) {
    Log(LogLevel::kInfo, "stop-requested", {{"signals", count}});
    node->RequestStop(count);
  });
  loop.OnReload([&] {
    const auto reloaded = LoadSettings(schema, start.settings_file);
    if (!IsOk(reloaded)) {
      PrintSettingsErrors(ErrorOf(reloaded), std::cerr);
      Log(LogLevel::kError, "settings-refused");
      return;
    }
    node->Reload(ValueOf(reloaded));
    Log(LogLevel::kInfo, "settings-reloaded");
  });
  const int status = loop.Run();
  Log(LogLevel::kInfo, "stopped", {{"requests_cut", node->Cut()}});
  return status;
}

/// @brief Implements a daemon's `main`: parses the command line, loads the
/// settings, runs the node and ends the process.
/// @return the exit status of a process that did not run the node.
template <typename Node, typename Settings>
int RunDaemonProgram(const ProgramIdentity& identity,
                     const SettingsSchema<Settings>& schema,
                     int argc,
                     const char* const* argv) {
  ReturnLargeBuffersToSystem();
  BlockDaemonSignals();
  const std::span<const char* const> arguments(
      argv + 1, static_cast<std::size_t>(argc - 1));
  const auto start =
      StartProgram(identity, schema, arguments, std::cout, std::cerr);
  if (!IsOk(start)) {
    return ErrorOf(start);
  }
  ExitWithoutLogThreads(RunNode<Node>(identity, schema, ValueOf(start)));
}

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_MAIN_H_
