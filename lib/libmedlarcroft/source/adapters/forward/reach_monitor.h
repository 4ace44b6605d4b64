#ifndef MEDLARCROFT_ADAPTERS_FORWARD_REACH_MONITOR_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_REACH_MONITOR_H_

#include <memory>
#include <string>
#include <unordered_map>

#include "adapters/event/event_loop.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::adapters {

/// @brief Tries connections to targets when this host may be cut off from them,
/// and logs when that begins and ends. A connection carries no request.
class ReachMonitor {
 public:
  ReachMonitor(EventLoop& loop,
               request_path::RequestPath& path,
               FailureDomainName own_domain);
  ~ReachMonitor();
  ReachMonitor(const ReachMonitor&) = delete;
  ReachMonitor& operator=(const ReachMonitor&) = delete;

 private:
  class Probe;

  void Tick();
  void OnTimeOver(request_path::TargetNumber target, bool is_reached);
  void OnProbed(request_path::TargetNumber target, bool is_reached);
  void LogChange();

  EventLoop& loop_;
  request_path::RequestPath& path_;
  const FailureDomainName own_domain_;
  bool was_cut_off_ = false;
  std::unordered_map<request_path::TargetNumber, std::unique_ptr<Probe>>
      probes_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REACH_MONITOR_H_
