#include "adapters/peer/peer_channel.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

membership::HostState MakeState() {
  membership::HostState state;
  state.host = HostName("edge-1");
  state.failure_domain = FailureDomainName("z");
  state.number = {.incarnation = 7, .sequence = 9};
  state.phase = membership::HostPhase::kReady;
  state.entry_address = "127.0.0.1:80";
  state.loads.push_back({.service = ServiceName("s")});
  return state;
}

using peer_updates::PeerUpdate;
using peer_updates::UpdateRoute;

PeerUpdate MakeUpdate() {
  return {
      .way = UpdateRoute::kExchange,
      .sender = 0xF0000001U,
      .state = MakeState(),
      .placed = {{.target = request_path::TargetNumber{0xF0000002U},
                  .object = request_path::ObjectKey("17")}},
      .loads = {{.target = request_path::TargetNumber{3}, .requests = 12}},
      .heartbeats = {{.host_hash = 3, .incarnation_hash = 5, .sequence = 7}}};
}

TEST(PeerUpdateTest, RoundTripsWithoutServiceLoads) {
  const auto decoded = DecodePeerUpdate(EncodePeerUpdate(MakeUpdate()));
  ASSERT_TRUE(decoded && decoded->state);
  EXPECT_EQ(decoded->state->host, HostName("edge-1"));
  EXPECT_EQ(decoded->state->number, MakeState().number);
  EXPECT_EQ(decoded->state->phase, membership::HostPhase::kReady);
  EXPECT_EQ(decoded->state->entry_address, "127.0.0.1:80");
  EXPECT_TRUE(decoded->state->loads.empty());
  EXPECT_EQ(decoded->heartbeats, MakeUpdate().heartbeats);
  EXPECT_EQ(decoded->way, UpdateRoute::kExchange);
  EXPECT_EQ(decoded->sender, MakeUpdate().sender);
  EXPECT_EQ(decoded->placed, MakeUpdate().placed);
  EXPECT_EQ(decoded->loads, MakeUpdate().loads);
}

// Guards against taking ends of one moment for ends of several: reports of them
// arrive up to half a second apart, and are repeated for seconds.
TEST(PeerUpdateTest, CrashReportsKeepTheirAge) {
  using request_path::CrashReport;
  using std::chrono::milliseconds;
  const CrashReport crash{
      .request = request_path::RequestFingerprint::FromValue(~0ULL),
      .target = request_path::TargetNumber{9},
      .age = milliseconds(650)};
  CrashReport old = crash;
  old.age = std::chrono::minutes(1);
  const CrashReport end_without_request{.target =
                                            request_path::TargetNumber{10}};
  const auto decoded = DecodePeerUpdate(
      EncodePeerUpdate({.crashes = {crash, old, end_without_request}}));
  ASSERT_TRUE(decoded);
  old.age = milliseconds(12750);
  EXPECT_EQ(decoded->crashes,
            (std::vector<CrashReport>{crash, old, end_without_request}));
}

TEST(PeerUpdateTest, StateAndPlacementsAreOptional) {
  EXPECT_FALSE(DecodePeerUpdate(EncodePeerUpdate({}))->state);
  PeerUpdate placed = MakeUpdate();
  placed.state.reset();
  EXPECT_EQ(DecodePeerUpdate(EncodePeerUpdate(placed))->placed.size(), 1U);
}

TEST(PeerUpdateTest, FitsIntoOneDatagram) {
  EXPECT_LT(EncodePeerUpdate(MakeUpdate()).size(), 200U);
}

TEST(PeerUpdateTest, RejectsTruncatedAndForeignDatagrams) {
  const std::string datagram = EncodePeerUpdate(MakeUpdate());
  for (std::size_t length = 0; length < datagram.size(); ++length) {
    EXPECT_FALSE(DecodePeerUpdate(datagram.substr(0, length))) << length;
  }
  EXPECT_FALSE(DecodePeerUpdate("hello"));
}

}  // namespace
}  // namespace medlarcroft::adapters
