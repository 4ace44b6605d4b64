#include "medlarcroft/quota/quota_message.h"

#include <gtest/gtest.h>

#include <string>

namespace medlarcroft::quota {
namespace {

using std::chrono::milliseconds;

const AccountNumber kAccount = NumberOf(ClientAccountName("schools"));

TEST(QuotaMessageTest, RequestsSurviveEncoding) {
  const TokenRequest request{
      .number = 0x80000001,
      .is_transfer = true,
      .delegation =
          Delegation{.since = {.incarnation = 9, .nanoseconds = 1ULL << 60U},
                     .hosts = 880,
                     .unused = milliseconds(700)},
      .wanted = {{.account = kAccount, .tokens = 65535}}};
  EXPECT_EQ(DecodeTokenRequest(EncodeTokenRequest(request)), request);
  EXPECT_EQ(DecodeTokenRequest(EncodeTokenRequest({.number = 3})),
            TokenRequest{.number = 3});
}

TEST(QuotaMessageTest, AnswersSurviveEncoding) {
  const TokenAnswer answer{.number = 7,
                           .time = {.incarnation = 1, .nanoseconds = 5},
                           .issuer = 42,
                           .granted = {{.account = kAccount, .tokens = 2}},
                           .unused = milliseconds(1200)};
  EXPECT_EQ(DecodeTokenAnswer(EncodeTokenAnswer(answer)), answer);
}

TEST(QuotaMessageTest, TruncatedMessagesAreRejected) {
  const std::string request =
      EncodeTokenRequest({.delegation = Delegation{},
                          .wanted = {{.account = kAccount, .tokens = 2}}});
  const std::string answer =
      EncodeTokenAnswer({.granted = {{.account = kAccount, .tokens = 2}}});
  constexpr std::size_t kRequestWithoutCounts = 5 + 16;
  constexpr std::size_t kAnswerWithoutCounts = 20;
  for (std::size_t size = 0; size < request.size(); ++size) {
    EXPECT_EQ(DecodeTokenRequest(request.substr(0, size)).has_value(),
              size == kRequestWithoutCounts);
  }
  for (std::size_t size = 0; size < answer.size(); ++size) {
    EXPECT_EQ(DecodeTokenAnswer(answer.substr(0, size)).has_value(),
              size == kAnswerWithoutCounts);
  }
}

}  // namespace
}  // namespace medlarcroft::quota
