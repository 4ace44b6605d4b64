#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ATTEMPT_RESULT_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ATTEMPT_RESULT_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "adapters/http/http_client.h"
#include "medlarcroft/decision/request.h"

namespace medlarcroft::adapters {

/// @brief Outcome of one attempt, in the terms of the request scheduler.
struct AttemptResult {
  decision::AttemptOutcome outcome = decision::AttemptOutcome::kConnectionLost;
  /// Set only if the target sent a complete answer.
  std::optional<ClientResponse> answer;
  /// The target announced that it is draining, whatever else it answered.
  bool is_target_leaving = false;
  /// How long the target wants no requests from this host, whatever it
  /// answered; nullopt: it does not say so.
  std::optional<Duration> rest;
  /// The answer echoed the ID of another attempt, so it belongs to another
  /// request.
  bool is_id_mismatched = false;
  /// No byte was sent, whatever ended the attempt.
  bool is_proved_unsent = false;
};

/// @brief Classifies the transport's result of the attempt with the ID
/// `attempt_id`.
[[nodiscard]] AttemptResult ClassifyAttempt(ClientResult result,
                                            std::string_view attempt_id);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ATTEMPT_RESULT_H_
