#include "adapters/event/http_listener.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "adapters/process/socket_address.h"
#include "adapters/process/system_clock.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::adapters {
namespace {

using fakes::ScriptedConnection;

/// @brief Records every request and answers it at once, except for "/hang".
class RecordingHandler final : public HttpRequestHandler {
 public:
  void OnRequest(HttpRequest request,
                 const std::shared_ptr<HttpExchange>& exchange) override {
    if (request.raw_target == "/hang") {
      exchange->OnCallerGone([this] {
        has_disconnected = true;
        on_disconnected();
      });
      pending_exchange = exchange;
    } else {
      exchange->Respond({.status = 200, .body = request.raw_target});
    }
    requests.push_back(std::move(request));
  }

  std::vector<HttpRequest> requests;
  std::shared_ptr<HttpExchange> pending_exchange;
  bool has_disconnected = false;
  std::function<void()> on_disconnected = [] {};
};

class HttpListenerTest : public testing::Test {
 protected:
  HttpListenerTest() {
    listener_ = TakeValue(HttpListener::Open(loop_, "127.0.0.1:0", handler_));
  }

  /// Runs the loop while a client thread runs `script`.
  void RunWith(std::function<void(ScriptedConnection&)> script) {
    std::thread client([this, script = std::move(script)] {
      const auto address =
          ParseSocketAddress("127.0.0.1:" + std::to_string(listener_->Port()));
      const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
      (void)::connect(descriptor, address->Get(), address->length);
      {
        ScriptedConnection connection(descriptor);
        script(connection);
      }
      is_done_ = true;
    });
    loop_.Every(std::chrono::milliseconds(5), [this] {
      if (is_done_) {
        loop_.Finish(0);
      }
    });
    loop_.Run();
    client.join();
  }

  SystemClock clock_;
  EventLoop loop_{clock_};
  RecordingHandler handler_;
  std::unique_ptr<HttpListener> listener_;
  std::atomic<bool> is_done_{false};
};

TEST_F(HttpListenerTest, PassesTheRequestTargetUnchanged) {
  std::string response;
  RunWith([&](ScriptedConnection& connection) {
    connection.Write("GET /a%2Fb/../c?d=%20&e HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.ReadHead();
    response = connection.ReadUntil("&e");
  });
  EXPECT_EQ(response, "/a%2Fb/../c?d=%20&e");
}

TEST_F(HttpListenerTest, AnswersPipelinedRequestsInOrder) {
  std::string responses;
  RunWith([&](ScriptedConnection& connection) {
    connection.Write(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    responses = connection.ReadUntil("never");
  });
  const std::size_t first = responses.find("/1");
  const std::size_t second = responses.find("/2");
  const std::size_t third = responses.find("/3");
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_NE(third, std::string::npos);
}

TEST_F(HttpListenerTest, AcceptsAChunkedBody) {
  RunWith([&](ScriptedConnection& connection) {
    connection.Write(
        "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n");
    connection.Write("2\r\nde\r\n0\r\n\r\n");
    connection.ReadHead();
  });
  ASSERT_EQ(handler_.requests.size(), 1U);
  EXPECT_EQ(handler_.requests[0].body, "abcde");
}

TEST_F(HttpListenerTest, SendsContinueToAClientThatExpectsIt) {
  std::string first;
  RunWith([&](ScriptedConnection& connection) {
    connection.Write(
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        "Expect: 100-continue\r\n\r\n");
    first = connection.ReadHead();
    connection.Write("ab");
    connection.ReadHead();
  });
  EXPECT_TRUE(first.starts_with("HTTP/1.1 100"));
  EXPECT_EQ(handler_.requests.at(0).body, "ab");
}

// A client disconnects while its request is pending. The handler must learn of
// it at once, not when the response is due.
TEST_F(HttpListenerTest, ReportsAClientThatDisconnects) {
  RunWith([&](ScriptedConnection& connection) {
    connection.Write("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    connection.Close();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  });
  EXPECT_TRUE(handler_.has_disconnected);
  // A response after the disconnect is discarded and does no harm.
  handler_.pending_exchange->Respond({.status = 200});
}

struct BadRequestCase {
  std::string name;
  std::string sent;
  std::string status;
};

class BadRequestTest : public HttpListenerTest,
                       public testing::WithParamInterface<BadRequestCase> {};

TEST_P(BadRequestTest, GetsItsStatusAndTheConnectionCloses) {
  listener_->SetLimits({.max_header_bytes = 200,
                        .max_body_bytes = 10,
                        .header_timeout = std::chrono::milliseconds(50)});
  std::string response;
  RunWith([&](ScriptedConnection& connection) {
    connection.Write(GetParam().sent);
    response = connection.ReadUntil("never");
  });
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 " + GetParam().status);
  EXPECT_TRUE(handler_.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadRequestTest,
    testing::Values(
        BadRequestCase{"NotHttp", "\x16\x03\x01 hello\r\n\r\n", "400"},
        BadRequestCase{"HeadTooLong",
                       "GET / HTTP/1.1\r\nHost: h\r\nX: " +
                           std::string(300, 'x') + "\r\n\r\n",
                       "431"},
        BadRequestCase{"BodyTooLong",
                       "POST / HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 11\r\n\r\n",
                       "413"},
        // Guards against a host that reserves what a caller announces.
        BadRequestCase{"BodyBeyondAnyMemory",
                       "POST / HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 99999999999\r\n\r\nbody",
                       "413"},
        BadRequestCase{"ChunkSizeWithoutEnd",
                       "POST / HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n" +
                           std::string(100'000, '0'),
                       "400"},
        BadRequestCase{"ContentLengthAndChunked",
                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       "400"},
        BadRequestCase{"HeadIncomplete", "GET / HTTP/1.1\r\nHost:", "408"}),
    [](const auto& tested) { return tested.param.name; });

// The host shuts down while a request is in progress on a keep-alive
// connection: the client gets the complete response and `Connection: close`.
TEST_F(HttpListenerTest, DrainingCompletesAResponseAndClosesTheConnection) {
  std::string response;
  loop_.Every(std::chrono::milliseconds(5), [this] {
    if (handler_.pending_exchange) {
      listener_->StartDraining();
      listener_->StopAccepting();
      handler_.pending_exchange->Respond({.status = 200, .body = "whole"});
      handler_.pending_exchange.reset();
    }
  });
  RunWith([&](ScriptedConnection& connection) {
    connection.Write("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n");
    response = connection.ReadUntil("never");
  });
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(response.ends_with("whole"));
}

}  // namespace
}  // namespace medlarcroft::adapters
