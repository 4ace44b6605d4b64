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
using request_path::ResponseName;

constexpr std::string_view kOk =
    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";

/// @brief Runs one exchange at a time and returns its result.
class EventHttpClientTest : public testing::Test {
 protected:
  OutboundRequest MakeRequest(const ScriptedServer& server,
                              const std::string& body = "") {
    OutboundRequest request;
    request.address = server.Address();
    request.text = FormatRequest(body.empty() ? "GET" : "POST", "/",
                                 {{"Host", "h"}}, body);
    request.timeout = std::chrono::seconds(5);
    request.id = "1";
    request.identify = [](const HttpResponse& response) {
      const auto id = response.headers.Find("Id");
      if (!id) {
        return ResponseName::kUnnamed;
      }
      return *id == "1" ? ResponseName::kOwn : ResponseName::kOther;
    };
    return request;
  }

  ExchangeResult Exchange(OutboundRequest request) {
    std::optional<ExchangeResult> result;
    client_.Send(std::move(request), [&](ExchangeResult completed) {
      result = std::move(completed);
      loop_.Finish(0);
    });
    loop_.Run();
    return std::move(*result);
  }

  SystemClock clock_;
  // A loop runs only once; each test has its own.
  EventLoop loop_{clock_};
  EventHttpClient client_{loop_, {}};
};

struct ResponseCase {
  std::string name;
  std::string sent;
  bool is_reset_at_end;
  std::optional<ExchangeFailure> failure;
  std::string body;
};

class ResponseTest : public EventHttpClientTest,
                     public testing::WithParamInterface<ResponseCase> {};

