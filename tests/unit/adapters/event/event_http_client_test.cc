#include "adapters/event/event_http_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <vector>

#include "adapters/event/http_serialization.h"
#include "adapters/process/system_clock.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::adapters {
namespace {

using fakes::ScriptedConnection;
using fakes::ScriptedServer;

constexpr std::string_view kOk =
    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";

/// @brief Sends requests one after the other and keeps their results.
class HttpCallerTest : public testing::Test {
 protected:
  OutboundRequest MakeRequest(const ScriptedServer& server,
                              const std::string& body = "") {
    OutboundRequest request;
    request.address = server.Address();
    request.text = FormatRequest(body.empty() ? "GET" : "POST", "/",
                                 {{"Host", "h"}}, body);
    request.timeout = std::chrono::seconds(5);
    request.is_matching_response = [](const HttpResponse& answer) {
      return answer.headers.Find("Id") == "1";
    };
    return request;
  }

  ExchangeResult Exchange(OutboundRequest request) {
    std::optional<ExchangeResult> result;
    caller_.Send(std::move(request), [&](ExchangeResult ended) {
      result = std::move(ended);
      loop_.Finish(0);
    });
    loop_.Run();
    return std::move(*result);
  }

  SystemClock clock_;
  // One loop runs once, so each exchange of a test gets a new caller's loop.
  EventLoop loop_{clock_};
  EventHttpClient caller_{loop_, {}};
};

struct AnswerCase {
  std::string name;
  std::string sent;
  bool is_reset_at_end;
  std::optional<ExchangeFailure> failure;
  std::string body;
};

class AnswerTable : public HttpCallerTest,
                    public testing::WithParamInterface<AnswerCase> {};

// The server sends exactly these bytes and ends the connection. A whole answer
// reaches the caller; anything else is a failure, never part of an answer.
TEST_P(AnswerTable, WholeOrNothing) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent);
    if (GetParam().is_reset_at_end) {
      // What was written goes out before the reset.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      connection.Reset();
    }
  });

  const ExchangeResult result = Exchange(MakeRequest(server));

  if (GetParam().failure) {
    ASSERT_FALSE(IsOk(result));
    EXPECT_EQ(ErrorOf(result).failure, *GetParam().failure);
    EXPECT_FALSE(ErrorOf(result).is_proved_unsent);
    return;
  }
  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).body, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AnswerTable,
    testing::Values(
        AnswerCase{"Whole", std::string(kOk), false, {}, "ok"},
        AnswerCase{"ExtraBytesBehind",
                   std::string(kOk) + "HTTP/1.1 200 OK",
                   false,
                   {},
                   "ok"},
        AnswerCase{
            "InformationFirst",
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + std::string(kOk),
            false,
            {},
            "ok"},
        AnswerCase{"AnotherRequestsAnswerFirst",
                   "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold" +
                       std::string(kOk),
                   false,
                   {},
                   "ok"},
        AnswerCase{"OnlyAnotherRequestsAnswer",
                   "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold",
                   false, ExchangeFailure::kTruncated, ""},
        AnswerCase{"Chunked",
                   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                   false,
                   {},
                   "ok"},
        AnswerCase{"ChunkedCut",
                   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n2\r\nok\r\n",
                   false, ExchangeFailure::kTruncated, ""},
        AnswerCase{"UntilClose",
                   "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it",
                   false,
                   {},
                   "all of it"},
        AnswerCase{"UntilReset", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of", true,
                   ExchangeFailure::kTruncated, ""},
        AnswerCase{"BodyCut",
                   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
                   false, ExchangeFailure::kTruncated, ""},
        AnswerCase{"HeadCut", "HTTP/1.1 200 OK\r\nId", false,
                   ExchangeFailure::kTruncated, ""},
        AnswerCase{"NoAnswerAtAll", "", false, ExchangeFailure::kClosed, ""},
        AnswerCase{"NoHttp", "\x01\x02garbage\r\n\r\n", false,
                   ExchangeFailure::kMalformed, ""}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(HttpCallerTest, AClosedPortIsProvedUnsent) {
  std::string address;
  {
    const ScriptedServer server([](ScriptedConnection&, int) {});
    address = server.Address();
  }
  OutboundRequest request;
  request.address = address;
  request.text = "GET / HTTP/1.1\r\n\r\n";

  const ExchangeResult result = Exchange(std::move(request));

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).failure, ExchangeFailure::kCannotConnect);
  EXPECT_TRUE(ErrorOf(result).is_proved_unsent);
}

