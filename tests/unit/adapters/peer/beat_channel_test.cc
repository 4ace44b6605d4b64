#include "adapters/peer/beat_channel.h"

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

TEST(BeatTest, ReadsTheSameButForTheLoads) {
  const auto decoded = DecodeBeat(EncodeBeat(MakeState()));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->host, HostName("edge-1"));
  EXPECT_EQ(decoded->number, MakeState().number);
  EXPECT_EQ(decoded->phase, membership::HostPhase::kReady);
  EXPECT_EQ(decoded->entry_address, "127.0.0.1:80");
  EXPECT_TRUE(decoded->loads.empty());
}

TEST(BeatTest, FitsWellIntoOneDatagram) {
  EXPECT_LT(EncodeBeat(MakeState()).size(), 200U);
}

TEST(BeatTest, WhatIsCutOrNoneIsRefused) {
  const std::string datagram = EncodeBeat(MakeState());
  for (std::size_t length = 0; length + 1 < datagram.size(); ++length) {
    EXPECT_FALSE(DecodeBeat(datagram.substr(0, length))) << length;
  }
  EXPECT_FALSE(DecodeBeat("hello"));
}

}  // namespace
}  // namespace medlarcroft::adapters