// The server sends exactly these bytes and ends the connection. The client must
// get a complete response or a failure, never part of a response.
TEST_P(ResponseTest, IsCompleteOrAFailure) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent);
    if (GetParam().is_reset_at_end) {
      // Lets the written bytes reach the client before the reset.
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
    ResponseTest,
    testing::Values(
        ResponseCase{"Complete", std::string(kOk), false, {}, "ok"},
        ResponseCase{"ExtraBytesAfterResponse",
                     std::string(kOk) + "HTTP/1.1 200 OK",
                     false,
                     {},
                     "ok"},
        ResponseCase{
            "InterimResponseFirst",
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + std::string(kOk),
            false,
            {},
            "ok"},
        ResponseCase{
            "ResponseToAnotherRequestFirst",
            "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold" +
                std::string(kOk),
            false,
            {},
            "ok"},
        ResponseCase{"OnlyResponseToAnotherRequest",
                     "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold",
                     false, ExchangeFailure::kTruncated, ""},
        ResponseCase{"Chunked",
                     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                     false,
                     {},
                     "ok"},
        ResponseCase{"ChunkedTruncated",
                     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2\r\nok\r\n",
                     false, ExchangeFailure::kTruncated, ""},
        ResponseCase{"UntilClose",
                     "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it",
                     false,
                     {},
                     "all of it"},
        ResponseCase{"UntilReset", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of",
                     true, ExchangeFailure::kTruncated, ""},
        ResponseCase{"BodyTruncated",
                     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
                     false, ExchangeFailure::kTruncated, ""},
        ResponseCase{"HeadTruncated", "HTTP/1.1 200 OK\r\nId", false,
                     ExchangeFailure::kTruncated, ""},
        ResponseCase{"NoResponse", "", false, ExchangeFailure::kClosed, ""},
        ResponseCase{"NotHttp", "\x01\x02garbage\r\n\r\n", false,
                     ExchangeFailure::kMalformed, ""}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(EventHttpClientTest, AClosedPortIsProvablyUnsent) {
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

// The server reads a second request on a reused connection and closes without a
// byte of a response, so the request may have run. The client must not resend
// it, since that would bypass the count of attempts.
TEST_F(EventHttpClientTest, SendsARequestOnAReusedConnectionOnce) {
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
  client_.Send(MakeRequest(server, "a"), [&](ExchangeResult first) {
    results.push_back(std::move(first));
    client_.Send(MakeRequest(server, "b"), [&](ExchangeResult second) {
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

struct ReuseCase {
  std::string name;
  std::string first_response;
  bool is_reused;
};

class ReuseTest : public EventHttpClientTest,
                  public testing::WithParamInterface<ReuseCase> {};

// The second of two consecutive requests may reuse the first one's connection
// only when nothing of the first is left on it.
TEST_P(ReuseTest, ReusesOnlyACleanConnection) {
  ScriptedServer server([](ScriptedConnection& connection, int number) {
    connection.ReadHead();
    connection.Write(number == 1 ? GetParam().first_response
                                 : std::string(kOk));
    if (GetParam().is_reused) {
      connection.ReadHead();
      connection.Write(kOk);
    }
  });
  std::optional<ExchangeResult> second;
  client_.Send(MakeRequest(server), [&](const ExchangeResult& first) {
    ASSERT_TRUE(IsOk(first));
    // Bytes that came with the response have been read when this runs.
    loop_.After(std::chrono::milliseconds(30), [&] {
      client_.Send(MakeRequest(server), [&](ExchangeResult completed) {
        second = std::move(completed);
        loop_.Finish(0);
      });
    });
  });
  loop_.Run();

  ASSERT_TRUE(second && IsOk(*second));
  EXPECT_EQ(server.Connections(), GetParam().is_reused ? 1 : 2);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ReuseTest,
    testing::Values(
        ReuseCase{"Clean", std::string(kOk), true},
        ReuseCase{"SecondResponse", std::string(kOk) + std::string(kOk), false},
        ReuseCase{"ConnectionClose",
                  "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false},
        ReuseCase{"KeepAliveTimeoutZero",
                  "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false}),
    [](const auto& tested) { return tested.param.name; });

// The server responds before it has read a long body. The rest of that body is
// still due on the connection, so it must not be reused.
TEST_F(EventHttpClientTest, AnEarlyResponseEndsTheConnection) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(kOk);
    connection.WaitForClose();
  });
  const ExchangeResult result =
      Exchange(MakeRequest(server, std::string(std::size_t{32} << 20U, 'x')));

  EXPECT_TRUE(IsOk(result));
  EXPECT_EQ(client_.IdleConnections(), 0U);
}

struct BrokenSendCase {
  std::string name;
  std::string sent;
  /// The server stops reading, in place of breaking the connection.
  bool is_silent;
  bool is_whole;
};

class BrokenSendTest : public EventHttpClientTest,
                       public testing::WithParamInterface<BrokenSendCase> {};

// Guards against half an answer that looks whole: it came while the request was
// being sent, the connection broke, and the send took the error.
TEST_P(BrokenSendTest, AnswerIsWholeOnlyByItsOwnFraming) {
  std::atomic<bool> is_done{false};
  ScriptedServer server([&](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent);
    // Lets the answer arrive before the connection breaks.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    while (GetParam().is_silent && !is_done) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    // Closing with unread bytes resets the connection.
  });
  EventHttpClient client(
      loop_, {.unacknowledged_timeout = std::chrono::milliseconds(300)});
  std::optional<ExchangeResult> result;
  client.Send(MakeRequest(server, std::string(std::size_t{32} << 20U, 'x')),
              [&](ExchangeResult completed) {
                result = std::move(completed);
                loop_.Finish(0);
              });
  loop_.Run();
  is_done = true;

  ASSERT_EQ(IsOk(*result), GetParam().is_whole);
  if (!GetParam().is_whole) {
    EXPECT_EQ(ErrorOf(*result).failure, ExchangeFailure::kTruncated);
  }
  EXPECT_EQ(client.IdleConnections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BrokenSendTest,
    testing::Values(
        BrokenSendCase{"ResetWithinAnAnswerWithoutLength",
                       "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf", false, false},
        BrokenSendCase{"TimeoutWithinAnAnswerWithoutLength",
                       "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf", true, false},
        BrokenSendCase{
            "ResetWithinAnAnnouncedBody",
            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok", false,
            false},
        BrokenSendCase{"ResetAfterAWholeAnswer", std::string(kOk), false,
                       true}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(EventHttpClientTest, AnUnresponsiveServerTimesOut) {
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

TEST_F(EventHttpClientTest, CancelClosesTheConnectionWithoutACallback) {
  std::atomic<bool> has_closed{false};
  bool was_called = false;
  {
    ScriptedServer server([&](ScriptedConnection& connection, int) {
      connection.ReadHead();
      has_closed = connection.WaitForClose();
    });
    const ExchangeId exchange = client_.Send(
        MakeRequest(server), [&](const ExchangeResult&) { was_called = true; });
    loop_.After(std::chrono::milliseconds(50),
                [&, exchange] { client_.Cancel(exchange); });
    loop_.After(std::chrono::milliseconds(60), [&] { loop_.Finish(0); });
    loop_.Run();
  }
  EXPECT_TRUE(has_closed);
  EXPECT_FALSE(was_called);
}

struct HeadCase {
  std::string name;
  std::string sent;
  std::vector<int> statuses;
};

class HeadTest : public EventHttpClientTest,
                 public testing::WithParamInterface<HeadCase> {};

// Guards against losing what a head says when its response is never complete,
// belongs to another request, or comes when none is due.
TEST_P(HeadTest, IsReportedWhateverBecomesOfTheResponse) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent);
  });
  std::vector<int> statuses;
  OutboundRequest request = MakeRequest(server);
  request.on_head = [&](const HttpResponse& head) {
    EXPECT_TRUE(head.headers.Find("Id"));
    statuses.push_back(head.status);
  };
  (void)Exchange(std::move(request));
  EXPECT_EQ(statuses, GetParam().statuses);
}

constexpr std::string_view kBusyHead =
    "HTTP/1.1 503 Busy\r\nId: 0\r\nContent-Length: 9\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    All,
    HeadTest,
    testing::Values(
        HeadCase{"complete", std::string(kOk), {200}},
        HeadCase{"body_missing", std::string(kBusyHead), {503}},
        HeadCase{"body_breaks_off", std::string(kBusyHead) + "part", {503}},
        HeadCase{"body_malformed",
                 "HTTP/1.1 503 Busy\r\nId: 1\r\nTransfer-Encoding: "
                 "chunked\r\n\r\nnot a size\r\n",
                 {503}},
        HeadCase{"head_breaks_off",
                 "HTTP/1.1 503 Busy\r\nId: 1\r\nRetry-After",
                 {}},
        HeadCase{"interim",
                 "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" + std::string(kOk),
                 {200}},
        HeadCase{"late_response_first",
                 std::string(kBusyHead) + "too late." + std::string(kOk),
                 {503, 200}},
        HeadCase{"extra_response",
                 std::string(kOk) + std::string(kBusyHead),
                 {200, 503}},
        HeadCase{"extra_bytes", std::string(kOk) + "garbage\r\n\r\n", {200}}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(EventHttpClientTest, HeadOfAResponseOnAnIdleConnectionIsReported) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(kOk);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    connection.Write(kBusyHead);
    connection.WaitForClose();
  });
  std::vector<int> statuses;
  OutboundRequest request = MakeRequest(server);
  request.on_head = [&](const HttpResponse& head) {
    statuses.push_back(head.status);
    if (statuses.size() == 2) {
      loop_.Finish(0);
    }
  };
  client_.Send(std::move(request), [&](const ExchangeResult&) {});
  loop_.Run();
  EXPECT_EQ(statuses, (std::vector<int>{200, 503}));
  EXPECT_EQ(client_.IdleConnections(), 0U);
}

struct EndlessCase {
  std::string name;
  std::string begin;
  std::string repeated;
  ExchangeFailure failure;
};

class EndlessResponseTest : public EventHttpClientTest,
                            public testing::WithParamInterface<EndlessCase> {};

// Guards against a response without end, which is kept until memory is used up.
TEST_P(EndlessResponseTest, FailsBeforeItTakesMuch) {
  constexpr std::size_t kMaxBuffered = std::size_t{1} << 20;
  constexpr std::size_t kSent = std::size_t{64} << 20;
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().begin);
    for (std::size_t sent = 0; sent < kSent;
         sent += GetParam().repeated.size()) {
      connection.Write(GetParam().repeated);
    }
  });
  EventHttpClient client(
      loop_, {.memory = std::make_shared<HeldMemory>(
                  loop_, resources::MemoryLimits{.answers = kMaxBuffered})});
  std::optional<ExchangeResult> result;
  client.Send(MakeRequest(server), [&](ExchangeResult completed) {
    result = std::move(completed);
    loop_.Finish(0);
  });
  loop_.Run();

  ASSERT_FALSE(IsOk(*result));
  EXPECT_EQ(ErrorOf(*result).failure, GetParam().failure);
}

const std::string kHead = "HTTP/1.1 200 OK\r\nId: 1\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kPiece(16'384, '0');

INSTANTIATE_TEST_SUITE_P(
    All,
    EndlessResponseTest,
    testing::Values(
        EndlessCase{"HeadLines", kHead, "X-More: " + kPiece + "\r\n",
                    ExchangeFailure::kMalformed},
        EndlessCase{"OneHeadLine", kHead + "X-More: ", kPiece,
                    ExchangeFailure::kMalformed},
        EndlessCase{"InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n",
                    ExchangeFailure::kMalformed},
        EndlessCase{"ResponsesToOthers", "",
                    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n",
                    ExchangeFailure::kMalformed},
        EndlessCase{"ChunkSize", kChunkedHead, kPiece,
                    ExchangeFailure::kMalformed},
        EndlessCase{"Chunks", kChunkedHead, "4000\r\n" + kPiece + "\r\n",
                    ExchangeFailure::kTooLarge},
        EndlessCase{"Trailers", kChunkedHead + "0\r\n",
                    "X-More: " + kPiece + "\r\n", ExchangeFailure::kMalformed},
        EndlessCase{"UntilClose", kHead + "\r\n", kPiece,
                    ExchangeFailure::kTooLarge},
        EndlessCase{"AnnouncedLength",
                    kHead + "Content-Length: 99999999999\r\n\r\n", kPiece,
                    ExchangeFailure::kTooLarge},
        EndlessCase{"AnnouncedLengthAndBodyAtOnce",
                    kHead + "Content-Length: 99999999999\r\n\r\n" + kPiece,
                    kPiece, ExchangeFailure::kTooLarge}),
    [](const auto& tested) { return tested.param.name; });

// Guards against an endless response that takes the memory of the others: the
// largest one fails, and the others complete.
TEST_F(EventHttpClientTest, LargestResponseFailsWhenAllTakeTooMuch) {
  constexpr std::size_t kMaxBuffered = std::size_t{1} << 20;
  std::atomic<bool> has_endless_failed = false;
  const std::string large(kMaxBuffered / 4, 'a');
  ScriptedServer sound([&](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(kHead + "\r\n" + large);
    while (!has_endless_failed) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  ScriptedServer endless([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(kHead + "\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    for (std::size_t sent = 0; sent < 8 * kMaxBuffered; sent += kPiece.size()) {
      connection.Write(kPiece);
    }
  });
  EventHttpClient client(
      loop_, {.memory = std::make_shared<HeldMemory>(
                  loop_, resources::MemoryLimits{.answers = kMaxBuffered})});
  std::optional<ExchangeResult> sound_result;
  client.Send(MakeRequest(sound), [&](ExchangeResult completed) {
    sound_result = std::move(completed);
    loop_.Finish(0);
  });
  client.Send(MakeRequest(endless), [&](const ExchangeResult& completed) {
    ASSERT_FALSE(IsOk(completed));
    EXPECT_EQ(ErrorOf(completed).failure, ExchangeFailure::kTooLarge);
    has_endless_failed = true;
  });
  loop_.Run();

  ASSERT_TRUE(IsOk(*sound_result));
  EXPECT_EQ(ValueOf(*sound_result).body, large);
}

}  // namespace
}  // namespace medlarcroft::adapters
