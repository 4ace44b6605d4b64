#include "standins/target/work_queue.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::standins {

namespace {

/// How often callers are checked for having gone.
constexpr auto kLookInterval = std::chrono::milliseconds(5);

WorkEnd EndOf(const Work& work, SteadyTime now) {
  if (work.responder->IsClientDisconnected()) {
    return WorkEnd::kCancelled;
  }
  return now >= work.deadline_at && work.deadline_at < work.ends_at
             ? WorkEnd::kDeadlinePassed
             : WorkEnd::kDone;
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

void WorkQueue::HoldSilently(std::shared_ptr<adapters::Responder> responder) {
  {
    const std::lock_guard lock(mutex_);
    silent_.push_back(std::move(responder));
  }
  changed_.notify_one();
}

void WorkQueue::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    if (active_.empty() && silent_.empty()) {
      changed_.wait(lock);
      continue;
    }
    changed_.wait_until(lock, NextLook());
    ReleaseAbandoned();
    const SteadyTime now = std::chrono::steady_clock::now();
    std::list<Work> ended = TakeEnded(now);
    lock.unlock();
    for (Work& work : ended) {
      work.finish(EndOf(work, now));
    }
    lock.lock();
  }
}

std::list<Work> WorkQueue::TakeEnded(SteadyTime now) {
  std::list<Work> ended;
  for (auto work = active_.begin(); work != active_.end();) {
    const auto next = std::next(work);
    if (now >= std::min(work->ends_at, work->deadline_at) ||
        work->responder->IsClientDisconnected()) {
      ended.splice(ended.end(), active_, work);
    }
    work = next;
  }
  return ended;
}

SteadyTime WorkQueue::NextLook() const {
  SteadyTime next = std::chrono::steady_clock::now() + kLookInterval;
  for (const Work& work : active_) {
    next = std::min({next, work.ends_at, work.deadline_at});
  }
  return next;
}

void WorkQueue::ReleaseAbandoned() {
  silent_.remove_if([](const std::shared_ptr<adapters::Responder>& responder) {
    if (!responder->IsClientDisconnected()) {
      return false;
    }
    // Nobody reads this; it lets the listener close its side.
    responder->Send({.status = 503});
    return true;
  });
}

}  // namespace medlarcroft::standins
