// A host that was held up: what servers sent meanwhile waits to be read when
// the time of their requests is over.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_serialization.h"
#include "fakes/manual_clock.h"
#include "fakes/polled_server.h"

namespace medlarcroft::adapters {
namespace {

using request_path::ResponseName;

// The loop comes to one of them before it comes to the timers.
constexpr std::size_t kExchanges = 5;
constexpr int kMaxTurns = 5000;
constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kPatience = std::chrono::milliseconds(100);
constexpr Duration kOwnDeadline = std::chrono::seconds(1);

const std::string kOk = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
const std::string kUnnamed = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
const std::string kLarge =
    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 40000\r\n\r\n" +
    std::string(40'000, 'x');

class HeldUpClient : public testing::Test {
 protected:
  [[nodiscard]] OutboundRequest MakeRequest() const {
    OutboundRequest request;
    request.address = server_.Address();
    request.text = FormatRequest("GET", "/", {{"Host", "h"}}, "");
    request.id = id_;
    request.connect_timeout = kConnectTimeout;
    request.timeout = kTimeout;
    request.unnamed_patience = kPatience;
    request.identify = [](const HttpResponse& response) {
      return response.headers.Find("Id") ? ResponseName::kOwn
                                         : ResponseName::kUnnamed;
    };
    return request;
  }
  ExchangeId Send() {
    return client_->Send(MakeRequest(), [this](ExchangeResult result) {
      results_.push_back(std::move(result));
    });
  }
  void SendAll() {
    for (std::size_t i = 0; i < kExchanges; ++i) {
      Send();
    }
  }
  /// @brief Runs `act` once `is_so`, and meanwhile the loop.
  void When(const std::function<bool()>& is_so,
            const std::function<void()>& act) {
    if (is_so()) {
      act();
    } else if (++turns_ > kMaxTurns) {
      ADD_FAILURE() << "never came";
      loop_.Finish(1);
    } else {
      // Due in the next turn, not in this one.
      clock_.Advance(std::chrono::microseconds(1));
      loop_.After(Duration(0), [this, is_so, act] { When(is_so, act); });
    }
  }
  void WhenAsked(const std::function<void()>& act) {
    When([this] { return server_.Waiting() >= kExchanges; }, act);
  }
  /// @brief Answers whatever comes until `count` exchanges have ended.
  void ServeUntil(std::size_t count, const std::function<void()>& act) {
    When(
        [this, count] {
          if (server_.Waiting() > 0) {
            server_.Respond(kOk);
          }
          return results_.size() >= count;
        },
        act);
  }
  void FinishAfter(std::size_t count) {
    ServeUntil(count, [this] { loop_.Finish(0); });
  }
  [[nodiscard]] std::size_t Delivered() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(results_, [](const ExchangeResult& result) {
          return IsOk(result) && ValueOf(result).status == 200;
        }));
  }

  fakes::ManualClock clock_;
  EventLoop loop_{clock_};
  fakes::PolledServer server_;
  std::unique_ptr<EventHttpClient> client_ = std::make_unique<EventHttpClient>(
      loop_,
      EventHttpClient::Options{.max_idle_per_address = kExchanges});
  std::vector<ExchangeResult> results_;
  std::string id_ = "1";

