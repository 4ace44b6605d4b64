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

/// @brief Keeps every call; a test answers it.
class KeepCalls final : public HttpRequestHandler {
 public:
  void OnRequest(HttpRequest request,
                 const std::shared_ptr<HttpExchange>& exchange) override {
    if (request.raw_target == "/hang") {
      exchange->OnCallerGone([this] {
        has_left = true;
        on_left();
      });
      hanging = exchange;
    } else {
      exchange->Respond({.status = 200, .body = request.raw_target});
    }
    requests.push_back(std::move(request));
  }

  std::vector<HttpRequest> requests;
  std::shared_ptr<HttpExchange> hanging;
  bool has_left = false;
  std::function<void()> on_left = [] {};
};

class HttpListenerTest : public testing::Test {
 protected:
  HttpListenerTest() {
    listener_ = TakeValue(HttpListener::Open(loop_, "127.0.0.1:0", handler_));
  }

  /// Runs the loop while a caller does what `script` says.
  void RunWith(std::function<void(ScriptedConnection&)> script) {
    std::thread caller([this, script = std::move(script)] {
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
    caller.join();
  }

  SystemClock clock_;
  EventLoop loop_{clock_};
  KeepCalls handler_;
  std::unique_ptr<HttpListener> listener_;
  std::atomic<bool> is_done_{false};
};

TEST_F(HttpListenerTest, TheTargetReachesTheHandlerUnchanged) {
  std::string answer;
  RunWith([&](ScriptedConnection& connection) {
    connection.Write("GET /a%2Fb/../c?d=%20&e HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.ReadHead();
    answer = connection.ReadUntil("&e");
  });
  EXPECT_EQ(answer, "/a%2Fb/../c?d=%20&e");
}

TEST_F(HttpListenerTest, RequestsSentAheadAreAnsweredInTheirOrder) {
  std::string answers;
  RunWith([&](ScriptedConnection& connection) {
    connection.Write(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    answers = connection.ReadUntil("never");
  });
  const std::size_t first = answers.find("/1");
  const std::size_t second = answers.find("/2");
  const std::size_t third = answers.find("/3");
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_NE(third, std::string::npos);
}

TEST_F(HttpListenerTest, ABodyMayComeInChunks) {
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

TEST_F(HttpListenerTest, ACallerThatWaitsForItIsAskedForItsBody) {
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

// The caller leaves while its request waits: whoever works on it must hear of
// it at once, not when the answer is due.
TEST_F(HttpListenerTest, ACallerThatLeavesIsHeardOf) {
  RunWith([&](ScriptedConnection& connection) {
    connection.Write("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    connection.Close();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  });
  EXPECT_TRUE(handler_.has_left);
  // An answer that comes now reaches nobody, and harms nothing.
  handler_.hanging->Respond({.status = 200});
}

struct BadRequestCase {
  std::string name;
  std::string sent;
  std::string status;
};

class BadRequestTable : public HttpListenerTest,
                        public testing::WithParamInterface<BadRequestCase> {};

TEST_P(BadRequestTable, GetsItsStatusAndTheConnectionEnds) {
  listener_->SetLimits({.max_header_bytes = 200,
                        .max_body_bytes = 10,
                        .header_timeout = std::chrono::milliseconds(50)});
  std::string answer;
  RunWith([&](ScriptedConnection& connection) {
    connection.Write(GetParam().sent);
    answer = connection.ReadUntil("never");
  });
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + GetParam().status);
  EXPECT_TRUE(handler_.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadRequestTable,
    testing::Values(
        BadRequestCase{"NoHttp", "\x16\x03\x01 hello\r\n\r\n", "400"},
        BadRequestCase{"HeadTooLong",
                       "GET / HTTP/1.1\r\nHost: h\r\nX: " +
                           std::string(300, 'x') + "\r\n\r\n",
                       "431"},
        BadRequestCase{"BodyTooLong",
                       "POST / HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 11\r\n\r\n",
                       "413"},
        BadRequestCase{"TwoLengths",
                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       "400"},
        BadRequestCase{"HeadNeverEnds", "GET / HTTP/1.1\r\nHost:", "408"}),
    [](const auto& tested) { return tested.param.name; });

// The host is to stop while a request is under way on a kept connection: it is
// answered whole, and told to close.
TEST_F(HttpListenerTest, ADrainingListenerAnswersAndAsksToClose) {
  std::string answer;
  loop_.Every(std::chrono::milliseconds(5), [this] {
    if (handler_.hanging) {
      listener_->StartDraining();
      listener_->StopAccepting();
      handler_.hanging->Respond({.status = 200, .body = "whole"});
      handler_.hanging.reset();
    }
  });
  RunWith([&](ScriptedConnection& connection) {
    connection.Write("GET /hang HTTP/1.1\r\nHost: h\r\n\r\n");
    answer = connection.ReadUntil("never");
  });
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(answer.ends_with("whole"));
}

}  // namespace
}  // namespace medlarcroft::adapters
