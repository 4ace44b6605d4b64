#include "adapters/http/http_server.h"

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <atomic>
#include <thread>

#include "adapters/http/http_client.h"
#include "adapters/process/socket_address.h"
#include "fakes/scripted_server.h"
#include "fakes/slow_client.h"

namespace medlarcroft::adapters {
namespace {

// More, and less, than the kernel takes for one connection of `SlowClient`.
constexpr std::size_t kLargeBytes = std::size_t{1} * 1024 * 1024;
constexpr std::size_t kSmallBytes = std::size_t{60} * 1024;

/// Waits until its client has gone, or for long enough to notice that.
class DisconnectHandler final : public HttpHandler {
 public:
  std::optional<HttpResponse> Handle(
      HttpRequest /*request*/,
      const std::shared_ptr<Responder>& responder) override {
    constexpr int kChecks = 200;
    is_started = true;
    for (int check = 0; check < kChecks && !has_noticed; ++check) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      has_noticed = responder->IsClientDisconnected();
    }
    is_done = true;
    return HttpResponse{};
  }

  std::atomic<bool> is_started{false};
  std::atomic<bool> has_noticed{false};
  std::atomic<bool> is_done{false};
};

/// Answers with the connection's id. For "/cut", the announced length exceeds
/// the body sent; for "/dropped", there is no answer; "/large" and "/small" get
/// that much more.
class IdHandler final : public HttpHandler {
 public:
  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& /*responder*/) override {
    if (request.path == "/dropped") {
      return std::nullopt;
    }
    HttpResponse response{.body = std::to_string(request.connection_id)};
    if (request.path == "/large" || request.path == "/small") {
      response.body.insert(
          0, request.path == "/large" ? kLargeBytes : kSmallBytes, 'b');
    }
    if (request.path == "/cut") {
      response.missing_bytes = 10;
    }
    return response;
  }
};

class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest() {
    server_ = TakeValue(
        HttpServer::Start({.address = "127.0.0.1:0", .threads = 1}, handler_));
  }

  ClientResult Get(std::string_view path, bool needs_fresh_connection) {
    return client_.SendAndWait(
        {.url = "http://127.0.0.1:" + std::to_string(server_->Port()) +
                std::string(path),
         .needs_fresh_connection = needs_fresh_connection});
  }

  IdHandler handler_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_{{}};
};

// Guards against work for a client that has left after it sent its next request
// on the same connection: the end behind unread bytes was not noticed.
TEST(HttpServerDisconnectTest, EndBehindTheNextRequestIsNoticed) {
  DisconnectHandler handler;
  const auto server = TakeValue(
      HttpServer::Start({.address = "127.0.0.1:0", .threads = 1}, handler));
  const auto address =
      ParseSocketAddress("127.0.0.1:" + std::to_string(server->Port()));
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(::connect(descriptor, address->Get(), address->length), 0);
  fakes::ScriptedConnection client(descriptor);
  client.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  while (!handler.is_started) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  client.Write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  client.Close();
  while (!handler.is_done) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_TRUE(handler.has_noticed);
}

TEST_F(HttpServerTest, NumbersConnectionsInOrderOfAcceptance) {
  EXPECT_EQ(ValueOf(Get("/", false)).body, "1");
  EXPECT_EQ(ValueOf(Get("/", false)).body, "1");
  EXPECT_EQ(ValueOf(Get("/", true)).body, "2");
  EXPECT_EQ(server_->Counters().connections, 2U);
}

// A server that crashes while it sends an answer leaves the caller with a part
// of the announced bytes. The part must never be taken for the whole answer.
TEST_F(HttpServerTest, ShortAnswerIsTruncated) {
  const ClientResult result = Get("/cut", false);

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).failure, TransportFailure::kTruncated);
}

// Guards against connections that stay suspended for good after a handler has
// lost its responder: their callers got nothing, and a stop waited for them.
TEST_F(HttpServerTest, RequestWithoutAnswerIsEnded) {
  const ClientResult result = client_.SendAndWait(
      {.url =
           "http://127.0.0.1:" + std::to_string(server_->Port()) + "/dropped",
       .timeout = std::chrono::seconds(10)});

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).status, 500);
  EXPECT_EQ(ValueOf(result).headers.Find("Medlar-Outcome"), "unknown");
}

// Guards against a stop that ends while a client reads slowly.
TEST_F(HttpServerTest, ResponseThatIsReadSlowlyIsInFlight) {
  fakes::SlowClient client(server_->Port());
  client.Send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(server_->Counters().in_flight, 1U);
  client.ReadUntil("b1");
  EXPECT_TRUE(client.received.ends_with("b1"));
}

// Guards against a stop with unread input, which resets the connection and
// drops what the kernel holds for a slow client.
TEST_F(HttpServerTest, StopDropsNothingThatTheKernelHolds) {
  fakes::SlowClient client(server_->Port());
  client.Send("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  client.Send("GET /2");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  server_->Stop();
  client.ReadUntil("never");
  EXPECT_TRUE(client.received.ends_with("b1"));
}

}  // namespace
}  // namespace medlarcroft::adapters
