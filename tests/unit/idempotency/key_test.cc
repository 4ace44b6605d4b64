#include "medlarcroft/idempotency/key.h"

#include <gtest/gtest.h>

#include <ostream>

#include "fakes/manual_clock.h"
#include "medlarcroft/idempotency/key_authority.h"

namespace medlarcroft::idempotency {
namespace {

constexpr const char* kOldSecret = "an old secret of 16+ bytes";
constexpr const char* kNewSecret = "a new secret of 16+ bytes";

KeyAuthority MakeAuthority(const fakes::ManualClock& clock,
                           KeySecrets secrets) {
  return {{.host = HostName("entry-1"), .incarnation = 77},
          std::move(secrets),
          clock};
}

TEST(Key, TextFormRoundTrips) {
  const fakes::ManualClock clock;
  KeyAuthority authority = MakeAuthority(clock, {.issuing = kOldSecret});
  for (const Mode mode : {Mode::kLocal, Mode::kDurable}) {
    const Key key = authority.Issue(mode);
    const auto read = ParseKey(FormatKey(key));
    ASSERT_TRUE(IsOk(read));
    EXPECT_EQ(ValueOf(read), key);
    EXPECT_LE(FormatKey(key).size(), kMaxKeyText);
  }
}

struct InvalidText {
  const char* name;
  std::string text;
  KeyParseError error;
};

std::ostream& operator<<(std::ostream& out, const InvalidText& value) {
  return out << value.name;
}

class KeyText : public ::testing::TestWithParam<InvalidText> {};

TEST_P(KeyText, IsRejectedWithReason) {
  const auto read = ParseKey(GetParam().text);
  ASSERT_FALSE(IsOk(read));
  EXPECT_EQ(ErrorOf(read), GetParam().error);
}

std::string WithMac(const char* text) {
  return text + std::string(32, 'a');
}

INSTANTIATE_TEST_SUITE_P(
    Invalid,
    KeyText,
    ::testing::Values(
        InvalidText{"Empty", "", KeyParseError::kMalformed},
        InvalidText{"TooLong", std::string(193, 'k'), KeyParseError::kTooLong},
        InvalidText{"LaterFormat", "k2:anything",
                    KeyParseError::kUnknownVersion},
        InvalidText{"BadMode", WithMac("k1:x:h:1:1:1:"),
                    KeyParseError::kMalformed},
        InvalidText{"BadHost", WithMac("k1:l:a b:1:1:1:"),
                    KeyParseError::kMalformed},
        InvalidText{"LeadingZero", WithMac("k1:l:h:01:1:1:"),
                    KeyParseError::kMalformed},
        InvalidText{"UpperCase", WithMac("k1:l:h:A:1:1:"),
                    KeyParseError::kMalformed},
        InvalidText{"TooLarge", WithMac("k1:l:h:11111111111111111:1:1:"),
                    KeyParseError::kMalformed},
        InvalidText{"ExpiryTooFar", WithMac("k1:l:h:1:1:7fffffffffffffff:"),
                    KeyParseError::kMalformed},
        InvalidText{"NegativeExpiry", WithMac("k1:l:h:1:1:-1:"),
                    KeyParseError::kMalformed},
        InvalidText{"ShortMac", "k1:l:h:1:1:1:aa", KeyParseError::kMalformed},
        InvalidText{"OneFieldMore", WithMac("k1:l:h:1:1:1:") + ":",
                    KeyParseError::kMalformed}),
    [](const auto& instance) { return instance.param.name; });

// Guards against refusing valid keys during a rotation of secrets. Hosts change
// one after the other, so keys signed with the old and the new secret arrive at
// hosts of both kinds. Each step must accept every key that any host issues at
// that time.
TEST(KeyAuthority, AcceptsKeysThroughARotation) {
  const fakes::ManualClock clock;
  const KeySecrets steps[] = {
      {.issuing = kOldSecret},
      {.issuing = kOldSecret, .also_accepted = kNewSecret},
      {.issuing = kNewSecret, .also_accepted = kOldSecret},
      {.issuing = kNewSecret}};
  for (std::size_t i = 0; i + 1 < std::size(steps); ++i) {
    KeyAuthority early = MakeAuthority(clock, steps[i]);
    KeyAuthority late = MakeAuthority(clock, steps[i + 1]);
    EXPECT_EQ(early.FindRefusal(late.Issue(Mode::kLocal)), std::nullopt) << i;
    EXPECT_EQ(late.FindRefusal(early.Issue(Mode::kLocal)), std::nullopt) << i;
  }
  KeyAuthority first = MakeAuthority(clock, steps[0]);
  KeyAuthority last = MakeAuthority(clock, steps[3]);
  EXPECT_EQ(last.FindRefusal(first.Issue(Mode::kLocal)), KeyRefusal::kForged);
}

TEST(KeyAuthority, RefusesForgedAndExpiredKeysAndWeakSecrets) {
  fakes::ManualClock clock;
  KeyAuthority authority = MakeAuthority(clock, {.issuing = kOldSecret});
  const Key key = authority.Issue(Mode::kLocal);
  EXPECT_EQ(authority.FindRefusal(key), std::nullopt);

  Key forged = key;
  forged.mode = Mode::kDurable;
  EXPECT_EQ(authority.FindRefusal(forged), KeyRefusal::kForged);
  forged = key;
  ++forged.id.sequence;
  EXPECT_EQ(authority.FindRefusal(forged), KeyRefusal::kForged);

  clock.Advance(std::chrono::minutes(10));
  EXPECT_EQ(authority.FindRefusal(key), KeyRefusal::kExpired);
  EXPECT_EQ(ErrorOf(authority.Rotate({.issuing = ""})),
            KeySecretsError::kTooShort);
  EXPECT_EQ(ErrorOf(authority.Rotate(
                {.issuing = kNewSecret, .also_accepted = kNewSecret})),
            KeySecretsError::kIdenticalSecrets);
}

}  // namespace
}  // namespace medlarcroft::idempotency
