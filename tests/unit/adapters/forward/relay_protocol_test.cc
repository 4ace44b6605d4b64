#include "adapters/forward/relay_protocol.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace medlarcroft::adapters {
namespace {

HttpRequest Encoded(std::string_view name, std::string_view value) {
  HttpRequest call;
  for (const auto& [field, text] :
       {std::pair{"Medlar-Relay-Request", "r-1"},
        std::pair{"Medlar-Relay-Target", "i-1"},
        std::pair{"Medlar-Relay-Incarnation", "7"},
        std::pair{"Medlar-Relay-Time-Left-Ms", "900"},
        std::pair{"Medlar-Relay-Repeatable", "0"},
        std::pair{"Medlar-Relay-Head", "0"}}) {
    call.headers.Add(field, field == name ? value : text);
  }
  call.body = "POST / HTTP/1.1\r\n\r\n";
  return call;
}

TEST(RelayProtocolTest, DecodesARelay) {
  const auto relay = DecodeRelayRequest(Encoded("", ""));
  ASSERT_TRUE(relay);
  EXPECT_EQ(relay->id, "r-1");
  EXPECT_EQ(relay->target.name, TargetName("i-1"));
  EXPECT_EQ(relay->target.incarnation, 7U);
  EXPECT_EQ(relay->time_left, std::chrono::milliseconds(900));
  EXPECT_FALSE(relay->may_repeat);
  EXPECT_EQ(relay->text, "POST / HTTP/1.1\r\n\r\n");
}

struct InvalidField {
  const char* name = "";
  const char* value = "";
};

class InvalidRelay : public testing::TestWithParam<InvalidField> {};

// Guards against sending with a field that another version encodes differently.
TEST_P(InvalidRelay, IsRejected) {
  EXPECT_FALSE(DecodeRelayRequest(Encoded(GetParam().name, GetParam().value)));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    InvalidRelay,
    testing::Values(InvalidField{"Medlar-Relay-Target", ""},
                    InvalidField{"Medlar-Relay-Incarnation", "-1"},
                    InvalidField{"Medlar-Relay-Incarnation", ""},
                    InvalidField{"Medlar-Relay-Time-Left-Ms", "900ms"},
                    InvalidField{"Medlar-Relay-Time-Left-Ms", "99999999999"},
                    InvalidField{"Medlar-Relay-Repeatable", "yes"},
                    InvalidField{"Medlar-Relay-Head", ""}));

class RelayedNotice
    : public testing::TestWithParam<request_path::TargetNotice> {};

// Guards against a target that hears no rest from the host for which another
// one sends, with a whole answer or one that broke off.
TEST_P(RelayedNotice, ReachesTheOtherHostAndNoCaller) {
  for (HttpResponse response :
       {EncodeRelayedAnswer({.status = 503}, GetParam()),
        EncodeRelayFailure(RelayEnd::kLost, GetParam())}) {
    EXPECT_EQ(DecodeRelayedNotice(response), GetParam());
    EXPECT_TRUE(DecodeRelayResponse(response));
    EXPECT_TRUE(response.headers.Fields().empty());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Notices,
    RelayedNotice,
    testing::Values(request_path::TargetNotice{},
                    request_path::TargetNotice{
                        .rest = std::chrono::milliseconds(1500)},
                    request_path::TargetNotice{.is_leaving = true},
                    request_path::TargetNotice{.rest = std::chrono::seconds(3),
                                               .is_leaving = true}));

TEST(RelayProtocolTest, ATargetCannotPassForAHelper) {
  EXPECT_TRUE(
      DecodeRelayedNotice(
          {.status = 503, .headers = {{"Medlar-Relay-Target-Leaving", "1"}}})
          .IsEmpty());
  HttpResponse forged{.status = 200,
                      .headers = {{"Medlar-Relay-Target-Leaving", "1"}}};
  EXPECT_TRUE(DecodeRelayedNotice(EncodeRelayedAnswer(forged)).IsEmpty());
}

// Guards against a log that shows the connection to the helper as the one on
// which the target answered.
TEST(RelayProtocolTest, TheUseOfTheConnectionToTheTargetIsReported) {
  HttpResponse response = EncodeRelayedAnswer(
      {.status = 503}, {}, {.is_reused = true, .earlier_responses = 7});
  const ConnectionUse use = DecodeConnectionUse(response);
  EXPECT_TRUE(use.is_reused);
  EXPECT_EQ(use.earlier_responses, 7U);
}

class RelayEnds : public testing::TestWithParam<RelayEnd> {};

TEST_P(RelayEnds, AreReadFromTheResponse) {
  HttpResponse response = GetParam() == RelayEnd::kAnswered
                              ? EncodeRelayedAnswer({.status = 503})
                              : EncodeRelayFailure(GetParam());
  EXPECT_EQ(DecodeRelayResponse(response), GetParam());
  EXPECT_TRUE(response.headers.Fields().empty());
}

INSTANTIATE_TEST_SUITE_P(All,
                         RelayEnds,
                         testing::Values(RelayEnd::kAnswered,
                                         RelayEnd::kRefused,
                                         RelayEnd::kBusy,
                                         RelayEnd::kCutOff,
                                         RelayEnd::kNotSent,
                                         RelayEnd::kNotAllowed,
                                         RelayEnd::kLost,
                                         RelayEnd::kTimedOut));

class RelayRefusals : public testing::TestWithParam<RelayEnd> {};

// Guards against a host of an earlier version that takes an end which it does
// not know for a request that may have run.
TEST_P(RelayRefusals, EarlierVersionsReadThatNothingWasSent) {
  HttpResponse response = EncodeRelayFailure(GetParam());
  response.headers.Remove("Medlar-Relay-Reason");
  EXPECT_EQ(DecodeRelayResponse(response), RelayEnd::kRefused);
}

INSTANTIATE_TEST_SUITE_P(All,
                         RelayRefusals,
                         testing::Values(RelayEnd::kRefused,
                                         RelayEnd::kBusy,
                                         RelayEnd::kCutOff));

// Guards against passing a response on that is no target's: a helper of another
// version, or something else at its address.
TEST(RelayProtocolTest, AResponseWithoutAnEndIsNoAnswer) {
  HttpResponse response{.status = 200, .body = "text"};
  EXPECT_FALSE(DecodeRelayResponse(response));
}

}  // namespace
}  // namespace medlarcroft::adapters
