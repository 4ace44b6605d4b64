#ifndef MEDLARCROFT_ADAPTERS_PROCESS_WORKER_THREAD_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_WORKER_THREAD_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace medlarcroft::adapters {

/// @brief Runs blocking jobs sequentially on a background thread.
class WorkerThread {
 public:
  using Job = std::function<void()>;

  WorkerThread();
  /// Waits for the running job; queued jobs are dropped.
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  /// @return false when `max_queued` jobs are already queued or the thread is
  /// stopping; `job` will not run.
  [[nodiscard]] bool Post(Job job, std::size_t max_queued);

  /// @brief Queues `job` ahead of all waiting jobs; never rejected.
  void PostFront(Job job);

  /// @return the number of queued jobs, without the one that is running.
  [[nodiscard]] std::size_t Waiting() const;

 private:
  void Run();

  mutable std::mutex mutex_;
  std::condition_variable condition_;
  std::deque<Job> jobs_;
  bool is_stopping_ = false;
  std::thread thread_;
};

/// @brief Runs a task repeatedly on a background thread. The task returns the
/// pause until its next run.
class PeriodicThread {
 public:
  /// @param task returns the pause until its next run.
  explicit PeriodicThread(std::function<std::chrono::nanoseconds()> task);
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// @brief Ends the current pause, or skips the next one when the task is
  /// running.
  void Wake();

 private:
  void Run();

  std::function<std::chrono::nanoseconds()> task_;
  std::mutex mutex_;
  std::condition_variable condition_;
  bool is_woken_ = false;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_WORKER_THREAD_H_
