#include "medlarcroft/emulation/emulated_target.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::emulation {

EmulatedTarget::EmulatedTarget(EventQueue& events,
                               const EmulatedService& service,
                               double time_factor)
    : events_(events),
      slots_(service.slots),
      queue_limit_(service.queue),
      cache_capacity_(service.cached_objects),
      time_factor_(time_factor) {}

std::optional<EmulatedTarget::WorkId> EmulatedTarget::Submit(
    const EmulatedWork& work,
    OnDone done) {
  const bool has_free_slot = running_.size() < slots_;
  if (!has_free_slot && queue_.size() >= queue_limit_) {
    return std::nullopt;
  }
  QueuedWork queued{.id = ++last_id_, .work = work, .done = std::move(done)};
  const WorkId id = queued.id;
  if (has_free_slot) {
    Begin(std::move(queued));
  } else {
    queue_.push_back(std::move(queued));
  }
  return id;
}

void EmulatedTarget::Begin(QueuedWork queued) {
  const auto known = std::ranges::find(cached_objects_, queued.work.object);
  const bool is_warm = known != cached_objects_.end();
  ++runs_;
  warm_runs_ += is_warm ? 1 : 0;
  const double factor =
      time_factor_ * slowdown_ * (is_warm ? queued.work.warm_factor : 1.0);
  const Duration time = FromSeconds(ToSeconds(queued.work.time) * factor);
  running_.insert(queued.id);
  AddToCache(queued.work.object);
  events_.After(time, [this, queued = std::move(queued)] {
    OnFinished(queued.id, queued.work.object, queued.done);
  });
}

void EmulatedTarget::OnFinished(WorkId id,
                                const std::string& object,
                                const OnDone& done) {
  if (running_.erase(id) == 0) {
    return;
  }
  AddToCache(object);
  StartNext();
  done(Report());
}

void EmulatedTarget::AddToCache(const std::string& object) {
  std::erase(cached_objects_, object);
  cached_objects_.push_front(object);
  if (cached_objects_.size() > cache_capacity_) {
    cached_objects_.pop_back();
  }
}

void EmulatedTarget::StartNext() {
  while (!queue_.empty() && running_.size() < slots_) {
    QueuedWork next = std::move(queue_.front());
    queue_.pop_front();
    Begin(std::move(next));
  }
}

void EmulatedTarget::Cancel(WorkId id) {
  if (running_.erase(id) > 0) {
    StartNext();
    return;
  }
  std::erase_if(queue_,
                [&](const QueuedWork& other) { return other.id == id; });
}

void EmulatedTarget::Restart() {
  running_.clear();
  queue_.clear();
  cached_objects_.clear();
}

request_path::LoadReport EmulatedTarget::Report() const {
  return {.running = static_cast<std::uint32_t>(running_.size()),
          .waiting = static_cast<std::uint32_t>(queue_.size()),
          .slots = slots_};
}

}  // namespace medlarcroft::emulation
