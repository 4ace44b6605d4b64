#ifndef MEDLARCROFT_LOAD_GENERATOR_RESPONSE_CHECK_H_
#define MEDLARCROFT_LOAD_GENERATOR_RESPONSE_CHECK_H_

#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/idempotency/outcome.h"
#include "medlarcroft/load_generator/load_transport.h"

namespace medlarcroft::load_generator {

/// @brief A protocol violation in a response, regardless of its status.
enum class ResponseFault {
  kMissingOutcome,  ///< No or an unknown Medlar-Outcome.
  kTruncated,       ///< The response ended early.
  kWrongRequest,    ///< It belongs to another request.
};

/// @brief Result of checking the response to an attempt.
struct AttemptVerdict {
  idempotency::Outcome outcome = idempotency::Outcome::kUnknown;
  std::optional<ResponseFault> fault;
  bool is_success = false;  ///< Ran, and the response is good.
};

/// @brief Values that a response must echo to belong to the request.
struct ExpectedEcho {
  std::string_view path_suffix;  ///< Unique for each request.
  std::string_view body_hash;
};

/// @brief Checks the result of one attempt. Stand-in targets echo the path and
/// the body hash, so that a response to another request is detected.
[[nodiscard]] AttemptVerdict CheckResponse(const ExchangeResult& result,
                                           const ExpectedEcho& expected);

/// @return the cause of an unsuccessful attempt: the response's `code`, its
/// status, or the type of the transport failure.
[[nodiscard]] std::string CauseOf(const ExchangeResult& result);

/// @return the response's Retry-After; 0 when it has none.
[[nodiscard]] Duration RetryAfterOf(const ExchangeResult& result);

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_RESPONSE_CHECK_H_
