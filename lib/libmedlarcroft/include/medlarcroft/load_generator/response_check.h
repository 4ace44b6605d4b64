#ifndef MEDLARCROFT_LOAD_GENERATOR_RESPONSE_CHECK_H_
#define MEDLARCROFT_LOAD_GENERATOR_RESPONSE_CHECK_H_

#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/idempotency/outcome.h"
#include "medlarcroft/load_generator/load_transport.h"

namespace medlarcroft::load_generator {

/// @brief What is wrong with an answer, whatever it says.
enum class AnswerFault {
  kMissingOutcome,  ///< No, or an unknown, Medlar-Outcome.
  kTruncated,       ///< A part of an answer reached the caller.
  kCrossed,         ///< It answers another request.
};

/// @brief An attempt's answer, judged.
struct AttemptVerdict {
  idempotency::Outcome outcome = idempotency::Outcome::kUnknown;
  std::optional<AnswerFault> fault;
  bool is_success = false;  ///< It ran and the target's answer is good.
};

/// @brief What an answer must show to be this request's own.
struct ExpectedEcho {
  std::string_view path_suffix;  ///< Unique for each request.
  std::string_view body_hash;
};

/// @brief Judges what came of one attempt. Stand-in targets echo path and body
/// hash, so that an answer to another request shows.
[[nodiscard]] AttemptVerdict CheckResponse(const ExchangeResult& result,
                                           const ExpectedEcho& expected);

/// @return the name of the cause of an unsuccessful attempt: the answer's
/// `code`, its status, or the kind of failure.
[[nodiscard]] std::string CauseOf(const ExchangeResult& result);

/// @return how long the answer asks to wait; 0 when it does not.
[[nodiscard]] Duration RetryAfterOf(const ExchangeResult& result);

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_RESPONSE_CHECK_H_
