#ifndef MEDLARCROFT_ADAPTERS_PROCESS_EVENT_RATE_LIMIT_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_EVENT_RATE_LIMIT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Limits how many events of the same name are logged per second.
///
/// When an error affects every request, thousands of identical lines per second
/// would hide all others and cost more than the requests. A limit per event
/// name keeps the other events visible and bounds the cost.
class EventRateLimit {
 public:
  explicit EventRateLimit(std::uint32_t events_per_second)
      : events_per_second_(events_per_second) {}

  /// @return the number of events of that name suppressed since the last one
  /// admitted, or nullopt when this one is suppressed as well.
  [[nodiscard]] std::optional<std::uint64_t> Admit(std::string_view event,
                                                   MonotonicTime now);

 private:
  struct Window {
    MonotonicTime began;
    std::uint32_t admitted = 0;
    std::uint64_t suppressed_count = 0;
  };

  const std::uint32_t events_per_second_;
  std::mutex mutex_;
  // One entry per event name. The names are constants in the code, so the map
  // stays small.
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_EVENT_RATE_LIMIT_H_
