#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/peer/thrift_channel.h"
#include "adapters/peer/thrift_server.h"
#include "adapters/process/socket_address.h"
#include "gen-cpp/Routing.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKeptConnections = 8;
constexpr std::int64_t kHoldingCall = -1;
constexpr std::chrono::seconds kCallTimeout{10};
constexpr std::chrono::seconds kIdleTimeout{1};
// Idle connections are looked for each idle timeout; the last call before the
// hold is so late that the first look finds none.
constexpr milliseconds kUntilLastCall{500};
constexpr milliseconds kPastFirstCheck{800};
constexpr milliseconds kPastSecondCheck{1200};
constexpr milliseconds kUntilSent{200};

/// Answers with the number after the one it got; one call holds its thread.
class HoldingStub final : public wire::RoutingIf {
 public:
  void snapshot(wire::RoutingSnapshot& answer,
                std::int64_t known_number,
                std::int32_t /*wait_ms*/) override {
    if (known_number == kHoldingCall) {
      is_holding.set_value();
      release.get_future().wait();
    }
    answer.number = known_number + 1;
  }
  void report(wire::ReportAnswer& /*answer*/,
              const wire::EntryReport& /*report*/) override {}

  std::promise<void> is_holding;
  std::promise<void> release;
};

class HeldUpThriftServerTest : public testing::Test {
 protected:
  using Channel = ThriftChannel<wire::RoutingClient>;
  using Answer = Result<std::int64_t, ThriftCallFailure>;

  HeldUpThriftServerTest() = default;

  void Start() {
    server_ = TakeValue(
        ThriftServer::Start({.address = "127.93.1.1:0",
                             .threads = 1,
                             .max_connections = kKeptConnections + 1,
                             .idle_timeout = kIdleTimeout},
                            std::make_shared<wire::RoutingProcessor>(stub_)));
    for (std::size_t i = 0; i < kKeptConnections; ++i) {
      kept_.push_back(MakeChannel());
      EXPECT_TRUE(IsOk(Call(*kept_.back(), 0)));
    }
    // The last one, so that others give way first.
    holder_ = MakeChannel();
    EXPECT_TRUE(IsOk(Call(*holder_, 0)));
  }

  [[nodiscard]] std::unique_ptr<Channel> MakeChannel() const {
    return std::make_unique<Channel>(
        "127.93.1.1:" + std::to_string(server_->Port()), kCallTimeout);
  }

  static Answer Call(Channel& channel, std::int64_t number) {
    return channel.Invoke([number](wire::RoutingClient& client) {
      wire::RoutingSnapshot answer;
      client.snapshot(answer, number, 0);
      return answer.number;
    });
  }

  void HoldUp() {
    calls_.push_back(Begin(*holder_, kHoldingCall));
    ASSERT_EQ(stub_->is_holding.get_future().wait_for(kCallTimeout),
              std::future_status::ready);
  }

  void CallOnEachKeptConnection() {
    for (std::size_t i = 0; i < kept_.size(); ++i) {
      calls_.push_back(Begin(*kept_[i], static_cast<std::int64_t>(i)));
    }
    std::this_thread::sleep_for(kUntilSent);
  }

  static std::future<Answer> Begin(Channel& channel, std::int64_t number) {
    return std::async(std::launch::async,
                      [&channel, number] { return Call(channel, number); });
  }

  /// @brief Opens connections that the server accepts when it goes on.
  void ConnectOthers() {
    const auto address =
        ParseSocketAddress("127.93.1.1:" + std::to_string(server_->Port()));
    for (std::size_t i = 0; i < kKeptConnections; ++i) {
      others_.push_back(::socket(AF_INET, SOCK_STREAM, 0));
      EXPECT_EQ(::connect(others_.back(), address->Get(), address->length), 0);
    }
  }

  ~HeldUpThriftServerTest() override {
    for (const int descriptor : others_) {
      ::close(descriptor);
    }
  }

  /// @return how many calls got their own answer.
  std::size_t Answered() {
    std::size_t answered = 0;
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      const Answer answer = calls_[i].get();
      answered +=
          IsOk(answer) && ValueOf(answer) == static_cast<std::int64_t>(i) ? 1U
                                                                          : 0U;
    }
    return answered;
  }

  const std::shared_ptr<HoldingStub> stub_ = std::make_shared<HoldingStub>();
  std::unique_ptr<ThriftServer> server_;
  std::unique_ptr<Channel> holder_;
  std::vector<std::unique_ptr<Channel>> kept_;
  std::vector<std::future<Answer>> calls_;
  std::vector<int> others_;
};

// Guards against calls dropped unread because their connections became idle
// while the server was held up.
TEST_F(HeldUpThriftServerTest, IdleTimeoutDropsNoCallThatWaits) {
  Start();
  std::this_thread::sleep_for(kUntilLastCall);
  for (const auto& channel : kept_) {
    EXPECT_TRUE(IsOk(Call(*channel, 0)));
  }
  ASSERT_TRUE(IsOk(Call(*holder_, 0)));
  std::this_thread::sleep_for(kPastFirstCheck);
  HoldUp();
  CallOnEachKeptConnection();
  std::this_thread::sleep_for(kPastSecondCheck);
  stub_->release.set_value();
  EXPECT_EQ(Answered(), kKeptConnections + 1);
}

// Guards against connections that never end because the check for unread calls
// takes an idle one for a busy one.
TEST_F(HeldUpThriftServerTest, IdleConnectionsEnd) {
  Start();
  std::this_thread::sleep_for(2 * kPastSecondCheck);
  EXPECT_FALSE(IsOk(Call(*kept_.front(), 1)));
}

// Guards against calls dropped, or run without an answer, because their
// connections gave way to others while the server was held up.
TEST_F(HeldUpThriftServerTest, OthersConnectionsDropNoCallThatWaits) {
  Start();
  HoldUp();
  ConnectOthers();
  CallOnEachKeptConnection();
  stub_->release.set_value();
  EXPECT_EQ(Answered(), kKeptConnections + 1);
}

// Guards against calls dropped unread because the server was told to stop
// while it was held up.
TEST_F(HeldUpThriftServerTest, StopDropsNoCallThatWaits) {
  Start();
  HoldUp();
  CallOnEachKeptConnection();
  std::thread stop([this] { server_->Stop(); });
  std::this_thread::sleep_for(kUntilSent);
  stub_->release.set_value();
  stop.join();
  EXPECT_EQ(Answered(), kKeptConnections + 1);
}

}  // namespace
}  // namespace medlarcroft::adapters
