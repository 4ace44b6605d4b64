#include "medlarcroft/load_generator/response_check.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace medlarcroft::load_generator {

namespace {

using idempotency::Outcome;
using nlohmann::json;

constexpr int kFirstErrorStatus = 400;
constexpr std::int64_t kMaxRetryAfterSeconds = 3600;

struct OutcomeName {
  std::string_view name;
  Outcome outcome;
};

constexpr std::array kOutcomeNames = {
    OutcomeName{"ran", Outcome::kRan},
    OutcomeName{"not-run", Outcome::kNotRun},
    OutcomeName{"unknown", Outcome::kUnknown},
};

std::optional<Outcome> OutcomeOf(const ExchangeResult& result) {
  const auto text = result.Find("medlar-outcome");
  for (const OutcomeName& known : kOutcomeNames) {
    if (text == known.name) {
      return known.outcome;
    }
  }
  return std::nullopt;
}

std::string FieldOf(const json& document, const char* name) {
  const bool has_field = document.is_object() && document.contains(name) &&
                         document[name].is_string();
  return has_field ? document[name].get<std::string>() : std::string();
}

bool IsMatchingResponse(const ExchangeResult& result,
                        const ExpectedEcho& expected) {
  const json document = json::parse(result.body, nullptr, false);
  return FieldOf(document, "path").ends_with(expected.path_suffix) &&
         FieldOf(document, "body_hash") == expected.body_hash;
}

AttemptVerdict CheckFailure(ExchangeFailure failure) {
  if (failure == ExchangeFailure::kNeverSent) {
    return {.outcome = Outcome::kNotRun};
  }
  if (failure == ExchangeFailure::kTruncated) {
    return {.outcome = Outcome::kUnknown, .fault = ResponseFault::kTruncated};
  }
  return {.outcome = Outcome::kUnknown};
}

}  // namespace

AttemptVerdict CheckResponse(const ExchangeResult& result,
                             const ExpectedEcho& expected) {
  if (result.failure) {
    return CheckFailure(*result.failure);
  }
  const auto outcome = OutcomeOf(result);
  if (!outcome) {
    return {.outcome = Outcome::kUnknown,
            .fault = ResponseFault::kMissingOutcome};
  }
  if (*outcome != Outcome::kRan || result.status >= kFirstErrorStatus) {
    return {.outcome = *outcome};
  }
  if (!IsMatchingResponse(result, expected)) {
    return {.outcome = Outcome::kUnknown,
            .fault = ResponseFault::kWrongRequest};
  }
  return {.outcome = Outcome::kRan, .is_success = true};
}

std::string CauseOf(const ExchangeResult& result) {
  constexpr std::array<std::string_view, 4> kFailureNames = {
      "never-sent", "timed-out", "truncated", "broken"};
  if (result.failure) {
    return std::string(
        kFailureNames.at(static_cast<std::size_t>(*result.failure)));
  }
  const std::string code =
      FieldOf(json::parse(result.body, nullptr, false), "code");
  return code.empty() ? "status-" + std::to_string(result.status) : code;
}

Duration RetryAfterOf(const ExchangeResult& result) {
  const std::string_view text = result.Find("retry-after").value_or("");
  std::int64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(
      std::clamp<std::int64_t>(seconds, 0, kMaxRetryAfterSeconds));
}

}  // namespace medlarcroft::load_generator
