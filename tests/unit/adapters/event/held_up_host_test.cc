// A host that was held up: what clients sent meanwhile waits to be read when
// their connections' time is over.
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "adapters/event/http_listener.h"
#include "adapters/process/socket_address.h"
#include "fakes/manual_clock.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::adapters {
namespace {

using fakes::ScriptedConnection;

constexpr int kClients = 20;
constexpr Duration kIdleTimeout = std::chrono::seconds(3);
constexpr Duration kHeaderTimeout = std::chrono::seconds(1);
constexpr std::size_t kUploadBytes = 60'000;

const std::string kGet = "GET /kept HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kGetLater = "GET /later HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kUploadHead =
    "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: " +
    std::to_string(kUploadBytes) + "\r\n\r\n";
const std::string kUploadBody(kUploadBytes, 'u');

/// @brief Answers at once, "/later" from the loop's next turn.
class EchoHandler final : public HttpRequestHandler {
 public:
  explicit EchoHandler(EventLoop& loop) : loop_(loop) {}

  void OnRequest(HttpRequest request,
                 const std::shared_ptr<HttpExchange>& exchange) override {
    if (request.raw_target == "/later") {
      loop_.After(Duration(0), [exchange] { exchange->Respond({}); });
    } else {
      exchange->Respond({});
    }
  }

 private:
  EventLoop& loop_;
};

class HeldUpHost : public testing::Test {
 protected:
  using Clients = std::vector<std::unique_ptr<ScriptedConnection>>;

  void Open(std::size_t descriptors = 8192) {
    resources_ = ClientResources::Make(loop_, {}, descriptors);
    listener_ = TakeValue(
        HttpListener::Open(loop_, "127.0.0.1:0", handler_, resources_));
    listener_->SetLimits(
        {.header_timeout = kHeaderTimeout, .idle_timeout = kIdleTimeout});
  }

  /// Runs the loop while a thread plays the clients.
  void RunWith(const std::function<void()>& script) {
    std::atomic<bool> is_done{false};
    std::thread clients([&] {
      script();
      is_done = true;
    });
    poll_ = [this, &is_done] {
      if (is_done) {
        loop_.Finish(0);
      } else if (wants_hold_) {
        is_held_ = true;
        while (!is_over_) {
          std::this_thread::yield();
        }
        wants_hold_ = false;
        clock_.Advance(held_for_);
      }
      // Due in the next turn, not in this one.
      clock_.Advance(std::chrono::microseconds(1));
      loop_.After(Duration(0), poll_);
    };
    loop_.After(Duration(0), poll_);
    loop_.Run();
    clients.join();
  }

  /// @brief Plays `script` while the host does not run for `held_for`.
  void HoldUp(Duration held_for, const std::function<void()>& script) {
    held_for_ = held_for;
    wants_hold_ = true;
    while (!is_held_) {
      std::this_thread::yield();
    }
    script();
    is_over_ = true;
  }

  [[nodiscard]] std::unique_ptr<ScriptedConnection> Connect() const {
    const auto address =
        ParseSocketAddress("127.0.0.1:" + std::to_string(listener_->Port()));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    (void)::connect(descriptor, address->Get(), address->length);
    return std::make_unique<ScriptedConnection>(descriptor);
  }

  [[nodiscard]] Clients ConnectAll(int count) const {
    Clients clients;
    for (int i = 0; i < count; ++i) {
      clients.push_back(Connect());
    }
    return clients;
  }

  fakes::ManualClock clock_;
  EventLoop loop_{clock_};
  EchoHandler handler_{loop_};
  ClientResources resources_;
  std::unique_ptr<HttpListener> listener_;

