#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ATTEMPT_RESULT_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ATTEMPT_RESULT_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "adapters/http/http_client.h"
#include "medlarcroft/decision/request.h"

namespace medlarcroft::adapters {

/// @brief One attempt's end in the terms of the decisions.
struct AttemptResult {
  decision::AttemptOutcome outcome = decision::AttemptOutcome::kConnectionLost;
  /// Present for a whole answer, and only then.
  std::optional<ClientResponse> answer;
  /// The target said that it is leaving, whatever the answer.
  bool is_target_leaving = false;
  /// The answer named another attempt: it belongs to somebody else.
  bool is_crossed = false;
};

/// @brief Judges what came back for the attempt called `attempt_name`.
[[nodiscard]] AttemptResult ClassifyAttempt(ClientResult result,
                                            std::string_view attempt_name);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ATTEMPT_RESULT_H_