 private:
  int turns_ = 0;
};

struct ArrivalCase {
  std::string name;
  /// Read before the host is held up, on connections that were used before.
  std::string before;
  std::string meanwhile;
  Duration held_for = kTimeout;
};

class HeldUpClientTest : public HeldUpClient,
                         public testing::WithParamInterface<ArrivalCase> {
 protected:
  void HoldUp() {
    server_.Respond(GetParam().meanwhile);
    clock_.Advance(GetParam().held_for);
  }
  /// @brief Exchanges that get `before` and then wait, on used connections.
  void BeginWith(const std::function<void()>& act) {
    SendAll();
    WhenAsked([this, act] {
      ServeUntil(kExchanges, [this, act] {
        id_ = "2";
        results_.clear();
        SendAll();
        WhenAsked([this, act] {
          server_.Interrupt(GetParam().before, false);
          When([this] { return AllAreUnnamed(); }, act);
        });
      });
    });
  }
  [[nodiscard]] bool AllAreUnnamed() const {
    return client_->Counters().mismatched_responses == kExchanges;
  }
};

// Guards against responses that are dropped as late although they were there in
// time.
TEST_P(HeldUpClientTest, DeliversWhatArrivedMeanwhile) {
  const auto hold_up = [this] {
    HoldUp();
    FinishAfter(kExchanges);
  };
  if (GetParam().before.empty()) {
    SendAll();
    WhenAsked(hold_up);
  } else {
    BeginWith(hold_up);
  }
  loop_.Run();
  EXPECT_EQ(Delivered(), kExchanges);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    HeldUpClientTest,
    testing::Values(ArrivalCase{.name = "Response", .meanwhile = kOk},
                    ArrivalCase{.name = "LargeResponse", .meanwhile = kLarge},
                    ArrivalCase{.name = "AfterAnUnnamedOne",
                                .before = kUnnamed,
                                .meanwhile = kOk,
                                .held_for = kPatience}),
    [](const auto& test) { return test.param.name; });

// Guards against failed connects to servers that accepted in time.
TEST_F(HeldUpClient, AConnectionEstablishedMeanwhileIsUsed) {
  loop_.After(Duration(0), [this] {
    SendAll();
    clock_.Advance(kConnectTimeout);
    FinishAfter(kExchanges);
  });
  loop_.Run();
  EXPECT_EQ(Delivered(), kExchanges);
  EXPECT_EQ(client_->Counters().connect_failures, 0U);
}

struct PoolCase {
  std::string name;
  std::string sent;
  bool closes = false;
};

class HeldUpPoolTest : public HeldUpClient,
                       public testing::WithParamInterface<PoolCase> {};

// Guards against requests on connections that had come to an end: they fail as
// ones that may have run, or get another's response.
TEST_P(HeldUpPoolTest, UsesNoneThatChangedMeanwhile) {
  SendAll();
  WhenAsked([this] {
    ServeUntil(kExchanges, [this] {
      EXPECT_EQ(client_->IdleConnections(), kExchanges);
      server_.Interrupt(GetParam().sent, GetParam().closes);
      SendAll();
      FinishAfter(2 * kExchanges);
    });
  });
  loop_.Run();
  EXPECT_EQ(Delivered(), 2 * kExchanges);
  EXPECT_EQ(client_->Counters().connections_opened, 2 * kExchanges);
  EXPECT_EQ(client_->Counters().connections_reused, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    HeldUpPoolTest,
    testing::Values(
        PoolCase{.name = "Closed", .closes = true},
        PoolCase{.name = "StrayResponse", .sent = kOk},
        PoolCase{.name = "LastWords", .sent = kUnnamed, .closes = true}),
    [](const auto& test) { return test.param.name; });

// Guards against an owner's deadline that drops responses that were there.
TEST_F(HeldUpClient, AnOwnerCatchesUpBeforeItsDeadline) {
  std::vector<ExchangeId> exchanges;
  for (std::size_t i = 0; i < kExchanges; ++i) {
    exchanges.push_back(Send());
  }
  for (const ExchangeId exchange : exchanges) {
    loop_.After(kOwnDeadline, [this, exchange] {
      client_->CatchUp(exchange);
      client_->Cancel(exchange);
    });
  }
  std::size_t delivered = 0;
  WhenAsked([&] {
    server_.Respond(kOk);
    clock_.Advance(kOwnDeadline);
    loop_.After(Duration(0), [&] {
      delivered = Delivered();
      loop_.Finish(0);
    });
  });
  loop_.Run();
  EXPECT_EQ(delivered, kExchanges);
}

// Guards against a request that is sent only to be given up: it may run, and
// nobody waits for it.
TEST_F(HeldUpClient, AnOwnerAtItsDeadlineSendsNothing) {
  loop_.After(Duration(0), [this] {
    const ExchangeId exchange = Send();
    (void)server_.Waiting();
    client_->CatchUp(exchange);
    client_->Cancel(exchange);
    loop_.Finish(0);
  });
  loop_.Run();
  EXPECT_EQ(server_.Connections(), 1U);
  EXPECT_EQ(server_.Waiting(), 0U);
}

struct CallbackCase {
  std::string name;
  /// Whether the owner catches up, in place of the exchange's own timeout.
  bool is_owner = false;
};

class HeldUpCallbackTest : public HeldUpClient,
                           public testing::WithParamInterface<CallbackCase> {
 protected:
  /// @brief Holds the host up with a response to each exchange; the first that
  /// is delivered runs `act`.
  void RunWith(const std::function<void()>& act) {
    for (std::size_t i = 0; i < kExchanges; ++i) {
      exchanges_.push_back(
          client_->Send(MakeRequest(), [this, act](ExchangeResult result) {
            results_.push_back(std::move(result));
            if (results_.size() == 1) {
              act();
            }
          }));
    }
    WhenAsked([this] {
      server_.Respond(kOk);
      if (GetParam().is_owner) {
        CatchUpAll();
      } else {
        clock_.Advance(kTimeout);
      }
      loop_.After(Duration(0), [this] { FinishAfter(expected_); });
    });
    loop_.Run();
  }
  void CatchUpAll() {
    for (const ExchangeId exchange : exchanges_) {
      if (client_) {
        client_->CatchUp(exchange);
      }
    }
  }

  std::vector<ExchangeId> exchanges_;
  std::size_t expected_ = kExchanges;
};

// Guards against a connection that is judged by the request before.
TEST_P(HeldUpCallbackTest, MaySendTheNextRequest) {
  expected_ = kExchanges + 1;
  RunWith([this] { Send(); });
  EXPECT_EQ(Delivered(), kExchanges + 1);
}

// Guards against callbacks of exchanges that another's callback cancelled.
TEST_P(HeldUpCallbackTest, MayCancelTheOthers) {
  expected_ = 1;
  RunWith([this] {
    for (const ExchangeId exchange : exchanges_) {
      client_->Cancel(exchange);
    }
  });
  EXPECT_EQ(results_.size(), 1U);
  EXPECT_EQ(Delivered(), 1U);
}

// Guards against connections that outlive their client in its own callback.
TEST_P(HeldUpCallbackTest, MayDestroyTheClient) {
  expected_ = 1;
  RunWith([this] { client_.reset(); });
  EXPECT_EQ(results_.size(), 1U);
  EXPECT_EQ(Delivered(), 1U);
}

INSTANTIATE_TEST_SUITE_P(All,
                         HeldUpCallbackTest,
                         testing::Values(CallbackCase{.name = "Timeout"},
                                         CallbackCase{.name = "Owner",
                                                      .is_owner = true}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