 private:
  std::function<void()> poll_;
  Duration held_for_{};
  std::atomic<bool> wants_hold_{false};
  std::atomic<bool> is_held_{false};
  std::atomic<bool> is_over_{false};
};

struct ArrivalCase {
  std::string name;
  /// Sent before the host is held up, on a connection that was served once.
  std::string before;
  std::string meanwhile;
  Duration held_for = kIdleTimeout;
  int responses = 1;
  bool was_served = true;
};

class HeldUpHostTest : public HeldUpHost,
                       public testing::WithParamInterface<ArrivalCase> {};

// Guards against whole requests that a close drops unread, with no answer.
TEST_P(HeldUpHostTest, AnswersWhatArrivedMeanwhile) {
  Open();
  int answered = 0;
  RunWith([&] {
    const Clients clients = ConnectAll(kClients);
    for (const auto& client : clients) {
      if (GetParam().was_served) {
        client->Write(kGet);
        client->ReadHead();
      }
      client->Write(GetParam().before);
    }
    // Served last, so that the loop has read what came before.
    const auto last = Connect();
    last->Write(kGet);
    last->ReadHead();
    HoldUp(GetParam().held_for, [&] {
      for (const auto& client : clients) {
        client->Write(GetParam().meanwhile);
      }
    });
    for (const auto& client : clients) {
      for (int i = 0; i < GetParam().responses; ++i) {
        answered += client->ReadHead().starts_with("HTTP/1.1 200") ? 1 : 0;
      }
    }
  });
  EXPECT_EQ(answered, kClients * GetParam().responses);
  EXPECT_EQ(listener_->Counters().inputs_dropped, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    HeldUpHostTest,
    testing::Values(
        ArrivalCase{.name = "KeptConnection", .meanwhile = kGet},
        ArrivalCase{.name = "AnsweredLater", .meanwhile = kGetLater},
        ArrivalCase{.name = "Upload", .meanwhile = kUploadHead + kUploadBody},
        ArrivalCase{.name = "SentAhead",
                    .meanwhile = kGet + kGet + kGet,
                    .responses = 3},
        ArrivalCase{.name = "FirstRequest",
                    .meanwhile = kGet,
                    .was_served = false},
        ArrivalCase{.name = "RestOfAHead",
                    .before = kGet.substr(0, 9),
                    .meanwhile = kGet.substr(9)},
        ArrivalCase{.name = "RestOfABody",
                    .before = kUploadHead + kUploadBody.substr(9),
                    .meanwhile = kUploadBody.substr(0, 9)},
        ArrivalCase{.name = "RestOfAnUpload",
                    .before = kUploadHead.substr(0, 9),
                    .meanwhile = kUploadHead.substr(9) + kUploadBody}),
    [](const auto& test) { return test.param.name; });

// Guards against whole requests that are dropped unread because new connections
// want their descriptors.
TEST_F(HeldUpHost, AnswersWhatArrivedBeforeNewConnections) {
  constexpr std::size_t kDescriptors = std::size_t{4} * kClients;
  Open(kDescriptors);
  int answered = 0;
  RunWith([&] {
    Clients clients = ConnectAll(kClients);
    for (const auto& client : clients) {
      client->Write(kGet);
      client->ReadHead();
    }
    HoldUp(Duration(0), [&] {
      for (int i = 0; i < 2 * kClients; ++i) {
        clients.push_back(Connect());
      }
      for (const auto& client : clients) {
        client->Write(kGet);
      }
    });
    for (const auto& client : clients) {
      answered += client->ReadHead().starts_with("HTTP/1.1 200") ? 1 : 0;
    }
  });
  EXPECT_EQ(answered, 3 * kClients);
  EXPECT_EQ(listener_->Counters().inputs_dropped, 0U);
  EXPECT_GT(resources_.connections->GaveWay(), 0U);
}

// Guards against a stop that ends the process while whole requests wait to be
// read: they are owed an answer like those in hand.
TEST_F(HeldUpHost, AStopKnowsOfRequestsThatWaitToBeRead) {
  Open();
  OwedResponses while_unread;
  std::unique_ptr<ScriptedConnection> client;
  RunWith([&] {
    client = Connect();
    client->Write(kGet);
    client->ReadHead();
    HoldUp(Duration(0), [&] {
      client->Write(kGet);
      while_unread = listener_->MeasureOwed();
    });
    client->ReadHead();
  });
  EXPECT_EQ(while_unread.WaitedFor(), 1U);
  EXPECT_EQ(listener_->MeasureOwed().WaitedFor(), 0U);
}

}  // namespace
}  // namespace medlarcroft::adapters
