#ifndef MEDLARCROFT_TESTS_FAKES_VIRTUAL_TIME_H_
#define MEDLARCROFT_TESTS_FAKES_VIRTUAL_TIME_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <utility>

#include "medlarcroft/ports/timers.h"

namespace medlarcroft::fakes {

/// @brief Runs tasks in virtual time. Tasks of a paused host are deferred until
/// it resumes; tasks of a killed host are dropped.
class VirtualTime {
 public:
  static constexpr int kNoHost = -1;

  [[nodiscard]] MonotonicTime Now() const { return now_; }

  void At(int host, MonotonicTime at, std::function<void()> task) {
    events_.push({.at = at,
                  .number = ++last_number_,
                  .host = host,
                  .incarnation = IncarnationOf(host),
                  .task = std::move(task)});
  }
  void Pause(int host, MonotonicTime until) { paused_until_[host] = until; }
  /// @brief As `Pause`, but the host's own clock stands still meanwhile.
  void Freeze(int host, MonotonicTime until) {
    Pause(host, until);
    clock_lags_[host] += until - now_;
  }
  /// @brief Runs each task of the host late by `lateness()`, in order.
  /// An empty function ends this.
  void SetLateness(int host, std::function<Duration()> lateness) {
    lateness_[host] = std::move(lateness);
  }
  /// @return the time by the host's own clock.
  [[nodiscard]] MonotonicTime OwnTime(int host) const {
    const auto found = clock_lags_.find(host);
    return found == clock_lags_.end() ? now_ : now_ - found->second;
  }
  /// @brief Runs a task of a host after a time by its own clock.
  void After(int host, Duration delay, std::function<void()> task) {
    At(host, now_ + delay,
       [this, host, due = OwnTime(host) + delay, task = std::move(task)] {
         if (OwnTime(host) < due) {
           After(host, due - OwnTime(host), task);
         } else {
           task();
         }
       });
  }
  void Kill(int host) { ++incarnations_[host]; }
  [[nodiscard]] bool IsPaused(int host) const {
    const auto found = paused_until_.find(host);
    return found != paused_until_.end() && now_ < found->second;
  }

  void RunUntil(MonotonicTime end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      if (event.incarnation != IncarnationOf(event.host)) {
        continue;
      }
      if (IsPaused(event.host)) {
        event.at = paused_until_[event.host];
        events_.push(std::move(event));
        continue;
      }
      if (IsDeferred(event)) {
        events_.push(std::move(event));
        continue;
      }
      event.task();
    }
    now_ = end;
  }

 private:
  struct Event {
    MonotonicTime at;
    std::uint64_t number = 0;
    int host = kNoHost;
    std::uint64_t incarnation = 0;
    std::function<void()> task;
    bool is_late = false;

    bool operator<(const Event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  [[nodiscard]] std::uint64_t IncarnationOf(int host) const {
    const auto found = incarnations_.find(host);
    return found == incarnations_.end() ? 0 : found->second;
  }

  /// @return whether the task is to run later, since its host is slow.
  bool IsDeferred(Event& event) {
    const auto found = lateness_.find(event.host);
    if (event.is_late || found == lateness_.end() || !found->second) {
      return false;
    }
    MonotonicTime& last = last_late_[event.host];
    last = std::max(last, event.at + found->second());
    event.at = last;
    event.is_late = true;
    return true;
  }

  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t last_number_ = 0;
  std::priority_queue<Event> events_;
  std::map<int, MonotonicTime> paused_until_;
  std::map<int, std::uint64_t> incarnations_;
  std::map<int, Duration> clock_lags_;
  std::map<int, std::function<Duration()>> lateness_;
  std::map<int, MonotonicTime> last_late_;
};

/// @brief The timers of one host.
class HostTimers final : public ports::Timers {
 public:
  HostTimers(VirtualTime& time, int host) : time_(time), host_(host) {}

  [[nodiscard]] MonotonicTime Now() const override {
    return time_.OwnTime(host_);
  }
  void RunAfter(Duration delay, std::function<void()> task) override {
    time_.After(host_, delay, std::move(task));
  }

 private:
  VirtualTime& time_;
  int host_;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_VIRTUAL_TIME_H_
