#include "adapters/entry/problem.h"

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

struct ProblemText {
  std::string_view name;
  int status;
  std::string_view title;
};

/// In the order of `ProblemCode`.
constexpr std::array kProblems = {
    ProblemText{"unknown-path", 404, "No such path."},
    ProblemText{"missing-brand", 400, "The Medlar-Brand header is missing."},
    ProblemText{"bad-brand", 400, "The brand is not a valid name."},
    ProblemText{"bad-deadline", 400,
                "Medlar-Deadline-Ms must be a whole number from 1 to 3600000."},
    ProblemText{"unknown-service", 404, "No such service."},
    ProblemText{"missing-key", 400,
                "The service is not idempotent: an Idempotency-Key is needed."},
    ProblemText{"bad-key", 400, "The idempotency key was not issued by us."},
    ProblemText{"key-expired", 410, "The idempotency key has expired."},
    ProblemText{"key-reused", 422,
                "The idempotency key was used for another request."},
    ProblemText{"key-issuer-gone", 503,
                "The host that issued the key is gone; the request may have "
                "run."},
    ProblemText{"fate-unknown", 503, "An earlier attempt may have run."},
    ProblemText{"answer-not-kept", 503,
                "The request ran; its answer was too large to keep."},
    ProblemText{"ledger-full", 503, "No room to guard another request."},
    ProblemText{"too-many-duplicates", 429,
                "Too many duplicates of this request are waiting."},
    ProblemText{"bad-forward", 403, "Not forwarded by an entry host."},
    ProblemText{"not-ready", 503, "This host has no routes yet."},
    ProblemText{"stopping", 503, "This host is stopping."},
    ProblemText{"answer-lost", 504, "No whole answer came from the target."},
    ProblemText{"answer-unusable", 502,
                "The target's answer was cut off, too large or not its own."},
    ProblemText{"claim-unsettled", 503,
                "Whether the key was claimed could not be settled."},
    ProblemText{"caller-gone", 499, "The caller closed its connection."},
};

struct RefusalText {
  std::string_view name;
  int status;
};

/// In the order of `decision::RefusalReason`.
constexpr std::array kRefusals = {
    RefusalText{"unknown-service", 404},
    RefusalText{"no-target", 503},
    RefusalText{"no-share", 503},
    RefusalText{"deadline-too-short", 503},
    RefusalText{"queue-too-long", 503},
    RefusalText{"headroom-reserved", 503},
    RefusalText{"waited-too-long", 503},
    RefusalText{"retry-not-allowed", 504},
    RefusalText{"retry-budget-spent", 503},
    RefusalText{"attempts-exhausted", 504},
    RefusalText{"targets-resting", 503},
};

constexpr std::array<std::string_view, 3> kOutcomes = {"not-run", "unknown",
                                                       "ran"};

HttpResponse MakeAnswer(std::string_view name,
                        int status,
                        std::string_view title,
                        decision::RunState run_state,
                        std::optional<Duration> retry_after) {
  nlohmann::ordered_json body = {
      {"type", "about:blank"},
      {"code", name},
      {"title", title},
      {"status", status},
      {"outcome", FormatRunState(run_state)},
  };
  HttpResponse response{.status = status};
  response.headers.Add("Content-Type", "application/problem+json");
  response.headers.Add(protocol::kOutcome, FormatRunState(run_state));
  if (retry_after && *retry_after > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retry_after);
    response.headers.Add("Retry-After", std::to_string(seconds.count()));
    body["retry_after_ms"] = ToMilliseconds(*retry_after);
  }
  response.body = body.dump() + "\n";
  return response;
}

}  // namespace

std::string_view FormatRunState(decision::RunState run_state) {
  return kOutcomes.at(static_cast<std::size_t>(run_state));
}

decision::RunState ParseRunState(std::string_view text) {
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    if (kOutcomes.at(i) == text) {
      return static_cast<decision::RunState>(i);
    }
  }
  return decision::RunState::kUnknown;
}

std::string_view NameOf(ProblemCode code) {
  return kProblems.at(static_cast<std::size_t>(code)).name;
}

std::string_view NameOf(decision::RefusalReason reason) {
  return kRefusals.at(static_cast<std::size_t>(reason)).name;
}

HttpResponse MakeProblem(ProblemCode code,
                         decision::RunState run_state,
                         std::optional<Duration> retry_after) {
  const ProblemText& text = kProblems.at(static_cast<std::size_t>(code));
  return MakeAnswer(text.name, text.status, text.title, run_state, retry_after);
}

HttpResponse MakeRefusal(const decision::Refusal& refusal) {
  const RefusalText& text =
      kRefusals.at(static_cast<std::size_t>(refusal.reason));
  return MakeAnswer(text.name, text.status, "The request was refused.",
                    refusal.run_state, refusal.retry_after);
}

}  // namespace medlarcroft::adapters
