#ifndef MEDLARCROFT_TESTS_STANDINS_TARGET_WORK_QUEUE_H_
#define MEDLARCROFT_TESTS_STANDINS_TARGET_WORK_QUEUE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "adapters/http/http_server.h"

namespace medlarcroft::standins {

using SteadyTime = std::chrono::steady_clock::time_point;

/// @brief Outcome of a request in a slot.
enum class WorkOutcome { kDone, kDeadlinePassed, kCancelled };

/// @brief A request that occupies a slot until `ends_at` or `deadline_at`.
struct Work {
  SteadyTime ends_at;
  SteadyTime deadline_at = SteadyTime::max();
  std::shared_ptr<adapters::Responder> responder;
  std::function<void(WorkOutcome)> finish;
};

/// @brief Times the requests of all slots on one thread. A request whose caller
/// closes its connection is cancelled at once and frees its slot.
class WorkQueue {
 public:
  explicit WorkQueue(std::size_t slots);
  ~WorkQueue();
  WorkQueue(const WorkQueue&) = delete;
  WorkQueue& operator=(const WorkQueue&) = delete;

  /// @return false when all slots are taken; `finish` is then not called.
  [[nodiscard]] bool TryStart(Work work);
  [[nodiscard]] std::size_t Outstanding() const;

  /// @brief Leaves a request unanswered until its caller closes the connection.
  void HoldUnanswered(std::shared_ptr<adapters::Responder> responder);

 private:
  void Run();
  std::list<Work> ExtractFinished(SteadyTime now);
  [[nodiscard]] SteadyTime NextWakeUp() const;
  void CloseAbandoned();

  const std::size_t slots_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::list<Work> active_;
  std::list<std::shared_ptr<adapters::Responder>> unanswered_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_TARGET_WORK_QUEUE_H_
