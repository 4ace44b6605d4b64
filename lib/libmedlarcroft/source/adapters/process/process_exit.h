#ifndef MEDLARCROFT_ADAPTERS_PROCESS_PROCESS_EXIT_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_PROCESS_EXIT_H_

#include <cstdlib>

namespace medlarcroft::adapters {

/// @brief Ends a process that has stopped and written its log.
///
/// At a normal exit the log library waits for its worker threads, which do not
/// end on a host with one slow core. The stopped process then stays until it is
/// killed, and its successor starts seconds later. All log lines are written by
/// now, so nothing is lost by not waiting.
[[noreturn]] inline void ExitWithoutLogThreads(int status) {
  std::quick_exit(status);
}

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_PROCESS_EXIT_H_
