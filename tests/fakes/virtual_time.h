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

    bool operator<(const Event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  [[nodiscard]] std::uint64_t IncarnationOf(int host) const {
    const auto found = incarnations_.find(host);
    return found == incarnations_.end() ? 0 : found->second;
  }

  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t last_number_ = 0;
  std::priority_queue<Event> events_;
  std::map<int, MonotonicTime> paused_until_;
  std::map<int, std::uint64_t> incarnations_;
};

/// @brief The timers of one host.
class HostTimers final : public ports::Timers {
 public:
  HostTimers(VirtualTime& time, int host) : time_(time), host_(host) {}

  [[nodiscard]] MonotonicTime Now() const override { return time_.Now(); }
  void RunAfter(Duration delay, std::function<void()> task) override {
    time_.At(host_, time_.Now() + delay, std::move(task));
  }

 private:
  VirtualTime& time_;
  int host_;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_VIRTUAL_TIME_H_
