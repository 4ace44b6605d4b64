#include "adapters/http/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace medlarcroft::adapters {

std::optional<Duration> ParseRetryAfter(const HttpHeaders& headers) {
  double longest = 0;
  for (const HttpHeader& header : headers.Fields()) {
    if (!IsSameHeaderName(header.name, "Retry-After")) {
      continue;
    }
    double seconds = 0;
    const char* const end = header.value.data() + header.value.size();
    const auto parsed = std::from_chars(header.value.data(), end, seconds,
                                        std::chars_format::fixed);
    if (parsed.ec == std::errc() && parsed.ptr == end &&
        std::isfinite(seconds)) {
      longest = std::max(longest, seconds);
    }
  }
  // Whatever is much longer does not fit into a duration.
  constexpr double kMaxSeconds = 1e9;
  return longest > 0
             ? std::optional(FromSeconds(std::min(longest, kMaxSeconds)))
             : std::nullopt;
}

}  // namespace medlarcroft::adapters
