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

/// @brief Receives the readiness events of a descriptor.
class DescriptorHandler {
 public:
  virtual ~DescriptorHandler() = default;

  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

/// @brief Identifies a timer of one loop; 0 is no timer.
using TimerId = std::uint64_t;

/// @brief Single-threaded event loop for descriptors, timers and signals on an
/// ACE reactor. All callbacks run on the thread that calls `Run`, so components
/// that share a loop need no locks. Call `BlockDaemonSignals` first.
class EventLoop final : public ports::Timers {
 public:
  explicit EventLoop(const ports::Clock& clock);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @param handler must stay valid until `Unwatch`; it receives read events
  /// from now on.
  void Watch(int descriptor, DescriptorHandler& handler);
  void SetInterest(int descriptor, bool wants_read, bool wants_write);
  void Unwatch(int descriptor);

  /// @brief Runs `task` once, no earlier than `delay` from now.
  TimerId After(Duration delay, std::function<void()> task);
  /// @brief Runs `task` once per `period`, first after one `period`.
  void Every(Duration period, std::function<void()> task);
  void Cancel(TimerId timer);
  void RunAfter(Duration delay, std::function<void()> task) override {
    After(delay, std::move(task));
  }

  void OnTerminate(std::function<void(int count)> task);
  void OnReload(std::function<void()> task);

  /// @return the exit code passed to `Finish`.
  int Run();
  /// @brief Makes `Run` return at the end of the current loop iteration.
  void Finish(int exit_code);

  /// @return the current time of the loop's clock.
  [[nodiscard]] MonotonicTime Now() const override { return clock_.Now(); }
  [[nodiscard]] const ports::Clock& Clock() const { return clock_; }

 private:
  class Impl;

  const ports::Clock& clock_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_EVENT_LOOP_H_
