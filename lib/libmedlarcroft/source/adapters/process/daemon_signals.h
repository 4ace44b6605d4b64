#ifndef MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_SIGNALS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_SIGNALS_H_

#include <functional>
#include <memory>

namespace medlarcroft::adapters {

/// @brief Blocks the signals that `DaemonSignals` handles in the calling thread
/// and those it starts later. Call it first in main: a signal taken by a worker
/// thread would not wake the loop.
void BlockDaemonSignals();

/// @brief SIGTERM, SIGINT and SIGHUP of a process, counted when they come and
/// served by its loop.
class DaemonSignals {
 public:
  DaemonSignals();
  ~DaemonSignals();
  DaemonSignals(const DaemonSignals&) = delete;
  DaemonSignals& operator=(const DaemonSignals&) = delete;

  /// @brief Lets the calling thread take the signals from now on.
  void Unblock();
  /// @brief Calls what is set below for signals that came since the last call.
  void DispatchPending();

  std::function<void(int count)> on_terminate = [](int) {};
  std::function<void()> on_reload = [] {};

 private:
  class Counter;

  std::unique_ptr<Counter> counter_;
  int served_terminations_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_SIGNALS_H_
