#ifndef MEDLARCROFT_EMULATION_EMULATED_TARGET_H_
#define MEDLARCROFT_EMULATION_EMULATED_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>

#include "medlarcroft/core/time.h"
#include "medlarcroft/emulation/emulated_deployment.h"
#include "medlarcroft/emulation/event_queue.h"
#include "medlarcroft/request_path/target_state.h"

namespace medlarcroft::emulation {

/// @brief One request as it arrives at a target.
struct EmulatedWork {
  std::string object;
  Duration time{0};        ///< Without the object, at a target of usual speed.
  double warm_part = 1.0;  ///< Of that time, with the object.
};

/// @brief A target in virtual time: slots, a queue of its own, and objects on
/// which it works faster since it handled them lately.
class EmulatedTarget {
 public:
  using WorkId = std::uint64_t;
  /// @param report as the answer tells it.
  using OnDone = std::function<void(const request_path::LoadReport& report)>;

  EmulatedTarget(EventQueue& events,
                 const EmulatedService& service,
                 double time_factor);

  /// @return nullopt when slots and queue are full: it does not run.
  std::optional<WorkId> Arrive(const EmulatedWork& work, OnDone done);
  /// @brief Its connection closed: the work ends, also unfinished.
  void Cancel(WorkId id);
  /// @brief Drops all work and all remembered objects, as a new process does.
  void Restart();

  void SetSlowdown(double slowdown) { slowdown_ = slowdown; }

  [[nodiscard]] request_path::LoadReport Report() const;
  [[nodiscard]] std::uint64_t WarmRuns() const { return warm_runs_; }
  [[nodiscard]] std::uint64_t Runs() const { return runs_; }

 private:
  struct Waiting {
    WorkId id = 0;
    EmulatedWork work;
    OnDone done;
  };

  void Begin(Waiting waiting);
  void OnWorked(WorkId id, const std::string& object, const OnDone& done);
  void Remember(const std::string& object);
  void BeginNext();

  EventQueue& events_;
  std::uint32_t slots_;
  std::uint32_t queue_limit_;
  std::size_t remembered_;
  double time_factor_;
  double slowdown_ = 1.0;
  WorkId last_id_ = 0;
  std::set<WorkId> running_;
  std::deque<Waiting> queue_;
  std::list<std::string> objects_;  ///< Latest first.
  std::uint64_t runs_ = 0;
  std::uint64_t warm_runs_ = 0;
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATED_TARGET_H_
