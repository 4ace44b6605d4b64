#ifndef MEDLARCROFT_EMULATION_EMULATION_H_
#define MEDLARCROFT_EMULATION_EMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "medlarcroft/emulation/emulated_deployment.h"
#include "medlarcroft/emulation/emulated_host.h"
#include "medlarcroft/emulation/emulated_target.h"
#include "medlarcroft/emulation/emulation_metrics.h"
#include "medlarcroft/emulation/event_queue.h"

namespace medlarcroft::emulation {

/// @brief How hosts decide in a run.
struct EmulationOptions {
  request_path::RequestPath::Options path;
  /// Whether hosts tell the others of their region what they placed.
  bool tells_placed = true;
  /// Whether they tell the others of their region the loads that they hear.
  bool tells_loads = true;
  std::uint64_t seed = 1;
};

/// @brief A deployment in virtual time: callers, hosts with the product's own
/// decisions, and targets. What hosts know of each other's work is what they
/// know in a real one: the reports in answers and what is told of objects.
class Emulation {
 public:
  /// @param deployment must outlive the emulation.
  Emulation(const EmulatedDeployment& deployment,
            const EmulationOptions& options);

  [[nodiscard]] EmulationFigures Run();

 private:
  struct Caller {
    const EmulatedKind* kind = nullptr;
    std::size_t region = 0;
    std::string object;
    Duration work{0};
    MonotonicTime arrived;
    std::uint32_t returns_left = 0;
    request_path::RequestFingerprint fingerprint;
    bool crashes_targets = false;
  };
  struct Send {
    std::size_t target = 0;
    EmulatedTarget::WorkId work = 0;  ///< 0: it is not there.
    bool is_abandoned = false;
  };
  struct Running {
    Caller caller;
    std::size_t host = 0;
    request_path::RequestTicket ticket = 0;
    bool is_over = false;
    std::map<request_path::AttemptNumber, Send> sends;
  };
  using RunningPointer = std::shared_ptr<Running>;

  void MakeTargets();
  void MakeHosts(const EmulationOptions& options);
  void PlanFaults();
  void SetFault(const EmulatedFault& fault, bool is_on);
  void SetTargetFault(const EmulatedFault& fault, bool is_on);
  void SetCutHosts(double part);
  void AskCrashingRequest(const EmulatedFault& fault);
  /// @brief Fails all requests at the target and schedules its restart.
  void CrashTarget(std::size_t target);
  void RestartTarget(std::size_t target);
  void RegisterTargets();
  void ConnectReportSinks();
  void AdvanceRateLimits();
  void TellOtherHosts(std::size_t host,
                      const std::function<void(EmulatedHost&)>& deliver);
  void RecordLimitUse(std::size_t target);
  void ArriveLater(std::size_t kind, std::size_t region);
  [[nodiscard]] double RateAt(std::size_t kind,
                              std::size_t region,
                              Duration at) const;
  [[nodiscard]] double DemandPart(std::size_t region) const;
  [[nodiscard]] Caller MakeCaller(std::size_t kind, std::size_t region);

  void Ask(const Caller& caller);
  void Carry(const RunningPointer& running, const request_path::Step& step);
  void SendTo(const RunningPointer& running,
              const request_path::SendAttempt& attempt);
  void Deliver(const RunningPointer& running,
               request_path::AttemptNumber attempt,
               Duration way);
  void EndSend(const RunningPointer& running,
               request_path::AttemptNumber attempt,
               request_path::AttemptEnd end);
  void TellPlaced(const Running& running,
                  const request_path::SendAttempt& attempt);
  void TellLoad(const Running& running,
                const request_path::TargetIdentity& target,
                const request_path::LoadReport& report);
  void Finish(const RunningPointer& running);
  void CancelSend(Send& send, Duration way);
  void OnRefused(const Caller& caller,
                 const request_path::RequestFailure& ending);
  void Conclude(const Caller& caller, bool is_served, bool is_refused);

  [[nodiscard]] Duration Elapsed() const { return events_.Now() - began_; }
  [[nodiscard]] Duration WayTo(const std::string& from, std::size_t to) const;
  [[nodiscard]] double Exponential();
  [[nodiscard]] double Normal();

  struct Placed {
    request_path::TargetRecord record;
    std::string service;
    std::unique_ptr<EmulatedTarget> target;
    bool is_gone = false;
    double lost_part = 0;
    std::optional<double> limit;
    MonotonicTime limit_changed_at;
    /// Requests within the rate limit window, while a limit is declared.
    std::deque<MonotonicTime> arrivals;
    /// Accepted since the last crash, including those that have ended.
    std::vector<std::pair<RunningPointer, request_path::AttemptNumber>>
        accepted_sends;
  };

  const EmulatedDeployment& deployment_;
  bool tells_placed_;
  bool tells_loads_;
  EventQueue events_;
  MonotonicTime began_;
  RepeatableRandom random_;
  std::vector<Placed> targets_;
  std::map<TargetName, std::size_t> target_places_;
  std::vector<std::unique_ptr<EmulatedHost>> hosts_;
  std::vector<std::vector<std::size_t>> hosts_by_region_;
  std::vector<bool> is_cut_;  ///< By host.
  double more_callers_ = 1.0;
  std::uint64_t last_fingerprint_ = 0;
  EmulationFigures figures_;
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATION_H_
