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

  /// @brief Runs `task` once a `period`, first after one period.
  void Every(Duration period, std::function<void()> task);

  /// @brief Runs `task` at each SIGTERM or SIGINT with how many came so far.
  void OnTerminate(std::function<void(int count)> task);

  /// @brief Runs `task` at each SIGHUP.
  void OnReload(std::function<void()> task);

  /// @return the code given to `Finish`.
  int Run();

  /// @brief Ends `Run` after the current callback.
  void Finish(int exit_code);

 private:
  class Engine;
  std::unique_ptr<Engine> engine_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_LOOP_H_
