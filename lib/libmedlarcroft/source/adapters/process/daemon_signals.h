#ifndef MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_SIGNALS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_SIGNALS_H_

#include <functional>
#include <memory>

namespace medlarcroft::adapters {

/// @brief Blocks the signals that `DaemonSignals` handles, in the calling
/// thread and in all threads it starts later. Must be called first in `main`: a
/// signal delivered to a worker thread would not wake the main loop. Also
/// ignores SIGPIPE.
void BlockDaemonSignals();

/// @brief Handles SIGTERM, SIGINT and SIGHUP: the signal handler only counts
/// them, and the main loop dispatches them to callbacks.
class DaemonSignals {
 public:
  DaemonSignals();
  ~DaemonSignals();
  DaemonSignals(const DaemonSignals&) = delete;
  DaemonSignals& operator=(const DaemonSignals&) = delete;

  /// @brief Unblocks the signals in the calling thread.
  void Unblock();
  /// @brief Calls the callbacks below for signals received since the last call.
  /// Several signals of one kind result in one call.
  void DispatchPending();

  std::function<void(int count)> on_terminate = [](int) {};
  std::function<void()> on_reload = [] {};

 private:
  class SignalCounter;

  std::unique_ptr<SignalCounter> counter_;
  int reported_terminations_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_DAEMON_SIGNALS_H_
