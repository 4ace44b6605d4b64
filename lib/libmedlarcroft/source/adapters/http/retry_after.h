#ifndef MEDLARCROFT_ADAPTERS_HTTP_RETRY_AFTER_H_
#define MEDLARCROFT_ADAPTERS_HTTP_RETRY_AFTER_H_

#include <optional>

#include "adapters/http/http_message.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @return the longest time that a Retry-After header names, at most 10^9 s;
/// nullopt when none is a positive decimal number of seconds, whole or with a
/// fraction. Dates are not read.
[[nodiscard]] std::optional<Duration> ParseRetryAfter(
    const HttpHeaders& headers);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_RETRY_AFTER_H_
