#include "adapters/entry/attempt_result.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

using decision::AttemptOutcome;

constexpr std::string_view kName = "host-1-2-3";

struct ClassifyCase {
  const char* name;
  ClientResult result;
  AttemptOutcome outcome;
  bool has_answer = false;
  bool is_leaving = false;
  std::optional<Duration> rest;
};

class ClassifyAttemptTest : public testing::TestWithParam<ClassifyCase> {};

TEST_P(ClassifyAttemptTest, ReturnsOutcomeAndAnswer) {
  const AttemptResult result = ClassifyAttempt(GetParam().result, kName);
  EXPECT_EQ(result.outcome, GetParam().outcome);
  EXPECT_EQ(result.answer.has_value(), GetParam().has_answer);
  EXPECT_EQ(result.is_target_leaving, GetParam().is_leaving);
  EXPECT_EQ(result.rest, GetParam().rest);
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

ClientResult OnReusedConnection(ClientResult result) {
  std::get<ClientResponse>(result).was_connection_reused = true;
  return result;
}

ClientResult BrokenAnswer(int status, HttpHeaders headers) {
  return TransportError{.failure = TransportFailure::kTruncated,
                        .status = status,
                        .headers = std::move(headers)};
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ClassifyAttemptTest,
    testing::Values(
        ClassifyCase{"whole", Answer(200), AttemptOutcome::kAnswered, true},
        ClassifyCase{"client_error", Answer(404), AttemptOutcome::kAnswered,
                     true},
        ClassifyCase{"server_error", Answer(500), AttemptOutcome::kServerError,
                     true},
        ClassifyCase{"shed", Answer(503, {{"Medlar-Target-Not-Run", "1"}}),
                     AttemptOutcome::kShed},
        ClassifyCase{"failure_marked_not_run",
                     Answer(500, {{"Medlar-Target-Not-Run", "1"}}),
                     AttemptOutcome::kServerError, true},
        ClassifyCase{
            "refusal_without_id_on_a_reused_connection",
            OnReusedConnection(Answer(503, {{"Medlar-Target-Not-Run", "1"}})),
            AttemptOutcome::kUnprovedRefusal},
        ClassifyCase{"own_refusal_on_a_reused_connection",
                     OnReusedConnection(Answer(503,
                                               {{"Medlar-Target-Not-Run", "1"},
                                                {"Medlar-Request-Id",
                                                 std::string(kName)}})),
                     AttemptOutcome::kShed},
        ClassifyCase{"whole_on_a_reused_connection",
                     OnReusedConnection(Answer(200)), AttemptOutcome::kAnswered,
                     true},
        ClassifyCase{"leaving",
                     Answer(503,
                            {{"Medlar-Target-Not-Run", "1"},
                             {"Medlar-Target-Draining", "1"}}),
                     AttemptOutcome::kTargetLeaving, false, true},
        ClassifyCase{"answer_of_a_draining_target",
                     Answer(200, {{"Medlar-Target-Draining", "1"}}),
                     AttemptOutcome::kAnswered, true, true},
        ClassifyCase{
            "shed_with_rest",
            Answer(503,
                   {{"Medlar-Target-Not-Run", "1"}, {"Retry-After", "1.5"}}),
            AttemptOutcome::kShed, false, false,
            std::chrono::milliseconds(1500)},
        ClassifyCase{
            "rest_that_cannot_be_read",
            Answer(503,
                   {{"Medlar-Target-Not-Run", "1"}, {"Retry-After", "soon"}}),
            AttemptOutcome::kShed},
        ClassifyCase{"time_to_retry_of_another_status",
                     Answer(429, {{"Retry-After", "3"}}),
                     AttemptOutcome::kAnswered, true},
        ClassifyCase{"broken_answer",
                     BrokenAnswer(503,
                                  {{"Medlar-Target-Draining", "1"},
                                   {"Retry-After", "2"}}),
                     AttemptOutcome::kTruncated, false, true,
                     std::chrono::seconds(2)},
        ClassifyCase{
            "answer_to_another_request",
            Answer(503,
                   {{"Medlar-Request-Id", "host-1-2-4"}, {"Retry-After", "2"}}),
            AttemptOutcome::kConnectionLost, false, false,
            std::chrono::seconds(2)},
        ClassifyCase{"withheld", Failure(TransportFailure::kWithheld, true),
                     AttemptOutcome::kWithheld},
        ClassifyCase{"matching_request_id",
                     Answer(200, {{"medlar-request-id", std::string(kName)}}),
                     AttemptOutcome::kAnswered, true},
        ClassifyCase{"mismatched_request_id",
                     Answer(200, {{"Medlar-Request-Id", "host-1-2-4"}}),
                     AttemptOutcome::kConnectionLost},
        ClassifyCase{"refused", Failure(TransportFailure::kCannotConnect, true),
                     AttemptOutcome::kNeverSent},
        ClassifyCase{"timeout_while_connecting",
                     Failure(TransportFailure::kTimedOut, true),
                     AttemptOutcome::kNeverSent},
        ClassifyCase{"timeout_after_sending",
                     Failure(TransportFailure::kTimedOut, false),
                     AttemptOutcome::kTimedOut},
        ClassifyCase{"timeout_on_reused_connection",
                     Failure(TransportFailure::kTimedOut, false, true),
                     AttemptOutcome::kSilentConnection},
        ClassifyCase{"truncated", Failure(TransportFailure::kTruncated, false),
                     AttemptOutcome::kTruncated},
        ClassifyCase{"unframed", Failure(TransportFailure::kUnframed, false),
                     AttemptOutcome::kTruncated},
        ClassifyCase{"broken", Failure(TransportFailure::kBroken, false),
                     AttemptOutcome::kConnectionLost},
        ClassifyCase{"cancelled", Failure(TransportFailure::kCancelled, true),
                     AttemptOutcome::kCancelled}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace medlarcroft::adapters
