#include "standins/target/work_queue.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::standins {

namespace {

/// How often callers are checked for a closed connection.
constexpr auto kDisconnectPollInterval = std::chrono::milliseconds(5);

WorkOutcome OutcomeOf(const Work& work, SteadyTime now) {
  if (work.responder->IsClientDisconnected()) {
    return WorkOutcome::kCancelled;
  }
  return now >= work.deadline_at && work.deadline_at < work.ends_at
             ? WorkOutcome::kDeadlinePassed
             : WorkOutcome::kDone;
}

}  // namespace

WorkQueue::WorkQueue(std::size_t slots)
    : slots_(slots), thread_([this] { Run(); }) {}

WorkQueue::~WorkQueue() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

bool WorkQueue::TryStart(Work work) {
  {
    const std::lock_guard lock(mutex_);
    if (active_.size() >= slots_) {
      return false;
    }
    active_.push_back(std::move(work));
  }
  changed_.notify_one();
  return true;
}

std::size_t WorkQueue::Outstanding() const {
  const std::lock_guard lock(mutex_);
  return active_.size();
}

void WorkQueue::HoldUnanswered(std::shared_ptr<adapters::Responder> responder) {
  {
    const std::lock_guard lock(mutex_);
    unanswered_.push_back(std::move(responder));
  }
  changed_.notify_one();
}

void WorkQueue::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    if (active_.empty() && unanswered_.empty()) {
      changed_.wait(lock);
      continue;
    }
    changed_.wait_until(lock, NextWakeUp());
    CloseAbandoned();
    const SteadyTime now = std::chrono::steady_clock::now();
    std::list<Work> finished = ExtractFinished(now);
    lock.unlock();
    for (Work& work : finished) {
      work.finish(OutcomeOf(work, now));
    }
    lock.lock();
  }
}

std::list<Work> WorkQueue::ExtractFinished(SteadyTime now) {
  std::list<Work> finished;
  for (auto work = active_.begin(); work != active_.end();) {
    const auto next = std::next(work);
    if (now >= std::min(work->ends_at, work->deadline_at) ||
        work->responder->IsClientDisconnected()) {
      finished.splice(finished.end(), active_, work);
    }
    work = next;
  }
  return finished;
}

SteadyTime WorkQueue::NextWakeUp() const {
  SteadyTime next = std::chrono::steady_clock::now() + kDisconnectPollInterval;
  for (const Work& work : active_) {
    next = std::min({next, work.ends_at, work.deadline_at});
  }
  return next;
}

void WorkQueue::CloseAbandoned() {
  unanswered_.remove_if(
      [](const std::shared_ptr<adapters::Responder>& responder) {
        if (!responder->IsClientDisconnected()) {
          return false;
        }
        // The caller does not read this response; it lets the HTTP server close
        // its side of the connection.
        responder->Send({.status = 503});
        return true;
      });
}

}  // namespace medlarcroft::standins
