#include "adapters/process/client_bounds.h"

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "adapters/process/socket_address.h"
#include "fakes/manual_clock.h"

namespace medlarcroft::adapters {
namespace {

using resources::ConnectionState;

constexpr std::size_t kTotalBytes = std::size_t{1024} * 1024;
constexpr std::size_t kSmallPartBytes = std::size_t{128} * 1024;
constexpr std::size_t kBodyBytes = std::size_t{600} * 1024;
constexpr Duration kPastPatience = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kIdleTimeout{50};
constexpr std::size_t kManyOthers = 40;

/// Both ends of a connection.
class ConnectionPair {
 public:
  ConnectionPair() {
    const auto any = ParseSocketAddress("127.93.5.1:0");
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(::bind(listener, any->Get(), any->length), 0);
    EXPECT_EQ(::listen(listener, 1), 0);
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    (void)::getsockname(listener, reinterpret_cast<sockaddr*>(&address),
                        &length);
    client_ = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(::connect(client_, reinterpret_cast<sockaddr*>(&address), length),
              0);
    server_ = ::accept(listener, nullptr, nullptr);
    ::close(listener);
  }
  ~ConnectionPair() {
    ::close(client_);
    ::close(server_);
  }
  ConnectionPair(const ConnectionPair&) = delete;
  ConnectionPair& operator=(const ConnectionPair&) = delete;

  [[nodiscard]] int Server() const { return server_; }
  void SendAsClient(std::string_view bytes) const { Send(client_, bytes); }
  void SendAsServer(std::string_view bytes) const { Send(server_, bytes); }
  [[nodiscard]] std::string ReadAsClient() const { return Read(client_); }
  [[nodiscard]] std::string ReadAsServer() const { return Read(server_); }

 private:
  static void Send(int descriptor, std::string_view bytes) {
    (void)::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  static std::string Read(int descriptor) {
    std::array<char, 64> chunk{};
    const ssize_t count = ::recv(descriptor, chunk.data(), chunk.size(), 0);
    return {chunk.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
  }

  int client_ = -1;
  int server_ = -1;
};

// Guards against requests that run without an answer, because their rest was
// there when they gave way for others' memory.
TEST(ClientMemoryTest, WhoGaveWayIsRefusedAndCanBeTold) {
  fakes::ManualClock clock;
  ClientMemory memory(clock,
                      {.total = kTotalBytes, .small_part = kSmallPartBytes});
  const ConnectionPair stalled;
  const ClientMemory::Id holder = memory.Open(stalled.Server());
  ASSERT_TRUE(memory.Ask(holder, kBodyBytes, 1));
  clock.Advance(kPastPatience);
  stalled.SendAsClient("rest");

  const ConnectionPair other;
  const ClientMemory::Id needing = memory.Open(other.Server());
  (void)memory.Ask(needing, kBodyBytes, 1);
  ASSERT_EQ(memory.GaveWay(), 1U);

  EXPECT_EQ(stalled.ReadAsServer(), "rest");
  EXPECT_FALSE(memory.Ask(holder, 0, 4));
  stalled.SendAsServer("refusal");
  EXPECT_EQ(stalled.ReadAsClient(), "refusal");
}

class ListenerConnectionsTest : public testing::Test {
 protected:
  ListenerConnectionsTest() {
    kept_id_ = connections_.Add(kept_.Server());
    connections_.SetState(kept_id_, ConnectionState::kIdle);
  }

  void AddOthers(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      others_.push_back(std::make_unique<ConnectionPair>());
      const auto id = connections_.Add(others_.back()->Server());
      connections_.SetState(id, ConnectionState::kReading);
    }
  }

  ListenerConnections connections_{1};
  const ConnectionPair kept_;
  ListenerConnections::Id kept_id_ = 0;
  std::vector<std::unique_ptr<ConnectionPair>> others_;
};

// Guards against requests dropped, or run without an answer, because their
// connection gave way to another before they were read.
TEST_F(ListenerConnectionsTest, WhatHasArrivedIsReadAndAnswered) {
  kept_.SendAsClient("request");
  AddOthers(1);
  EXPECT_TRUE(connections_.IsLeaving(kept_id_));
  EXPECT_EQ(kept_.ReadAsServer(), "request");
  EXPECT_EQ(kept_.ReadAsServer(), "");
  kept_.SendAsServer("response");
  EXPECT_EQ(kept_.ReadAsClient(), "response");
}

// Guards against connections that give way and stay, so that new ones find no
// room.
TEST_F(ListenerConnectionsTest, ManyOthersCloseWhoDoesNotLeave) {
  AddOthers(kManyOthers);
  EXPECT_EQ(kept_.ReadAsClient(), "");
}

// Guards against responses cut off because many connections gave way while
// they were made.
TEST_F(ListenerConnectionsTest, ManyOthersCutNoResponse) {
  AddOthers(1);
  connections_.SetState(kept_id_, ConnectionState::kServing);
  AddOthers(kManyOthers);
  kept_.SendAsServer("response");
  EXPECT_EQ(kept_.ReadAsClient(), "response");
}

// Guards against requests dropped unread because their connection was idle
// before they arrived.
TEST_F(ListenerConnectionsTest, UnreadInputIsNoSilence) {
  kept_.SendAsClient("request");
  std::this_thread::sleep_for(2 * kIdleTimeout);
  connections_.LetIdleLeave(kIdleTimeout);
  EXPECT_FALSE(connections_.IsLeaving(kept_id_));
  EXPECT_EQ(kept_.ReadAsServer(), "request");
}

// Guards against idle connections that stay for good.
TEST_F(ListenerConnectionsTest, SilentOneLeaves) {
  std::this_thread::sleep_for(2 * kIdleTimeout);
  connections_.LetIdleLeave(kIdleTimeout);
  EXPECT_TRUE(connections_.IsLeaving(kept_id_));
  EXPECT_EQ(kept_.ReadAsServer(), "");
}

}  // namespace
}  // namespace medlarcroft::adapters
