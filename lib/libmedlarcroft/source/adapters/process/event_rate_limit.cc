#include "adapters/process/event_rate_limit.h"

#include <utility>

namespace medlarcroft::adapters {

std::optional<std::uint64_t> EventRateLimit::Admit(std::string_view event,
                                                   MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  auto found = windows_.find(event);
  if (found == windows_.end()) {
    found = windows_.emplace(std::string(event), Window{.began = now}).first;
  }

  Window& window = found->second;
  if (now - window.began >= std::chrono::seconds(1)) {
    window.began = now;
    window.admitted = 0;
  }
  if (window.admitted >= events_per_second_) {
    window.suppressed_count++;
    return std::nullopt;
  }
  window.admitted++;
  return std::exchange(window.suppressed_count, 0);
}

}  // namespace medlarcroft::adapters
