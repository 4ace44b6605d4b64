#include "medlarcroft/load_generator/response_check.h"

#include <gtest/gtest.h>

#include "medlarcroft/load_generator/lookup_cache.h"
#include "medlarcroft/load_generator/outcome_auditor.h"

namespace medlarcroft::load_generator {
namespace {

using idempotency::Outcome;

constexpr ExpectedEcho kEcho{.path_suffix = "run-1", .body_hash = "abc"};

ExchangeResult MakeResult(int status,
                          const std::string& outcome,
                          const std::string& body) {
  return {
      .status = status, .headers = {{"medlar-outcome", outcome}}, .body = body};
}

struct ResponseCase {
  std::string name;
  ExchangeResult result;
  Outcome outcome;
  std::optional<ResponseFault> fault;
  bool is_success;
};

class Responses : public testing::TestWithParam<ResponseCase> {};

TEST_P(Responses, AreChecked) {
  const AttemptVerdict verdict = CheckResponse(GetParam().result, kEcho);
  EXPECT_EQ(verdict.outcome, GetParam().outcome);
  EXPECT_EQ(verdict.fault, GetParam().fault);
  EXPECT_EQ(verdict.is_success, GetParam().is_success);
}

const std::string& GoodBody() {
  static const std::string body = R"({"path":"/run-1","body_hash":"abc"})";
  return body;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Responses,
    testing::Values(
        ResponseCase{"Good", MakeResult(200, "ran", GoodBody()), Outcome::kRan,
                     std::nullopt, true},
        ResponseCase{
            "OtherPath",
            MakeResult(200, "ran", R"({"path":"/run-2","body_hash":"abc"})"),
            Outcome::kUnknown, ResponseFault::kWrongRequest, false},
        ResponseCase{
            "OtherBody",
            MakeResult(200, "ran", R"({"path":"/run-1","body_hash":"abd"})"),
            Outcome::kUnknown, ResponseFault::kWrongRequest, false},
        ResponseCase{"NoJson", MakeResult(200, "ran", "{"), Outcome::kUnknown,
                     ResponseFault::kWrongRequest, false},
        ResponseCase{"Refused", MakeResult(503, "not-run", ""),
                     Outcome::kNotRun, std::nullopt, false},
        ResponseCase{"TargetError", MakeResult(500, "ran", ""), Outcome::kRan,
                     std::nullopt, false},
        ResponseCase{"UnknownOutcome", MakeResult(200, "maybe", GoodBody()),
                     Outcome::kUnknown, ResponseFault::kMissingOutcome, false},
        ResponseCase{"NeverSent",
                     {.failure = ExchangeFailure::kNeverSent},
                     Outcome::kNotRun,
                     std::nullopt,
                     false},
        ResponseCase{"TimedOut",
                     {.failure = ExchangeFailure::kTimedOut},
                     Outcome::kUnknown,
                     std::nullopt,
                     false},
        ResponseCase{"Truncated",
                     {.failure = ExchangeFailure::kTruncated},
                     Outcome::kUnknown,
                     ResponseFault::kTruncated,
                     false}),
    [](const auto& info) { return info.param.name; });

TEST(ResponseCheckTest, ReadsCauseAndRetryAfter) {
  ExchangeResult result = MakeResult(503, "not-run", R"({"code":"no-share"})");
  EXPECT_EQ(CauseOf(result), "no-share");
  EXPECT_EQ(RetryAfterOf(result), Duration::zero());
  result.headers.push_back({"retry-after", "2"});
  EXPECT_EQ(RetryAfterOf(result), std::chrono::seconds(2));
  EXPECT_EQ(CauseOf({.status = 502, .body = "x"}), "status-502");
  EXPECT_EQ(CauseOf({.failure = ExchangeFailure::kTimedOut}), "timed-out");
}

struct OutcomeCase {
  std::string name;
  std::string key;
  std::vector<Outcome> reported;
  std::vector<TargetRun> runs;
  std::optional<MismatchType> fault;
};

class ReportedOutcomes : public testing::TestWithParam<OutcomeCase> {};

TEST_P(ReportedOutcomes, AreComparedWithRuns) {
  OutcomeAuditor auditor;
  for (const Outcome outcome : GetParam().reported) {
    auditor.Record("/r1", GetParam().key, outcome);
  }
  const auto mismatches = auditor.Compare(GetParam().runs);
  ASSERT_EQ(mismatches.size(), GetParam().fault ? 1U : 0U);
  if (GetParam().fault) {
    EXPECT_EQ(mismatches.front().fault, *GetParam().fault);
  }
}

TargetRun MakeRun(std::string target, std::uint64_t count) {
  return {.target = std::move(target), .path = "/r1", .count = count};
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReportedOutcomes,
    testing::Values(
        OutcomeCase{"RanOnce", "k", {Outcome::kRan}, {MakeRun("a", 1)}, {}},
        OutcomeCase{"RanTwiceAtOneTarget",
                    "k",
                    {Outcome::kRan},
                    {MakeRun("a", 2)},
                    MismatchType::kDoubleRun},
        OutcomeCase{"RanAtTwoTargets",
                    "k",
                    {Outcome::kUnknown, Outcome::kRan},
                    {MakeRun("a", 1), MakeRun("b", 1)},
                    MismatchType::kDoubleRun},
        OutcomeCase{"IdempotentMayRunTwice",
                    "",
                    {Outcome::kUnknown, Outcome::kRan},
                    {MakeRun("a", 1), MakeRun("b", 1)},
                    {}},
        OutcomeCase{"NotRunButRan",
                    "",
                    {Outcome::kNotRun},
                    {MakeRun("a", 1)},
                    MismatchType::kFalseNotRun},
        OutcomeCase{"UnknownMayHaveRun",
                    "k",
                    {Outcome::kUnknown},
                    {MakeRun("a", 1)},
                    {}},
        OutcomeCase{"NotRunThenRan",
                    "k",
                    {Outcome::kNotRun, Outcome::kRan},
                    {MakeRun("a", 1)},
                    {}},
        OutcomeCase{"RanButNoRun",
                    "k",
                    {Outcome::kRan},
                    {},
                    MismatchType::kNoRun}),
    [](const auto& info) { return info.param.name; });

struct TtlCase {
  std::string name;
  std::string ttl;
  Duration expected;
};

class Ttls : public testing::TestWithParam<TtlCase> {};

TEST_P(Ttls, AreBounded) {
  const auto result = ParseLookupResponse(
      R"({"entry_hosts":[{"address":"127.0.0.1:1"}],"ttl_ms":)" +
      GetParam().ttl + "}");
  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).ttl, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Ttls,
    testing::Values(TtlCase{"Typical", "4500", std::chrono::milliseconds(4500)},
                    TtlCase{"Negative", "-1", Duration::zero()},
                    TtlCase{"Huge", "9e300", std::chrono::hours(1)},
                    TtlCase{"BeyondNanoseconds", "9223372036854775807",
                            std::chrono::hours(1)}),
    [](const auto& info) { return info.param.name; });

struct LookupCase {
  std::string name;
  std::string body;
  LookupResponseError error;
};

class BadLookups : public testing::TestWithParam<LookupCase> {};

TEST_P(BadLookups, AreRejected) {
  const auto result = ParseLookupResponse(GetParam().body);
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadLookups,
    testing::Values(LookupCase{"Empty", "", LookupResponseError::kNotJson},
                    LookupCase{"List", "[]", LookupResponseError::kNotJson},
                    LookupCase{"NoTtl", R"({"entry_hosts":[]})",
                               LookupResponseError::kMissingField},
                    LookupCase{"NoHosts", R"({"ttl_ms":1,"entry_hosts":[]})",
                               LookupResponseError::kNoEntryHost},
                    LookupCase{"NoAddress",
                               R"({"ttl_ms":1,"entry_hosts":[{"host":"a"}]})",
                               LookupResponseError::kNoEntryHost}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::load_generator
