#include "medlarcroft/forwarding/forward_proof.h"

#include <gtest/gtest.h>

namespace medlarcroft::forwarding {
namespace {

constexpr std::string_view kSecret = "0123456789abcdef";
const WallTime kSentAt{std::chrono::seconds(1000)};
const ForwardClaim kClaim{.sender = HostName("a-1"),
                          .kind = ForwardKind::kShift,
                          .sent_at = kSentAt};
constexpr ForwardedRequest kRequest{.method = "POST",
                                    .path = "/swap",
                                    .idempotency_key = "k"};

struct ProofCase {
  const char* name;
  ForwardClaim claim = kClaim;
  ForwardedRequest request = kRequest;
  std::string_view secret = kSecret;
  WallTime now = kSentAt;
  bool is_proved = false;
};

class ForwardProof : public testing::TestWithParam<ProofCase> {};

TEST_P(ForwardProof, BindsSenderRequestAndTime) {
  const ProofCase& example = GetParam();
  const std::string proof = SignForward(kClaim, kRequest, kSecret);
  EXPECT_EQ(IsForwardProofValid(example.claim, example.request, proof,
                                example.secret, example.now),
            example.is_proved);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ForwardProof,
    testing::Values(
        ProofCase{.name = "genuine", .is_proved = true},
        ProofCase{.name = "clock_ahead",
                  .now = kSentAt - std::chrono::seconds(59),
                  .is_proved = true},
        ProofCase{.name = "too_old", .now = kSentAt + std::chrono::seconds(61)},
        ProofCase{.name = "other_secret", .secret = "fedcba9876543210"},
        ProofCase{.name = "other_key",
                  .request = {.method = "POST",
                              .path = "/swap",
                              .idempotency_key = "j"}},
        ProofCase{.name = "other_kind",
                  .claim = {.sender = HostName("a-1"),
                            .kind = ForwardKind::kIssuer,
                            .sent_at = kSentAt}}),
    [](const auto& info) { return info.param.name; });

TEST(ForwardClaim, RoundTrip) {
  const auto parsed = ParseForwardClaim(FormatForwardClaim(kClaim));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->sender, kClaim.sender);
  EXPECT_EQ(parsed->kind, kClaim.kind);
  EXPECT_EQ(parsed->sent_at, kClaim.sent_at);
}

TEST(ForwardClaim, RejectsMalformedText) {
  for (const char* text : {"", ";", "shift;a", "other;a;1", "shift;a;x",
                           "shift;a;-1", "shift;a;7614700007647000000"}) {
    EXPECT_FALSE(ParseForwardClaim(text)) << text;
  }
}

}  // namespace
}  // namespace medlarcroft::forwarding
