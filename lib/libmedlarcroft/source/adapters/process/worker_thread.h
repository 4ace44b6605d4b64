#ifndef MEDLARCROFT_ADAPTERS_PROCESS_WORKER_THREAD_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_WORKER_THREAD_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace medlarcroft::adapters {

/// @brief Runs jobs that block, one after the other, on a thread of its own.
class WorkerThread {
 public:
  using Job = std::function<void()>;

  WorkerThread();
  /// Jobs not yet begun are dropped.
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  /// @return false when `max_queued` jobs wait already: `job` will not run.
  [[nodiscard]] bool Post(Job job, std::size_t max_queued);

  /// @brief Runs `job` before all others that wait; never refused.
  void PostFront(Job job);

  /// @return jobs that wait; the one that runs is not counted.
  [[nodiscard]] std::size_t Waiting() const;

 private:
  void Run();

  mutable std::mutex mutex_;
  std::condition_variable signal_;
  std::deque<Job> jobs_;
  bool is_stopping_ = false;
  std::thread thread_;
};

/// @brief Runs a task again and again on a thread of its own, with a pause
/// after each run that the task chooses.
class PeriodicThread {
 public:
  /// @param task returns the pause until its next run.
  explicit PeriodicThread(std::function<std::chrono::nanoseconds()> task);
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// @brief Ends the present pause.
  void Wake();

 private:
  void Run();

  std::function<std::chrono::nanoseconds()> task_;
  std::mutex mutex_;
  std::condition_variable signal_;
  bool is_woken_ = false;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_WORKER_THREAD_H_
