#include "adapters/entry/attempt_result.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

using decision::AttemptOutcome;

constexpr std::string_view kName = "host-1-2-3";

struct JudgeCase {
  const char* name;
  ClientResult result;
  AttemptOutcome outcome;
  bool has_answer = false;
  bool is_leaving = false;
};

class ClassifyAttemptTest : public testing::TestWithParam<JudgeCase> {};

TEST_P(ClassifyAttemptTest, SaysWhatIsProved) {
  const AttemptResult result = ClassifyAttempt(GetParam().result, kName);
  EXPECT_EQ(result.outcome, GetParam().outcome);
  EXPECT_EQ(result.answer.has_value(), GetParam().has_answer);
  EXPECT_EQ(result.is_target_leaving, GetParam().is_leaving);
}

ClientResult Answer(int status, HttpHeaders headers = {}) {
  return ClientResponse{.status = status, .headers = std::move(headers)};
}

ClientResult Failure(TransportFailure failure,
                     bool is_proved_unsent,
                     bool was_reused = false) {
  return TransportError{.failure = failure,
                        .is_proved_unsent = is_proved_unsent,
                        .was_connection_reused = was_reused};
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ClassifyAttemptTest,
    testing::Values(
        JudgeCase{"whole", Answer(200), AttemptOutcome::kAnswered, true},
        JudgeCase{"client_error", Answer(404), AttemptOutcome::kAnswered, true},
        JudgeCase{"server_error", Answer(500), AttemptOutcome::kServerError,
                  true},
        JudgeCase{"shed", Answer(503, {{"Medlar-Target-Not-Run", "1"}}),
                  AttemptOutcome::kShed},
        JudgeCase{"leaving",
                  Answer(503,
                         {{"Medlar-Target-Not-Run", "1"},
                          {"Medlar-Target-Draining", "1"}}),
                  AttemptOutcome::kTargetLeaving, false, true},
        JudgeCase{"last_answer_of_a_leaving_target",
                  Answer(200, {{"Medlar-Target-Draining", "1"}}),
                  AttemptOutcome::kAnswered, true, true},
        JudgeCase{"echo_matches",
                  Answer(200, {{"medlar-request-id", std::string(kName)}}),
                  AttemptOutcome::kAnswered, true},
        JudgeCase{"echo_of_another",
                  Answer(200, {{"Medlar-Request-Id", "host-1-2-4"}}),
                  AttemptOutcome::kConnectionLost},
        JudgeCase{"refused", Failure(TransportFailure::kCannotConnect, true),
                  AttemptOutcome::kNeverSent},
        JudgeCase{"timeout_while_connecting",
                  Failure(TransportFailure::kTimedOut, true),
                  AttemptOutcome::kNeverSent},
        JudgeCase{"timeout_after_sending",
                  Failure(TransportFailure::kTimedOut, false),
                  AttemptOutcome::kTimedOut},
        JudgeCase{"timeout_on_an_old_connection",
                  Failure(TransportFailure::kTimedOut, false, true),
                  AttemptOutcome::kSilentConnection},
        JudgeCase{"truncated", Failure(TransportFailure::kTruncated, false),
                  AttemptOutcome::kTruncated},
        JudgeCase{"without_announced_end",
                  Failure(TransportFailure::kUnframed, false),
                  AttemptOutcome::kTruncated},
        JudgeCase{"broken", Failure(TransportFailure::kBroken, false),
                  AttemptOutcome::kConnectionLost},
        JudgeCase{"cancelled", Failure(TransportFailure::kCancelled, true),
                  AttemptOutcome::kCancelled}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace medlarcroft::adapters
