#include "adapters/event/event_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Thread.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include "adapters/process/daemon_signals.h"
#include "adapters/process/log.h"

namespace medlarcroft::adapters {

namespace {

// Bounds how late a signal that arrives just before the poll is handled: only a
// signal during the poll interrupts it. A longer wait would delay a shutdown, a
// shorter one costs wake-ups.
constexpr Duration kMaxPollWait = std::chrono::milliseconds(250);
// From here on callers notice.
constexpr Duration kLoggedLateness = std::chrono::milliseconds(500);
constexpr Duration kLateLinePeriod = std::chrono::seconds(1);

/// Rounds up to whole milliseconds: the reactor truncates fractions, and the
/// loop would busy-wait for the last one before a timer is due.
ACE_Time_Value ToTimeValue(Duration duration) {
  const std::int64_t milliseconds =
      std::max<std::int64_t>(ToMilliseconds(duration) + 1, 0);
  return ACE_Time_Value(milliseconds / 1000,
                        static_cast<suseconds_t>(milliseconds % 1000 * 1000));
}

ACE_Reactor_Mask ToReactorMask(bool wants_read, bool wants_write) {
  ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
  if (wants_read) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if (wants_write) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  return mask;
}

}  // namespace

/// @brief Handles the events of all descriptors and dispatches them by
/// descriptor.
class EventLoop::Impl final : public ACE_Event_Handler {
 public:
  explicit Impl(const ports::Clock& clock)
      : clock_(clock), reactor_(new ACE_Dev_Poll_Reactor(), true) {}

  ~Impl() override {
    for (const auto& [descriptor, handler] : handlers_) {
      reactor_.remove_handler(descriptor, ACE_Event_Handler::ALL_EVENTS_MASK |
                                              ACE_Event_Handler::DONT_CALL);
    }
  }

  void Watch(int descriptor, DescriptorHandler& handler) {
    handlers_[descriptor] = &handler;
    reactor_.register_handler(descriptor, this, ACE_Event_Handler::READ_MASK);
  }

  void SetInterest(int descriptor, bool wants_read, bool wants_write) {
    reactor_.mask_ops(descriptor, ToReactorMask(wants_read, wants_write),
                      ACE_Reactor::SET_MASK);
  }

  void Unwatch(int descriptor) {
    if (handlers_.erase(descriptor) > 0) {
      reactor_.remove_handler(descriptor, ACE_Event_Handler::ALL_EVENTS_MASK |
                                              ACE_Event_Handler::DONT_CALL);
    }
  }

  int handle_input(ACE_HANDLE descriptor) override {
    if (const auto found = handlers_.find(descriptor);
        found != handlers_.end()) {
      found->second->OnReadable();
    }
    return 0;
  }

  int handle_output(ACE_HANDLE descriptor) override {
    if (const auto found = handlers_.find(descriptor);
        found != handlers_.end()) {
      found->second->OnWritable();
    }
    return 0;
  }

  TimerId After(Duration delay, std::function<void()> task) {
    const TimerId id = ++last_timer_;
    const MonotonicTime due = clock_.Now() + delay;
    timers_.emplace(std::pair(due, id), std::move(task));
    timer_due_times_.emplace(id, due);
    return id;
  }

  void Cancel(TimerId timer) {
    const auto found = timer_due_times_.find(timer);
    if (found == timer_due_times_.end()) {
      return;
    }
    timers_.erase(std::pair(found->second, timer));
    timer_due_times_.erase(found);
  }

  int Run() {
    signals.Unblock();
    reactor_.owner(ACE_Thread::self());
    while (!is_finished_) {
      ACE_Time_Value wait = ToTimeValue(NextPollWait());
      reactor_.handle_events(wait);
      signals.DispatchPending();
      RunDueTimers();
    }
    return exit_code_;
  }

  void Finish(int exit_code) {
    exit_code_ = exit_code;
    is_finished_ = true;
  }

  DaemonSignals signals;

 private:
  [[nodiscard]] Duration NextPollWait() const {
    if (timers_.empty()) {
      return kMaxPollWait;
    }
    const Duration until_due = timers_.begin()->first.first - clock_.Now();
    return std::clamp(until_due, Duration(0), kMaxPollWait);
  }

  void RunDueTimers() {
    const MonotonicTime now = clock_.Now();
    LogIfLate(now);
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      const auto first = timers_.begin();
      const std::function<void()> task = std::move(first->second);
      timer_due_times_.erase(first->first.second);
      timers_.erase(first);
      task();
    }
  }

  // While the loop is late nothing is read or answered: callers leave, and
  // other hosts take this one for dead.
  void LogIfLate(MonotonicTime now) {
    if (timers_.empty() || now < next_late_line_) {
      return;
    }
    const Duration late = now - timers_.begin()->first.first;
    if (late >= kLoggedLateness) {
      next_late_line_ = now + kLateLinePeriod;
      Log(LogLevel::kWarning, "loop-late", {{"late_ms", ToMilliseconds(late)}});
    }
  }

  const ports::Clock& clock_;
  ACE_Reactor reactor_;
  MonotonicTime next_late_line_{};
  std::unordered_map<int, DescriptorHandler*> handlers_;
  std::map<std::pair<MonotonicTime, TimerId>, std::function<void()>> timers_;
  std::unordered_map<TimerId, MonotonicTime> timer_due_times_;
  TimerId last_timer_ = 0;
  bool is_finished_ = false;
  int exit_code_ = 0;
};

EventLoop::EventLoop(const ports::Clock& clock)
    : clock_(clock), impl_(std::make_unique<Impl>(clock)) {}

EventLoop::~EventLoop() = default;

void EventLoop::Watch(int descriptor, DescriptorHandler& handler) {
  impl_->Watch(descriptor, handler);
}

void EventLoop::SetInterest(int descriptor, bool wants_read, bool wants_write) {
  impl_->SetInterest(descriptor, wants_read, wants_write);
}

void EventLoop::Unwatch(int descriptor) {
  impl_->Unwatch(descriptor);
}

TimerId EventLoop::After(Duration delay, std::function<void()> task) {
  return impl_->After(delay, std::move(task));
}

void EventLoop::Every(Duration period, std::function<void()> task) {
  After(period, [this, period, task = std::move(task)] {
    task();
    Every(period, task);
  });
}

void EventLoop::Cancel(TimerId timer) {
  impl_->Cancel(timer);
}

void EventLoop::OnTerminate(std::function<void(int count)> task) {
  impl_->signals.on_terminate = std::move(task);
}

void EventLoop::OnReload(std::function<void()> task) {
  impl_->signals.on_reload = std::move(task);
}

int EventLoop::Run() {
  return impl_->Run();
}

void EventLoop::Finish(int exit_code) {
  impl_->Finish(exit_code);
}

}  // namespace medlarcroft::adapters
