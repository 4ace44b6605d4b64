#include "adapters/entry/request_parser.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

HttpRequest MakeRequest(std::string_view target, HttpHeaders headers) {
  HttpRequest request;
  request.method = "POST";
  request.raw_target = target;
  request.headers = std::move(headers);
  return request;
}

TEST(RequestParser, KeepsPathAsSentAndDropsHopByHopHeaders) {
  const auto parsed =
      ParseServiceRequest(MakeRequest("/v1/services/swap-ledger/a%2Fb?x=%20y",
                                      {{"Medlar-Brand", "uwimana"},
                                       {"Medlar-Deadline-Ms", "1500"},
                                       {"Idempotency-Key", "k"},
                                       {"Connection", "keep-alive"},
                                       {"medlar-forward-proof", "forged"},
                                       {"Accept", "text/plain"}}));

  ASSERT_TRUE(IsOk(parsed));
  const ServiceRequest& request = ValueOf(parsed);
  EXPECT_EQ(request.service, ServiceName("swap-ledger"));
  EXPECT_EQ(request.target_path, "/a%2Fb?x=%20y");
  EXPECT_EQ(request.time_left, std::chrono::milliseconds(1500));
  EXPECT_EQ(request.key_text, "k");
  EXPECT_TRUE(request.headers.Find("Accept"));
  EXPECT_TRUE(request.headers.Find("Idempotency-Key"));
  EXPECT_FALSE(request.headers.Find("Connection"));
  EXPECT_FALSE(request.headers.Find("Medlar-Forward-Proof"));
}

// Guards against headers that a caller meant for its own connection reaching a
// target, which would act on them for the connection to this host.
TEST(RequestParser, DropsTheHeadersThatConnectionNames) {
  const auto parsed = ParseServiceRequest(
      MakeRequest("/v1/services/swap-ledger/a", {{"Medlar-Brand", "uwimana"},
                                                 {"Connection", "close, X-Hop"},
                                                 {"connection", "x-second"},
                                                 {"x-hop", "1"},
                                                 {"X-Second", "2"},
                                                 {"X-Kept", "3"}}));

  ASSERT_TRUE(IsOk(parsed));
  EXPECT_FALSE(ValueOf(parsed).headers.Find("X-Hop"));
  EXPECT_FALSE(ValueOf(parsed).headers.Find("X-Second"));
  EXPECT_TRUE(ValueOf(parsed).headers.Find("X-Kept"));
}

struct InvalidRequestCase {
  const char* name;
  const char* target;
  HttpHeaders headers;
  ProblemCode code;
};

class RequestParserErrorTest
    : public testing::TestWithParam<InvalidRequestCase> {};

TEST_P(RequestParserErrorTest, ReturnsProblemCode) {
  const auto parsed =
      ParseServiceRequest(MakeRequest(GetParam().target, GetParam().headers));
  ASSERT_FALSE(IsOk(parsed));
  EXPECT_EQ(ErrorOf(parsed), GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RequestParserErrorTest,
    testing::Values(
        InvalidRequestCase{"no_service",
                           "/v1/services/",
                           {},
                           ProblemCode::kUnknownPath},
        InvalidRequestCase{"bad_service",
                           "/v1/services/a%20b/x",
                           {},
                           ProblemCode::kUnknownPath},
        InvalidRequestCase{"no_brand",
                           "/v1/services/s/x",
                           {},
                           ProblemCode::kMissingBrand},
        InvalidRequestCase{"bad_brand",
                           "/v1/services/s/x",
                           {{"Medlar-Brand", "a b"}},
                           ProblemCode::kBadBrand},
        InvalidRequestCase{"zero_deadline",
                           "/v1/services/s/x",
                           {{"Medlar-Brand", "b"}, {"Medlar-Deadline-Ms", "0"}},
                           ProblemCode::kBadDeadline},
        InvalidRequestCase{
            "deadline_with_unit",
            "/v1/services/s/x",
            {{"Medlar-Brand", "b"}, {"Medlar-Deadline-Ms", "5s"}},
            ProblemCode::kBadDeadline},
        InvalidRequestCase{"huge_deadline",
                           "/v1/services/s/x",
                           {{"Medlar-Brand", "b"},
                            {"Medlar-Deadline-Ms", "99999999999999999999"}},
                           ProblemCode::kBadDeadline}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace medlarcroft::adapters