// The server takes a second request on a kept connection and closes without a
// byte of answer: it may have run. The request must not be sent again behind
// the back of whoever counts sends.
TEST_F(HttpCallerTest, ARequestOnAReusedConnectionIsSentOnce) {
  std::atomic<int> requests{0};
  ScriptedServer server([&](ScriptedConnection& connection, int) {
    connection.ReadHead();
    ++requests;
    connection.Write(kOk);
    if (!connection.ReadHead().empty()) {
      ++requests;
    }
  });
  std::vector<ExchangeResult> results;
  caller_.Send(MakeRequest(server, "a"), [&](ExchangeResult first) {
    results.push_back(std::move(first));
    caller_.Send(MakeRequest(server, "b"), [&](ExchangeResult second) {
      results.push_back(std::move(second));
      loop_.Finish(0);
    });
  });
  loop_.Run();

  ASSERT_EQ(results.size(), 2U);
  EXPECT_TRUE(IsOk(results[0]));
  ASSERT_FALSE(IsOk(results[1]));
  EXPECT_TRUE(ErrorOf(results[1]).was_connection_reused);
  EXPECT_FALSE(ErrorOf(results[1]).is_proved_unsent);
  EXPECT_EQ(requests, 2);
  EXPECT_EQ(server.Connections(), 1);
}

struct KeepCase {
  std::string name;
  std::string first_answer;
  bool is_kept;
};

class KeepTable : public HttpCallerTest,
                  public testing::WithParamInterface<KeepCase> {};

// Two requests follow each other. The second may use the first one's
// connection only when nothing of the first is left on it.
TEST_P(KeepTable, OnlyACleanConnectionIsUsedAgain) {
  ScriptedServer server([](ScriptedConnection& connection, int number) {
    connection.ReadHead();
    connection.Write(number == 1 ? GetParam().first_answer : std::string(kOk));
    if (GetParam().is_kept) {
      connection.ReadHead();
      connection.Write(kOk);
    }
  });
  std::optional<ExchangeResult> second;
  caller_.Send(MakeRequest(server), [&](const ExchangeResult& first) {
    ASSERT_TRUE(IsOk(first));
    // Bytes that came with the answer have been seen when this runs.
    loop_.After(std::chrono::milliseconds(30), [&] {
      caller_.Send(MakeRequest(server), [&](ExchangeResult ended) {
        second = std::move(ended);
        loop_.Finish(0);
      });
    });
  });
  loop_.Run();

  ASSERT_TRUE(second && IsOk(*second));
  EXPECT_EQ(server.Connections(), GetParam().is_kept ? 1 : 2);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    KeepTable,
    testing::Values(
        KeepCase{"Clean", std::string(kOk), true},
        KeepCase{"SecondAnswer", std::string(kOk) + std::string(kOk), false},
        KeepCase{"Close",
                 "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n"
                 "Content-Length: 0\r\n\r\n",
                 false},
        KeepCase{"KeptNotEvenASecond",
                 "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\n"
                 "Content-Length: 0\r\n\r\n",
                 false}),
    [](const auto& tested) { return tested.param.name; });

// The server answers before it has read a long body. The rest of that body is
// still due on the connection, so nothing else may be sent on it.
TEST_F(HttpCallerTest, AnAnswerBeforeTheBodyWasReadEndsTheConnection) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(kOk);
    connection.WaitForClose();
  });
  const ExchangeResult result =
      Exchange(MakeRequest(server, std::string(std::size_t{32} << 20U, 'x')));

  EXPECT_TRUE(IsOk(result));
  EXPECT_EQ(caller_.IdleConnections(), 0U);
}

TEST_F(HttpCallerTest, ASilentServerTimesOut) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.WaitForClose();
  });
  OutboundRequest request = MakeRequest(server);
  request.timeout = std::chrono::milliseconds(50);

  const ExchangeResult result = Exchange(std::move(request));

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).failure, ExchangeFailure::kTimedOut);
}

TEST_F(HttpCallerTest, ACancelledExchangeClosesItsConnectionAndSaysNothing) {
  std::atomic<bool> has_closed{false};
  bool was_called = false;
  {
    ScriptedServer server([&](ScriptedConnection& connection, int) {
      connection.ReadHead();
      has_closed = connection.WaitForClose();
    });
    const ExchangeId exchange = caller_.Send(
        MakeRequest(server), [&](const ExchangeResult&) { was_called = true; });
    loop_.After(std::chrono::milliseconds(50),
                [&, exchange] { caller_.Cancel(exchange); });
    loop_.After(std::chrono::milliseconds(60), [&] { loop_.Finish(0); });
    loop_.Run();
  }
  EXPECT_TRUE(has_closed);
  EXPECT_FALSE(was_called);
}

}  // namespace
}  // namespace medlarcroft::adapters
