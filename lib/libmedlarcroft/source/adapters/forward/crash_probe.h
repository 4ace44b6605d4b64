#ifndef MEDLARCROFT_ADAPTERS_FORWARD_CRASH_PROBE_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_CRASH_PROBE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/event/event_loop.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/request_fingerprint.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::adapters {

/// @brief A send whose connection closed before the complete response arrived.
struct InterruptedSend {
  std::string id;
  request_path::RequestFingerprint fingerprint;
  request_path::TargetIdentity target;
  MonotonicTime ended_at;  ///< When the connection closed.
};

/// @brief Distinguishes a crashed target from a lost response by connecting to
/// the target: the port of a terminated process refuses the connection.
class CrashProbe {
 public:
  using OnCrash = std::function<void(const InterruptedSend&)>;

  CrashProbe(EventLoop& loop, OnCrash on_crash);
  ~CrashProbe();
  CrashProbe(const CrashProbe&) = delete;
  CrashProbe& operator=(const CrashProbe&) = delete;

  /// @brief Probes the target and reports the send if the target has crashed.
  /// Sends to the same address share a pending probe.
  void Check(const std::string& address, InterruptedSend interrupted);

 private:
  class Probe;

  void Finish(const std::string& address, bool is_refused);

  EventLoop& loop_;
  OnCrash on_crash_;
  std::unordered_map<std::string, std::unique_ptr<Probe>> probes_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_CRASH_PROBE_H_
