#ifndef MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_LOOP_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_LOOP_H_

#include <functional>
#include <memory>

#include "adapters/process/daemon_signals.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief A daemon's main loop: timers and signals on an ACE reactor. All
/// callbacks run on the thread that calls `Run`.
class DaemonLoop {
 public:
  DaemonLoop();
  ~DaemonLoop();
  DaemonLoop(const DaemonLoop&) = delete;
  DaemonLoop& operator=(const DaemonLoop&) = delete;

  /// @brief Runs `task` every `period`; the first run is one period from now.
  void Every(Duration period, std::function<void()> task);

  /// @brief Runs `task` on SIGTERM or SIGINT, with the number of such signals
  /// received so far.
  void OnTerminate(std::function<void(int count)> task);

  /// @brief Runs `task` on SIGHUP.
  void OnReload(std::function<void()> task);

  /// @brief Runs the loop until `Finish` is called.
  /// @return the exit code passed to `Finish`.
  int Run();

  /// @brief Makes `Run` return after the current loop iteration.
  void Finish(int exit_code);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_LOOP_H_
