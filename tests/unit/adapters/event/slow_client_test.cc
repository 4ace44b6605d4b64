// Clients that read slowly, send on or never read, on real sockets.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "adapters/event/http_listener.h"
#include "adapters/process/system_clock.h"
#include "fakes/slow_client.h"

namespace medlarcroft::adapters {
namespace {

using fakes::SlowClient;
using std::chrono::milliseconds;

// More than the kernel takes for one connection of `SlowClient`.
constexpr std::size_t kLargeBytes = std::size_t{1} * 1024 * 1024;

// What the kernel takes, but not the client.
constexpr std::size_t kSmallBytes = std::size_t{60} * 1024;

/// @brief Answers GET with a large body that ends in the request's target,
/// "/small" with a smaller one, "/later" after a while.
class LargeHandler final : public HttpRequestHandler {
 public:
  explicit LargeHandler(EventLoop& loop) : loop_(loop) {}

  std::shared_ptr<HeldMemory> memory;
  std::optional<bool> has_room;

  void OnRequest(HttpRequest request,
                 const std::shared_ptr<HttpExchange>& exchange) override {
    exchange->Identify(request.raw_target,
                       loop_.Now() + std::chrono::seconds(4));
    if (request.raw_target == "/room") {
      has_room = memory->MakeRoomForResponses();
      exchange->Respond({.status = 200});
      return;
    }
    const std::size_t size =
        request.raw_target == "/small" ? kSmallBytes : kLargeBytes;
    std::string body(request.method == "GET" ? size : 0, 'b');
    body += request.raw_target;
    const auto respond = [exchange, body = std::move(body)] {
      exchange->Respond({.status = 200, .body = body});
    };
    if (request.raw_target == "/later") {
      loop_.After(milliseconds(200), respond);
    } else {
      respond();
    }
  }

 private:
  EventLoop& loop_;
};

class SlowClientTest : public testing::Test {
 protected:
  SlowClientTest() { Open({}); }

  void Open(const resources::MemoryLimits& limits) {
    resources_ = ClientResources::Make(loop_, limits);
    listener_ = TakeValue(
        HttpListener::Open(loop_, "127.0.0.1:0", handler_, resources_));
    handler_.memory = resources_.memory;
  }

  /// Runs the loop while a client thread runs `script`.
  void RunWith(const std::function<void(SlowClient&)>& script) {
    std::atomic<bool> is_done{false};
    std::thread thread([&] {
      SlowClient client(listener_->Port());
      script(client);
      is_done = true;
    });
    loop_.Every(milliseconds(5), [&] {
      if (is_done) {
        loop_.Finish(0);
      }
    });
    loop_.Run();
    thread.join();
  }

