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
  Duration time{0};          ///< Service time, uncached, at average speed.
  double warm_factor = 1.0;  ///< Factor for a cached object.
};

/// @brief A target in virtual time, with a limited number of slots, a bounded
/// queue, and an LRU cache of objects that shortens service times.
class EmulatedTarget {
 public:
  using WorkId = std::uint64_t;
  /// @param report load report sent with the response.
  using OnDone = std::function<void(const request_path::LoadReport& report)>;

  EmulatedTarget(EventQueue& events,
                 const EmulatedService& service,
                 double time_factor);

  /// @return nullopt when slots and queue are full and the request does not
  /// run.
  std::optional<WorkId> Submit(const EmulatedWork& work, OnDone done);
  /// @brief Aborts the work, as when its connection is closed.
  void Cancel(WorkId id);
  /// @brief Drops all work and all cached objects, as a process restart does.
  void Restart();

  void SetSlowdown(double slowdown) { slowdown_ = slowdown; }

  [[nodiscard]] request_path::LoadReport Report() const;
  [[nodiscard]] std::uint64_t WarmRuns() const { return warm_runs_; }
  [[nodiscard]] std::uint64_t Runs() const { return runs_; }

 private:
  struct QueuedWork {
    WorkId id = 0;
    EmulatedWork work;
    OnDone done;
  };

  void Begin(QueuedWork queued);
  void OnFinished(WorkId id, const std::string& object, const OnDone& done);
  void AddToCache(const std::string& object);
  void StartNext();

  EventQueue& events_;
  std::uint32_t slots_;
  std::uint32_t queue_limit_;
  std::size_t cache_capacity_;
  double time_factor_;
  double slowdown_ = 1.0;
  WorkId last_id_ = 0;
  std::set<WorkId> running_;
  std::deque<QueuedWork> queue_;
  std::list<std::string> cached_objects_;  ///< Most recently used first.
  std::uint64_t runs_ = 0;
  std::uint64_t warm_runs_ = 0;
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATED_TARGET_H_
