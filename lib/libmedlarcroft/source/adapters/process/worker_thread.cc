#include "adapters/process/worker_thread.h"

#include <utility>

namespace medlarcroft::adapters {

WorkerThread::WorkerThread() {
  thread_ = std::thread([this] { Run(); });
}

WorkerThread::~WorkerThread() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  condition_.notify_all();
  thread_.join();
}

bool WorkerThread::Post(Job job, std::size_t max_queued) {
  {
    const std::lock_guard lock(mutex_);
    if (jobs_.size() >= max_queued || is_stopping_) {
      return false;
    }
    jobs_.push_back(std::move(job));
  }
  condition_.notify_one();
  return true;
}

void WorkerThread::PostFront(Job job) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_front(std::move(job));
  }
  condition_.notify_one();
}

std::size_t WorkerThread::Waiting() const {
  const std::lock_guard lock(mutex_);
  return jobs_.size();
}

void WorkerThread::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    if (jobs_.empty()) {
      condition_.wait(lock);
      continue;
    }
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

PeriodicThread::PeriodicThread(std::function<std::chrono::nanoseconds()> task)
    : task_(std::move(task)) {
  thread_ = std::thread([this] { Run(); });
}

PeriodicThread::~PeriodicThread() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  condition_.notify_all();
  thread_.join();
}

void PeriodicThread::Wake() {
  {
    const std::lock_guard lock(mutex_);
    is_woken_ = true;
  }
  condition_.notify_all();
}

void PeriodicThread::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    lock.unlock();
    const std::chrono::nanoseconds pause = task_();
    lock.lock();
    condition_.wait_for(lock, pause,
                        [this] { return is_woken_ || is_stopping_; });
    is_woken_ = false;
  }
}

}  // namespace medlarcroft::adapters
