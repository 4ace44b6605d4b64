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
      remembered_(service.remembered_objects),
      time_factor_(time_factor) {}

std::optional<EmulatedTarget::WorkId> EmulatedTarget::Arrive(
    const EmulatedWork& work,
    OnDone done) {
  const bool has_free_slot = running_.size() < slots_;
  if (!has_free_slot && queue_.size() >= queue_limit_) {
    return std::nullopt;
  }
  Waiting waiting{.id = ++last_id_, .work = work, .done = std::move(done)};
  const WorkId id = waiting.id;
  if (has_free_slot) {
    Begin(std::move(waiting));
  } else {
    queue_.push_back(std::move(waiting));
  }
  return id;
}

void EmulatedTarget::Begin(Waiting waiting) {
  const auto known = std::ranges::find(objects_, waiting.work.object);
  const bool is_warm = known != objects_.end();
  ++runs_;
  warm_runs_ += is_warm ? 1 : 0;
  const double factor =
      time_factor_ * slowdown_ * (is_warm ? waiting.work.warm_part : 1.0);
  const Duration time = FromSeconds(ToSeconds(waiting.work.time) * factor);
  running_.insert(waiting.id);
  Remember(waiting.work.object);
  events_.After(time, [this, waiting = std::move(waiting)] {
    OnWorked(waiting.id, waiting.work.object, waiting.done);
  });
}

void EmulatedTarget::OnWorked(WorkId id,
                              const std::string& object,
                              const OnDone& done) {
  if (running_.erase(id) == 0) {
    return;
  }
  Remember(object);
  BeginNext();
  done(Report());
}

void EmulatedTarget::Remember(const std::string& object) {
  std::erase(objects_, object);
  objects_.push_front(object);
  if (objects_.size() > remembered_) {
    objects_.pop_back();
  }
}

void EmulatedTarget::BeginNext() {
  while (!queue_.empty() && running_.size() < slots_) {
    Waiting next = std::move(queue_.front());
    queue_.pop_front();
    Begin(std::move(next));
  }
}

void EmulatedTarget::Cancel(WorkId id) {
  if (running_.erase(id) > 0) {
    BeginNext();
    return;
  }
  std::erase_if(queue_, [&](const Waiting& other) { return other.id == id; });
}

void EmulatedTarget::Restart() {
  running_.clear();
  queue_.clear();
  objects_.clear();
}

request_path::LoadReport EmulatedTarget::Report() const {
  return {.running = static_cast<std::uint32_t>(running_.size()),
          .waiting = static_cast<std::uint32_t>(queue_.size()),
          .slots = slots_};
}

}  // namespace medlarcroft::emulation
