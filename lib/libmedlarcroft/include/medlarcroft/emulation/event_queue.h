#ifndef MEDLARCROFT_EMULATION_EVENT_QUEUE_H_
#define MEDLARCROFT_EMULATION_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "medlarcroft/core/time.h"

namespace medlarcroft::emulation {

/// @brief Event queue in virtual time. Tasks run in order of their time; tasks
/// of equal time run in the order in which they were scheduled.
class EventQueue {
 public:
  [[nodiscard]] MonotonicTime Now() const { return now_; }

  void At(MonotonicTime time, std::function<void()> task) {
    events_.push({.time = std::max(time, now_),
                  .order = ++last_order_,
                  .task = std::move(task)});
  }
  void After(Duration delay, std::function<void()> task) {
    At(now_ + delay, std::move(task));
  }

  /// @brief Runs all tasks that are due at or before `end`.
  void RunUntil(MonotonicTime end) {
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.task();
    }
    now_ = std::max(now_, end);
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t order = 0;
    std::function<void()> task;

    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t last_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EVENT_QUEUE_H_
