#include "adapters/process/daemon_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Thread.h>

#include <utility>
#include <vector>

#include "adapters/process/daemon_signals.h"

namespace medlarcroft::adapters {

namespace {

ACE_Time_Value ToTimeValue(Duration duration) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return ACE_Time_Value(micros / 1'000'000,
                        static_cast<suseconds_t>(micros % 1'000'000));
}

/// @brief Runs a task each time the reactor's timer fires.
class PeriodicTask final : public ACE_Event_Handler {
 public:
  PeriodicTask(ACE_Reactor& reactor, std::function<void()> task)
      : ACE_Event_Handler(&reactor), task_(std::move(task)) {}

  int handle_timeout(const ACE_Time_Value& /*now*/,
                     const void* /*argument*/) override {
    task_();
    return 0;
  }

 private:
  std::function<void()> task_;
};

}  // namespace

class DaemonLoop::Impl {
 public:
  Impl() : reactor_(new ACE_Dev_Poll_Reactor(), true) {}

  ~Impl() {
    for (const auto& task : tasks_) {
      reactor_.cancel_timer(task.get());
    }
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Every(Duration period, std::function<void()> task) {
    tasks_.push_back(std::make_unique<PeriodicTask>(reactor_, std::move(task)));
    const ACE_Time_Value interval = ToTimeValue(period);
    reactor_.schedule_timer(tasks_.back().get(), nullptr, interval, interval);
  }

  int Run() {
    signals.Unblock();
    reactor_.owner(ACE_Thread::self());
    while (!is_finished_) {
      // A signal interrupts the wait. One that arrives just before the wait
      // begins is handled when this short timeout (0.1 s) expires.
      ACE_Time_Value wait(0, 100'000);
      reactor_.handle_events(wait);
      signals.DispatchPending();
    }
    return exit_code_;
  }

  void Finish(int exit_code) {
    exit_code_ = exit_code;
    is_finished_ = true;
  }

  DaemonSignals signals;

 private:
  ACE_Reactor reactor_;
  std::vector<std::unique_ptr<PeriodicTask>> tasks_;
  bool is_finished_ = false;
  int exit_code_ = 0;
};

DaemonLoop::DaemonLoop() : impl_(std::make_unique<Impl>()) {}

DaemonLoop::~DaemonLoop() = default;

void DaemonLoop::Every(Duration period, std::function<void()> task) {
  impl_->Every(period, std::move(task));
}

void DaemonLoop::OnTerminate(std::function<void(int count)> task) {
  impl_->signals.on_terminate = std::move(task);
}

void DaemonLoop::OnReload(std::function<void()> task) {
  impl_->signals.on_reload = std::move(task);
}

int DaemonLoop::Run() {
  return impl_->Run();
}

void DaemonLoop::Finish(int exit_code) {
  impl_->Finish(exit_code);
}

}  // namespace medlarcroft::adapters
