#include "platform/platform_codec.h"

#include <gtest/gtest.h>

#include "platform/platform_handlers.h"

namespace medlarcroft::platform {
namespace {

const request_path::TargetIdentity kTarget{TargetName("desk-1")};

using adapters::HttpHeaders;
using adapters::HttpRequest;
using adapters::HttpResponse;
using request_path::AttemptEnd;
using request_path::FailureReason;
using request_path::ResponseName;
using std::chrono::milliseconds;
using std::chrono::seconds;

HttpRequest MakeCall() {
  return {.method = "POST",
          .raw_target = "/a/b%20c?q=%2F",
          .headers = {{"Host", "menus.example"},
                      {"X-Medlarcroft-Attempt-Id", "id-1"},
                      {"X-Medlarcroft-Affinity-Key", "17"},
                      {"X-Medlarcroft-Deadline-Ms", "4000"},
                      {"X-Medlarcroft-Expect-Instance", "forged"},
                      {"Connection", "close, X-Hop"},
                      {"X-Hop", "1"},
                      {"Transfer-Encoding", "chunked"},
                      {"X-Kept", "2"}},
          .body = "dish"};
}

TEST(PlatformCodecTest, DecodesTheRequest) {
  const auto decoded = PlatformCodec().Decode(MakeCall());

  EXPECT_EQ(decoded.id, "id-1");
  EXPECT_EQ(decoded.request.host, "menus.example");
  EXPECT_EQ(decoded.request.target, "/a/b%20c?q=%2F");
  EXPECT_EQ(decoded.request.object, "17");
  EXPECT_EQ(decoded.request.time_left, Duration(milliseconds(4000)));
}

struct LimitHeaderCase {
  std::string name;
  HttpHeaders headers;
  std::optional<double> limit;
};

class LimitHeaderTest : public testing::TestWithParam<LimitHeaderCase> {};

// A malformed limit must not stop all requests to a target.
TEST_P(LimitHeaderTest, AcceptsOnlyFiniteNonNegativeDecimals) {
  EXPECT_EQ(PlatformCodec()
                .ClassifyResponse(
                    {.status = 200, .headers = GetParam().headers}, kTarget)
                .rate_limit,
            GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LimitHeaderTest,
    testing::Values(
        LimitHeaderCase{"absent", {}, std::nullopt},
        LimitHeaderCase{"long_name",
                        {{"X-Medlarcroft-Server-Limit", "5.7"}},
                        5.7},
        LimitHeaderCase{"short_name", {{"Server-Limit", "2"}}, 2.0},
        LimitHeaderCase{"zero", {{"Server-Limit", "0"}}, 0.0},
        LimitHeaderCase{"not_a_number",
                        {{"Server-Limit", "few"}},
                        std::nullopt},
        LimitHeaderCase{"negative", {{"Server-Limit", "-1"}}, std::nullopt},
        LimitHeaderCase{"infinite", {{"Server-Limit", "inf"}}, std::nullopt}),
    [](const auto& info) { return info.param.name; });

struct NoticeCase {
  std::string name;
  int status = 503;
  adapters::HttpHeaders headers;
  request_path::TargetNotice notice;
};

class NoticeTest : public testing::TestWithParam<NoticeCase> {};

// What cannot be read as a positive number of seconds is no rest; only 503 asks
// for one, and the longest that is named counts.
TEST_P(NoticeTest, ReadsWhatATargetSaysAboutItself) {
  EXPECT_EQ(PlatformCodec().ReadNotice(
                {.status = GetParam().status, .headers = GetParam().headers}),
            GetParam().notice);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    NoticeTest,
    testing::Values(
        NoticeCase{"nothing", 503, {}, {}},
        NoticeCase{"whole", 503, {{"Retry-After", "3"}}, {.rest = seconds(3)}},
        NoticeCase{"fraction",
                   503,
                   {{"retry-after", "0.25"}},
                   {.rest = milliseconds(250)}},
        NoticeCase{"longest",
                   503,
                   {{"Retry-After", "1"}, {"Retry-After", "4"}},
                   {.rest = seconds(4)}},
        NoticeCase{"zero", 503, {{"Retry-After", "0"}}, {}},
        NoticeCase{"negative", 503, {{"Retry-After", "-3"}}, {}},
        NoticeCase{"date",
                   503,
                   {{"Retry-After", "Fri, 04 Dec 2026 02:00:00 GMT"}},
                   {}},
        NoticeCase{"unit", 503, {{"Retry-After", "3s"}}, {}},
        NoticeCase{"exponent", 503, {{"Retry-After", "3e2"}}, {}},
        NoticeCase{"infinite", 503, {{"Retry-After", "inf"}}, {}},
        NoticeCase{"not_a_number", 503, {{"Retry-After", "nan"}}, {}},
        NoticeCase{"empty", 503, {{"Retry-After", ""}}, {}},
        NoticeCase{"huge",
                   503,
                   {{"Retry-After", "1" + std::string(300, '0')}},
                   {.rest = seconds(1'000'000'000)}},
        NoticeCase{"beyond_any_number",
                   503,
                   {{"Retry-After", "1" + std::string(400, '0')}},
                   {}},
        NoticeCase{"other_status", 429, {{"Retry-After", "3"}}, {}},
        NoticeCase{"served", 200, {{"Retry-After", "3"}}, {}},
        NoticeCase{"leaving",
                   200,
                   {{"Server-Leaving", "1"}},
                   {.is_leaving = true}},
        NoticeCase{"not_leaving", 200, {{"Server-Leaving", "0"}}, {}},
        NoticeCase{"both",
                   503,
                   {{"Server-Leaving", "1"}, {"Retry-After", "2"}},
                   {.rest = seconds(2), .is_leaving = true}},
        NoticeCase{"other_target",
                   421,
                   {{"Server-Leaving", "1"}, {"Retry-After", "2"}},
                   {}}),
    [](const auto& info) { return info.param.name; });

// A retry differs only in its identifier and deadline. A request with another
// caller or body must have another fingerprint.
TEST(PlatformCodecTest, RetryHasTheSameFingerprint) {
  const auto fingerprint_of = [](const HttpRequest& call) {
    return PlatformCodec().Decode(call).request.fingerprint;
  };
  HttpRequest again = MakeCall();
  again.headers.Set("X-Medlarcroft-Attempt-Id", "id-2");
  again.headers.Set("X-Medlarcroft-Deadline-Ms", "100");
  EXPECT_EQ(fingerprint_of(again), fingerprint_of(MakeCall()));
  HttpRequest of_another_caller = MakeCall();
  of_another_caller.headers.Set("Api-Key", "k");
  EXPECT_NE(fingerprint_of(of_another_caller), fingerprint_of(MakeCall()));
  HttpRequest with_body = MakeCall();
  with_body.body = "other dish";
  EXPECT_NE(fingerprint_of(with_body), fingerprint_of(MakeCall()));
}

TEST(PlatformCodecTest, IgnoresAnInvalidDeadline) {
  HttpRequest call = MakeCall();
  call.headers.Set("X-Medlarcroft-Deadline-Ms", "-5");
  EXPECT_FALSE(PlatformCodec().Decode(call).request.time_left);
}

TEST(PlatformCodecTest, EncodesTheRequestWithoutHopByHopHeaders) {
  request_path::SendAttempt attempt;
  attempt.target = {TargetName("i-1")};
  attempt.time_left = milliseconds(900);

  EXPECT_EQ(PlatformCodec().EncodeAttempt(MakeCall(), attempt),
            "POST /a/b%20c?q=%2F HTTP/1.1\r\n"
            "Host: menus.example\r\n"
            "X-Medlarcroft-Attempt-Id: id-1\r\n"
            "X-Medlarcroft-Affinity-Key: 17\r\n"
            "X-Kept: 2\r\n"
            "X-Medlarcroft-Deadline-Ms: 900\r\n"
            "X-Medlarcroft-Expect-Instance: i-1\r\n"
            "Content-Length: 4\r\n"
            "\r\n"
            "dish");
}

struct AccountHeaderCase {
  std::string name;
  ClientAccountName account;
  std::optional<std::string> header;
};

class AccountHeaderTest : public testing::TestWithParam<AccountHeaderCase> {};

// A caller sends a key and claims to be another account, in several headers and
// spellings. The target receives the account that this host found, and no key.
TEST_P(AccountHeaderTest, OnlyThisHostSetsTheAccountAndTheKeyStaysHere) {
  HttpRequest call = MakeCall();
  call.headers.Add("Api-Key", "secret");
  call.headers.Add("api-key", "secret");
  call.headers.Add("X-Medlarcroft-Tenant-Id", "forged");
  call.headers.Add("x-medlarcroft-tenant-id", "forged");
  request_path::SendAttempt attempt;
  attempt.account = GetParam().account;

  const std::string sent = PlatformCodec().EncodeAttempt(call, attempt);

  EXPECT_EQ(sent.find("secret"), std::string::npos);
  EXPECT_EQ(sent.find("X-Medlarcroft-Tenant-Id: forged"), std::string::npos);
  EXPECT_EQ(sent.find("x-medlarcroft-tenant-id"), std::string::npos);
  EXPECT_EQ(sent.find("X-Medlarcroft-Tenant-Id") != std::string::npos,
            GetParam().header.has_value());
  if (GetParam().header) {
    EXPECT_NE(sent.find("\r\n" + *GetParam().header + "\r\n"),
              std::string::npos);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AccountHeaderTest,
    testing::Values(AccountHeaderCase{"Account", ClientAccountName("schools"),
                                      "X-Medlarcroft-Tenant-Id: schools"},
                    AccountHeaderCase{"None", {}, std::nullopt}),
    [](const auto& tested) { return tested.param.name; });

struct ClassificationCase {
  std::string name;
  int status;
  HttpHeaders headers;
  AttemptEnd end;
};

class ResponseClassificationTest
    : public testing::TestWithParam<ClassificationCase> {};

TEST_P(ResponseClassificationTest, NotRunNeedsTheTargetsHeader) {
  EXPECT_EQ(PlatformCodec()
                .ClassifyResponse({.status = GetParam().status,
                                   .headers = GetParam().headers},
                                  kTarget)
                .end,
            GetParam().end);
}

const HttpHeaders kSealed = {{"X-Medlarcroft-Server-Seal", "s"}};
const HttpHeaders kNotRun = {{"X-Medlarcroft-Not-Executed", "1"}};

INSTANTIATE_TEST_SUITE_P(
    All,
    ResponseClassificationTest,
    testing::Values(
        ClassificationCase{"Success", 200, kSealed, AttemptEnd::kAnswered},
        ClassificationCase{"SuccessWithoutSeal", 200, {}, AttemptEnd::kLost},
        ClassificationCase{"NoSuchObject", 404, kSealed, AttemptEnd::kAnswered},
        ClassificationCase{"Failure", 500, kSealed, AttemptEnd::kTargetFailed},
        ClassificationCase{"Deadline", 504, kSealed, AttemptEnd::kTargetFailed},
        ClassificationCase{"Full", 503, kNotRun, AttemptEnd::kNotRun},
        ClassificationCase{"FullWithoutProof", 503, kSealed, AttemptEnd::kLost},
        ClassificationCase{"TooManyWithoutProof", 429, {}, AttemptEnd::kLost},
        ClassificationCase{"TooMany", 429, kNotRun, AttemptEnd::kNotRun},
        ClassificationCase{"OtherTarget",
                           421,
                           {{"X-Medlarcroft-Instance-Id", "desk-2"}},
                           AttemptEnd::kWrongTarget},
        ClassificationCase{"OtherTargetSaysNotRun", 421, kNotRun,
                           AttemptEnd::kWrongTarget},
        ClassificationCase{"TheExpectedTargetSaysWrongTarget",
                           421,
                           {{"X-Medlarcroft-Instance-Id", "desk-1"}},
                           AttemptEnd::kLost},
        ClassificationCase{"NobodySaysWrongTarget", 421, {}, AttemptEnd::kLost},
        ClassificationCase{"FailureMarkedNotRun", 500, kNotRun,
                           AttemptEnd::kTargetFailed},
        ClassificationCase{"DeadlineMarkedNotRun", 504, kNotRun,
                           AttemptEnd::kTargetFailed},
        ClassificationCase{"SlowRequestMarkedNotRun", 408, kNotRun,
                           AttemptEnd::kLost},
        ClassificationCase{"BadRequestMarkedNotRun", 431, kNotRun,
                           AttemptEnd::kAnswered},
        ClassificationCase{"NoId", 400, kNotRun, AttemptEnd::kAnswered}),
    [](const auto& tested) { return tested.param.name; });

TEST(PlatformCodecTest, MatchesResponsesByRequestId) {
  const PlatformCodec codec;
  const HttpHeaders own = {{"X-Medlarcroft-Attempt-Id", "id-1"}};

  const auto identify = [&](int status, const HttpHeaders& headers,
                            const std::string& id) {
    return codec.IdentifyResponse({.status = status, .headers = headers}, id);
  };
  EXPECT_EQ(identify(200, own, "id-1"), ResponseName::kOwn);
  EXPECT_EQ(identify(200, own, "id-2"), ResponseName::kOther);
  EXPECT_EQ(identify(503, own, "id-2"), ResponseName::kOther);
  EXPECT_EQ(identify(200, {}, "id-1"), ResponseName::kOther);
  EXPECT_EQ(identify(503, {}, "id-1"), ResponseName::kUnnamed);
}

struct LoadHeaderCase {
  std::string name;
  std::string text;
  bool is_valid;
  std::optional<double> slowdown;
};

class LoadHeaderTest : public testing::TestWithParam<LoadHeaderCase> {};

// Guards against the loss of a whole load report for an additional field.
TEST_P(LoadHeaderTest, ReadsTheLoadAndTheSlowdown) {
  const auto classified = PlatformCodec().ClassifyResponse(
      {.status = 200,
       .headers = {{"X-Medlarcroft-Server-Load", GetParam().text}}},
      kTarget);
  ASSERT_EQ(classified.load.has_value(), GetParam().is_valid);
  if (GetParam().is_valid) {
    EXPECT_EQ(classified.load->running, 3U);
    EXPECT_EQ(classified.load->waiting, 0U);
    EXPECT_EQ(classified.load->slots, 8U);
    EXPECT_EQ(classified.load->slowdown, GetParam().slowdown);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LoadHeaderTest,
    testing::Values(
        LoadHeaderCase{"Load", "3,0,8", true, std::nullopt},
        LoadHeaderCase{"Slowdown", "3,0,8,250", true, 2.5},
        LoadHeaderCase{"LaterField", "3,0,8,50,7", true, 0.5},
        LoadHeaderCase{"UnreadableSlowdown", "3,0,8,x", true, std::nullopt},
        LoadHeaderCase{"ZeroSlowdown", "3,0,8,0", true, std::nullopt},
        LoadHeaderCase{"TrailingComma", "3,0,8,", true, std::nullopt},
        LoadHeaderCase{"TwoFields", "3,0", false, std::nullopt},
        LoadHeaderCase{"EmptyField", "3,,8,100", false, std::nullopt},
        LoadHeaderCase{"NotANumber", "a,0,8", false, std::nullopt},
        LoadHeaderCase{"Negative", "-1,0,8", false, std::nullopt},
        LoadHeaderCase{"TooLarge", "4294967296,0,8", false, std::nullopt},
        LoadHeaderCase{"Empty", "", false, std::nullopt}),
    [](const auto& tested) { return tested.param.name; });

struct LocalResponseCase {
  std::string name;
  request_path::RequestFailure failure;
  int status;
  bool has_retry_after;
};

class LocalResponseTest : public testing::TestWithParam<LocalResponseCase> {};

TEST_P(LocalResponseTest, StatusMeansNotRunOnlyIfProved) {
  const HttpResponse response =
      PlatformCodec().EncodeLocalResponse(GetParam().failure, "id-1");

  EXPECT_EQ(response.status, GetParam().status);
  EXPECT_EQ(response.headers.Find("Retry-After").has_value(),
            GetParam().has_retry_after);
  EXPECT_EQ(response.headers.Find("X-Medlarcroft-Attempt-Id"), "id-1");
}

constexpr Duration kRetryAfter = milliseconds(250);

INSTANTIATE_TEST_SUITE_P(
    All,
    LocalResponseTest,
    testing::Values(
        LocalResponseCase{"NoRoom",
                          {FailureReason::kOverloaded, true, kRetryAfter},
                          503,
                          true},
        LocalResponseCase{"NoRoute",
                          {FailureReason::kNoRoute, true, {}},
                          404,
                          false},
        LocalResponseCase{"RetriesSpentNotRun",
                          {FailureReason::kRetriesExhausted, true, kRetryAfter},
                          503,
                          true},
        LocalResponseCase{
            "RetriesSpentMayHaveRun",
            {FailureReason::kRetriesExhausted, false, kRetryAfter},
            502,
            false},
        LocalResponseCase{"MayHaveRun",
                          {FailureReason::kMayHaveRun, false, {}},
                          502,
                          false},
        LocalResponseCase{"TimedOut",
                          {FailureReason::kTimedOut, false, {}},
                          504,
                          false}),
    [](const auto& tested) { return tested.param.name; });

TEST(FindParameterTest, FindsWholeNamesOnly) {
  EXPECT_EQ(FindParameter("/r?name=a&region=north&zone=z", "region"), "north");
  EXPECT_EQ(FindParameter("/r?subregion=x", "region"), "");
  EXPECT_EQ(FindParameter("/r?region", "region"), "");
  EXPECT_EQ(FindParameter("/r", "region"), "");
  EXPECT_EQ(FindParameter("/r?&&region=a", "region"), "a");
}

}  // namespace
}  // namespace medlarcroft::platform
