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

/// @brief Lets so many events of one name through in each second. Made for a
/// fault that hits every request: without it thousands of equal lines a second
/// hide the rest and cost more than the requests.
class EventRateLimit {
 public:
  explicit EventRateLimit(std::uint32_t events_per_second)
      : events_per_second_(events_per_second) {}

  /// @return how many events of that name were held back since the last one
  /// let through, or nullopt when this one is held back too.
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
  // Event names are constants of the code, so that there are few.
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_EVENT_RATE_LIMIT_H_
