#ifndef MEDLARCROFT_ADAPTERS_EVENT_EVENT_LOOP_H_
#define MEDLARCROFT_ADAPTERS_EVENT_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/timers.h"

namespace medlarcroft::adapters {

/// @brief Hears when a descriptor can be read or written.
class DescriptorHandler {
 public:
  virtual ~DescriptorHandler() = default;

  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

/// @brief Names a timer of one loop; 0 names none.
using TimerId = std::uint64_t;

/// @brief One thread that serves descriptors, timers and signals on an ACE
/// reactor. Everything it calls runs on the thread of `Run`, so that parts
/// which share a loop need no locks. Call `BlockDaemonSignals` before.
class EventLoop final : public ports::Timers {
 public:
  explicit EventLoop(const ports::Clock& clock);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @param handler must stay until `Unwatch`; it hears of reads from now on.
  void Watch(int descriptor, DescriptorHandler& handler);
  void SetInterest(int descriptor, bool wants_read, bool wants_write);
  void Unwatch(int descriptor);

  /// @brief Runs `task` once, no earlier than after `delay`.
  TimerId After(Duration delay, std::function<void()> task);
  /// @brief Runs `task` once a `period`.
  void Every(Duration period, std::function<void()> task);
  void Cancel(TimerId timer);
  void RunAfter(Duration delay, std::function<void()> task) override {
    After(delay, std::move(task));
  }

  void OnTerminate(std::function<void(int count)> task);
  void OnReload(std::function<void()> task);

  /// @return the code given to `Finish`.
  int Run();
  /// @brief Ends `Run` after the current callback.
  void Finish(int exit_code);

  /// @return the time at which the present callback began.
  [[nodiscard]] MonotonicTime Now() const override { return clock_.Now(); }
  [[nodiscard]] const ports::Clock& Clock() const { return clock_; }

 private:
  class Engine;

  const ports::Clock& clock_;
  std::unique_ptr<Engine> engine_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_EVENT_LOOP_H_
