#include "platform/blocked_request_entry.h"

#include <gtest/gtest.h>

#include <string>

namespace medlarcroft::platform {
namespace {

constexpr auto kRequest = [] {
  return request_path::RequestFingerprint::FromValue(0x0a1bU);
};
const WallTime kUntil{std::chrono::milliseconds(1'700'000'000'123)};

TEST(BlockedRequestEntryTest, RoundTrips) {
  const std::string key = FormatBlockedRequestKey(kRequest());
  EXPECT_EQ(key, "blocked-request/0000000000000a1b");
  const auto decoded = DecodeBlockedRequest(
      key, EncodeBlockedRequest({.request = kRequest(), .until = kUntil}));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).request, kRequest());
  EXPECT_EQ(ValueOf(decoded).until, kUntil);
}

struct BadEntry {
  std::string name;
  std::string key;
  std::string value;
};

class BadBlockedRequestEntryTest : public testing::TestWithParam<BadEntry> {};

// An invalid row must neither block a request nor crash the host.
TEST_P(BadBlockedRequestEntryTest, IsRejected) {
  EXPECT_FALSE(IsOk(DecodeBlockedRequest(GetParam().key, GetParam().value)));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadBlockedRequestEntryTest,
    testing::Values(BadEntry{"host_key", "edge-1", "{\"until_ms\":1}"},
                    BadEntry{"key_without_number", "blocked-request/xyz",
                             "{\"until_ms\":1}"},
                    BadEntry{"no_expiry", "blocked-request/1f", "{}"},
                    BadEntry{"expiry_beyond_all_times", "blocked-request/1f",
                             "{\"until_ms\":9000000000000000}"},
                    BadEntry{"not_json", "blocked-request/1f", "?"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::platform