  SystemClock clock_;
  EventLoop loop_{clock_};
  LargeHandler handler_{loop_};
  ClientResources resources_;
  std::unique_ptr<HttpListener> listener_;
};

struct ReadingCase {
  std::string name;
  std::string requests;
  milliseconds first_pause;
  /// Then reads this much each 10 ms, until all is read.
  std::size_t piece_bytes;
  Duration idle_timeout;
  std::string last_bytes;
};

class SlowReaderTest : public SlowClientTest,
                       public testing::WithParamInterface<ReadingCase> {};

// Guards against timers that begin when a response is written, and drop what
// its client has not read when they end.
TEST_P(SlowReaderTest, GetsTheWholeResponse) {
  listener_->SetLimits({.idle_timeout = GetParam().idle_timeout});
  bool is_whole = false;
  RunWith([&](SlowClient& client) {
    client.Send(GetParam().requests);
    std::this_thread::sleep_for(GetParam().first_pause);
    do {
      is_whole = client.received.ends_with(GetParam().last_bytes);
      std::this_thread::sleep_for(milliseconds(10));
    } while (!is_whole && client.Read(GetParam().piece_bytes));
  });
  EXPECT_TRUE(is_whole);
  EXPECT_EQ(listener_->Counters().responses_cut, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SlowReaderTest,
    testing::Values(
        ReadingCase{"AfterAResponseThatEndsTheConnection",
                    "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                    milliseconds(1600), 64U * 1024, std::chrono::seconds(15),
                    "b/1"},
        ReadingCase{"OnAKeptConnection", "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
                    milliseconds(0), 6U * 1024, milliseconds(300), "b/1"},
        ReadingCase{"WithAPipelinedRequest",
                    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                    "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                    milliseconds(1200), 64U * 1024, std::chrono::seconds(15),
                    "b/2"}),
    [](const auto& tested) { return tested.param.name; });

struct OwedCase {
  std::string name;
  std::string target;  ///< Of the request; "/small" has a small response.
  bool is_read;
  OwedResponses owed;
};

class OwedResponsesTest : public SlowClientTest,
                          public testing::WithParamInterface<OwedCase> {};

// Guards against a stop that ends while responses wait for slow clients, in
// this process or in the kernel.
TEST_P(OwedResponsesTest, CountWhatTheClientHasNotReceived) {
  OwedResponses owed;
  RunWith([&](SlowClient& client) {
    client.Send("GET " + GetParam().target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    if (GetParam().is_read) {
      client.ReadUntil("b" + GetParam().target);
    }
    std::this_thread::sleep_for(milliseconds(100));
    owed = listener_->MeasureOwed();
  });
  EXPECT_EQ(owed.requests, GetParam().owed.requests);
  EXPECT_EQ(owed.responses, GetParam().owed.responses);
  EXPECT_EQ(owed.bytes > 0, GetParam().owed.responses > 0);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OwedResponsesTest,
    testing::Values(OwedCase{"InHand", "/later", false, {.requests = 1}},
                    OwedCase{"InThisProcess", "/1", false, {.responses = 1}},
                    OwedCase{"InTheKernel", "/small", false, {.responses = 1}},
                    OwedCase{"Delivered", "/1", true, {}}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a close with unread input, which resets the connection and
// drops what the kernel holds for a slow client.
TEST_F(SlowClientTest, EndOfTheListenerDropsNothingThatTheKernelHolds) {
  std::string received;
  std::unique_ptr<SlowClient> client;
  RunWith([&](SlowClient&) {
    client = std::make_unique<SlowClient>(listener_->Port());
    client->Send("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(100));
  });
  client->Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  listener_.reset();
  client->ReadUntil("never");
  EXPECT_TRUE(client->received.ends_with("b/small"));
}

// Guards against responses that stay in memory for clients that never read.
TEST_F(SlowClientTest, GivesUpAClientThatReadsNothing) {
  listener_->SetLimits({.idle_timeout = milliseconds(300)});
  std::size_t open_connections = 1;
  RunWith([&](SlowClient& client) {
    client.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(1500));
    open_connections = listener_->OpenConnections();
  });
  EXPECT_EQ(open_connections, 0U);
  EXPECT_EQ(listener_->Counters().responses_cut, 1U);
}

// Guards against memory that grows with each request that a client pipelines
// without reading the responses.
TEST_F(SlowClientTest, HoldsOneResponseForAClientThatDoesNotRead) {
  std::uint64_t served = 0;
  RunWith([&](SlowClient& client) {
    for (int i = 0; i < 20; ++i) {
      client.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    std::this_thread::sleep_for(milliseconds(300));
    served = listener_->Counters().requests;
  });
  EXPECT_EQ(served, 1U);
}

struct MemoryCase {
  std::string name;
  std::size_t max_unsent_bytes;
  /// How long the clients read nothing before room is made.
  milliseconds pause;
  bool has_room;
  bool is_any_cut;
};

class UnsentMemoryTest : public SlowClientTest,
                         public testing::WithParamInterface<MemoryCase> {};

// Guards against a host that runs out of memory since many clients don't read.
TEST_P(UnsentMemoryTest, IsBoundedForAllClientsTogether) {
  constexpr int kClients = 8;
  Open({.responses = GetParam().max_unsent_bytes});
  std::size_t unsent_bytes = 0;
  std::uint64_t cut = 0;
  RunWith([&](SlowClient& client) {
    std::vector<std::unique_ptr<SlowClient>> others;
    for (int i = 0; i < kClients; ++i) {
      others.push_back(std::make_unique<SlowClient>(listener_->Port()));
      others.back()->Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    std::this_thread::sleep_for(GetParam().pause);
    client.Send("GET /room HTTP/1.1\r\nHost: h\r\n\r\n");
    client.ReadUntil("\r\n\r\n");
    unsent_bytes =
        resources_.memory->Account().HeldBy(resources::HolderKind::kResponse);
    cut = listener_->Counters().responses_cut;
  });
  EXPECT_EQ(handler_.has_room, GetParam().has_room);
  EXPECT_LE(unsent_bytes, 2 * GetParam().max_unsent_bytes);
  EXPECT_EQ(cut > 0, GetParam().is_any_cut);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    UnsentMemoryTest,
    testing::Values(
        MemoryCase{"Enough", 16 * kLargeBytes, milliseconds(300), true, false},
        // Slow clients lose nothing while new requests can be refused.
        MemoryCase{"Full", 5 * kLargeBytes, milliseconds(300), false, false},
        MemoryCase{"FullOfSilentClients", 5 * kLargeBytes, milliseconds(3700),
                   true, true},
        MemoryCase{"Exceeded", 2 * kLargeBytes, milliseconds(300), false,
                   true}),
    [](const auto& tested) { return tested.param.name; });

// Guards against an answer that is lost without a line, since the failed send
// has dropped it by the time the connection ends.
TEST_F(SlowClientTest, CountsAResponseWhoseClientResetsTheConnection) {
  RunWith([&](SlowClient& client) {
    client.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(100));
    client.Reset();
    std::this_thread::sleep_for(milliseconds(100));
  });
  EXPECT_EQ(listener_->OpenConnections(), 0U);
  EXPECT_EQ(listener_->Counters().responses_cut, 1U);
}

// Guards against a connection that is closed, with a request in hand, since its
// client pipelines more than is kept.
TEST_F(SlowClientTest, AnswersAClientThatPipelinesMuch) {
  constexpr int kRequests = 10'000;  // More than the kernel takes.
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += "HEAD /x HTTP/1.1\r\nHost: long-enough-to-fill\r\n\r\n";
  }
  requests = "GET /later HTTP/1.1\r\nHost: h\r\n\r\n" + requests +
             "HEAD /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  bool is_sent = false;
  std::string received;
  RunWith([&](SlowClient& client) {
    std::thread sender([&] { is_sent = client.Send(requests); });
    std::this_thread::sleep_for(milliseconds(300));
    client.ReadUntil("Connection: close");
    sender.join();
    received = std::move(client.received);
  });
  EXPECT_TRUE(is_sent);
  EXPECT_NE(received.find("b/later"), std::string::npos);
  EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

// Guards against a refusal that an uploading client can't read: a close while
// it still sends resets the connection.
TEST_F(SlowClientTest, RefusesAnUploadWithoutResettingIt) {
  listener_->SetLimits({.max_body_bytes = 1000});
  bool is_sent = false;
  std::string received;
  RunWith([&](SlowClient& client) {
    is_sent = client.Send(
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
      is_sent = is_sent && client.Send(std::string(10'000, 'u'));
      std::this_thread::sleep_for(milliseconds(100));
    }
    client.ReadUntil("\r\n\r\n");
    received = std::move(client.received);
  });
  EXPECT_TRUE(is_sent);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 413"));
}

}  // namespace
}  // namespace medlarcroft::adapters
