#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "adapters/peer/frame.h"
#include "adapters/peer/thrift_channel.h"
#include "adapters/peer/thrift_server.h"
#include "gen-cpp/Routing.h"

namespace medlarcroft::adapters {
namespace {

class RoutingStub final : public wire::RoutingIf {
 public:
  void snapshot(wire::RoutingSnapshot& answer,
                std::int64_t known_number,
                std::int32_t /*wait_ms*/) override {
    if (known_number < 0) {
      throw wire::PeerRefusal();
    }
    answer.number = known_number + 1;
  }
  void report(wire::ReportAnswer& /*answer*/,
              const wire::EntryReport& /*report*/) override {}
};

class ThriftRoundTripTest : public testing::Test {
 protected:
  ThriftRoundTripTest() {
    auto started = ThriftServer::Start(
        {.address = "127.0.0.1:0", .threads = 2, .max_connections = 8},
        std::make_shared<wire::RoutingProcessor>(
            std::make_shared<RoutingStub>()));
    server_ = TakeValue(std::move(started));
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(server_->Port());
  }

  static Result<std::int64_t, ThriftCallFailure> CallSnapshot(
      ThriftChannel<wire::RoutingClient>& channel,
      std::int64_t number) {
    return channel.Invoke([number](wire::RoutingClient& client) {
      wire::RoutingSnapshot answer;
      client.snapshot(answer, number, 0);
      return answer.number;
    });
  }

  std::unique_ptr<ThriftServer> server_;
};

TEST_F(ThriftRoundTripTest, ConcurrentCallersGetTheirOwnAnswers) {
  std::vector<std::thread> callers;
  callers.reserve(6);
  std::atomic<int> wrong{0};
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&, caller] {
      ThriftChannel<wire::RoutingClient> channel(Address(),
                                                 std::chrono::seconds(5));
      for (int i = 0; i < 50; ++i) {
        const auto result = CallSnapshot(channel, caller * 1000 + i);
        wrong += !IsOk(result) || ValueOf(result) != caller * 1000 + i + 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(wrong, 0);
}

TEST_F(ThriftRoundTripTest, RefusalIsReportedAndChannelStaysUsable) {
  ThriftChannel<wire::RoutingClient> channel(Address(),
                                             std::chrono::seconds(5));
  const auto refused = CallSnapshot(channel, -1);
  ASSERT_FALSE(IsOk(refused));
  EXPECT_EQ(ErrorOf(refused), ThriftCallFailure::kRefused);
  EXPECT_TRUE(IsOk(CallSnapshot(channel, 1)));
}

// A peer crashes and another process listens on its address. The call on the
// broken connection returns a failure, and the next call reconnects.
TEST_F(ThriftRoundTripTest, ReconnectsAfterPeerRestart) {
  ThriftChannel<wire::RoutingClient> channel(Address(),
                                             std::chrono::seconds(5));
  ASSERT_TRUE(IsOk(CallSnapshot(channel, 1)));
  const std::string address = Address();
  server_.reset();
  EXPECT_FALSE(IsOk(CallSnapshot(channel, 1)));

  auto restarted = ThriftServer::Start({.address = address, .threads = 1},
                                       std::make_shared<wire::RoutingProcessor>(
                                           std::make_shared<RoutingStub>()));
  ASSERT_TRUE(IsOk(restarted));
  EXPECT_TRUE(IsOk(CallSnapshot(channel, 1)));
}

TEST(FrameReaderTest, OversizedLengthIsCorrupt) {
  FrameReader reader;
  const std::array<std::uint8_t, 4> huge = {0xff, 0xff, 0xff, 0xff};
  reader.Append(huge);
  EXPECT_EQ(reader.Next(), std::nullopt);
  EXPECT_TRUE(reader.IsCorrupt());
}

TEST(FrameReaderTest, ReassemblesFragmentedFrame) {
  FrameReader reader;
  const std::array<std::uint8_t, 6> bytes = {0, 0, 0, 2, 'o', 'k'};
  for (const std::uint8_t byte : bytes) {
    EXPECT_EQ(reader.Next(), std::nullopt);
    reader.Append(std::span(&byte, 1));
  }
  EXPECT_EQ(reader.Next(), "ok");
}

}  // namespace
}  // namespace medlarcroft::adapters
