#include "adapters/event/client_connections.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "adapters/process/system_clock.h"

namespace medlarcroft::adapters {
namespace {

using resources::ConnectionState;

class ClientConnectionsTest : public testing::Test {
 protected:
  SystemClock clock_;
  EventLoop loop_{clock_};
};

// Guards against ordinary requests that wait for all that others have sent
// ahead.
TEST_F(ClientConnectionsTest, OneTurnIsTakenBetweenOtherEvents) {
  constexpr int kTurns = 100;
  constexpr int kEvents = 3;
  const auto connections = std::make_shared<ClientConnections>(loop_, 1);
  int turns = 0;
  for (int i = 0; i < kTurns; ++i) {
    connections->TakeTurn([&] { ++turns; });
  }
  loop_.After(Duration(0), [&] {
    loop_.After(Duration(0),
                [&] { loop_.After(Duration(0), [&] { loop_.Finish(0); }); });
  });
  loop_.Run();
  EXPECT_GT(turns, 0);
  EXPECT_LE(turns, 2 * kEvents);
}

// Guards against descriptors that clients who say nothing take from all others.
TEST_F(ClientConnectionsTest, WhoBroughtLeastIsClosedForANewOne) {
  const auto connections = std::make_shared<ClientConnections>(loop_, 2);
  std::vector<int> closed;
  std::vector<ClientConnections::Id> places;
  places.reserve(2);
  for (int i = 0; i < 2; ++i) {
    places.push_back(connections->Add(
        [&closed, i] {
          closed.push_back(i);
          return true;
        },
        false));
  }
  connections->SetState(places[0], ConnectionState::kServing);
  EXPECT_NE(connections->Add([] { return true; }, false), 0U);
  EXPECT_EQ(closed, std::vector{1});
  EXPECT_EQ(connections->GaveWay(), 1U);
}

// Guards against a whole request that is dropped unread for a new connection:
// the next one gives way.
TEST_F(ClientConnectionsTest, WhoTurnsOutToHaveBroughtMoreIsNotClosed) {
  const auto connections = std::make_shared<ClientConnections>(loop_, 2);
  ClientConnections::Id reader = 0;
  reader = connections->Add(
      [&] {
        connections->SetState(reader, ConnectionState::kServing);
        return false;
      },
      false);
  bool is_silent_one_closed = false;
  (void)connections->Add([&] { return is_silent_one_closed = true; }, false);
  EXPECT_NE(connections->Add([] { return true; }, false), 0U);
  EXPECT_TRUE(is_silent_one_closed);
  EXPECT_EQ(connections->GaveWay(), 1U);
}

// Guards against a loop that serves those who send without a pause for ever, to
// make room for one.
TEST_F(ClientConnectionsTest, ANewOneIsRefusedWhereAllGoOnSending) {
  const auto connections = std::make_shared<ClientConnections>(loop_, 1);
  (void)connections->Add([] { return false; }, false);
  EXPECT_EQ(connections->Add([] { return true; }, false), 0U);
  connections->FreeOne();
  EXPECT_EQ(connections->Size(), 1U);
  EXPECT_EQ(connections->Refused(), 1U);
}

// Guards against a probe of readiness that finds no room, so that the platform
// takes the host for broken.
TEST_F(ClientConnectionsTest, APortWithFewConnectionsAlwaysGetsOne) {
  const auto connections = std::make_shared<ClientConnections>(loop_, 1);
  const auto served = connections->Add([] { return true; }, false);
  connections->SetState(served, ConnectionState::kServing);
  const auto probe = connections->Add([] { return true; }, true);
  ASSERT_NE(probe, 0U);
  connections->SetState(probe, ConnectionState::kServing);
  EXPECT_EQ(connections->Add([] { return true; }, false), 0U);
  EXPECT_EQ(connections->Refused(), 1U);
}

}  // namespace
}  // namespace medlarcroft::adapters
