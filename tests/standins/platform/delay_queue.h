#ifndef MEDLARCROFT_TESTS_STANDINS_PLATFORM_DELAY_QUEUE_H_
#define MEDLARCROFT_TESTS_STANDINS_PLATFORM_DELAY_QUEUE_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace medlarcroft::standins {

/// @brief Runs tasks after a delay on a thread of its own, so that delayed
/// responses do not block the threads of the HTTP server.
class DelayQueue {
 public:
  DelayQueue() : thread_([this] { Run(); }) {}
  DelayQueue(const DelayQueue&) = delete;
  DelayQueue& operator=(const DelayQueue&) = delete;
  ~DelayQueue() {
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }

  void RunAfter(std::chrono::milliseconds delay, std::function<void()> task) {
    {
      const std::lock_guard lock(mutex_);
      tasks_.emplace(Clock::now() + delay, std::move(task));
    }
    changed_.notify_all();
  }

 private:
  using Clock = std::chrono::steady_clock;

  void Run() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
      if (tasks_.empty()) {
        changed_.wait(lock);
        continue;
      }
      const auto due = tasks_.begin()->first;
      if (due > Clock::now()) {
        changed_.wait_until(lock, due);
        continue;
      }

      const auto task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      lock.unlock();
      task();
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Clock::time_point, std::function<void()>> tasks_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_PLATFORM_DELAY_QUEUE_H_
