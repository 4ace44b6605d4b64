#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::adapters {
namespace {

/// Echoes the body and the request target; "/later" answers from another
/// thread.
class EchoHandler final : public HttpHandler {
 public:
  ~EchoHandler() override {
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder) override {
    if (request.path != "/later") {
      return HttpResponse{.status = 200,
                          .body = request.body + request.raw_target};
    }
    threads_.emplace_back([responder] {
      responder->Send({.status = 201, .body = "first"});
      responder->Send({.status = 500, .body = "second"});
    });
    return std::nullopt;
  }

  [[nodiscard]] std::size_t MaxBodyBytes(const HttpRequest&) const override {
    return 100;
  }

 private:
  std::vector<std::thread> threads_;
};

class HttpRoundTripTest : public testing::Test {
 protected:
  HttpRoundTripTest() {
    auto started =
        HttpServer::Start({.address = "127.0.0.1:0", .threads = 2}, handler_);
    server_ = TakeValue(std::move(started));
  }

  std::string Url(std::string_view path) const {
    return "http://127.0.0.1:" + std::to_string(server_->Port()) +
           std::string(path);
  }

  EchoHandler handler_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_{{}};
};

TEST_F(HttpRoundTripTest, EchoesBodyAndTarget) {
  const auto result = client_.SendAndWait(
      {.method = "POST", .url = Url("/x%20y?q=1"), .body = "hello "});

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).body, "hello /x%20y?q=1");
}

TEST_F(HttpRoundTripTest, OnlyFirstDeferredAnswerIsSent) {
  for (int i = 0; i < 20; ++i) {
    const auto result = client_.SendAndWait({.url = Url("/later")});
    ASSERT_TRUE(IsOk(result));
    EXPECT_EQ(ValueOf(result).status, 201);
    EXPECT_EQ(ValueOf(result).body, "first");
  }
}

TEST_F(HttpRoundTripTest, OversizedBodyIsRejectedAndNextRequestServed) {
  const auto refused = client_.SendAndWait(
      {.method = "POST", .url = Url("/"), .body = std::string(5000, 'x')});
  const auto served = client_.SendAndWait({.url = Url("/")});

  ASSERT_TRUE(IsOk(refused));
  EXPECT_EQ(ValueOf(refused).status, 413);
  ASSERT_TRUE(IsOk(served));
  EXPECT_EQ(ValueOf(served).status, 200);
  EXPECT_EQ(server_->Counters().bodies_too_large, 1U);
}

TEST_F(HttpRoundTripTest, AnswerOverSizeLimitFails) {
  const auto result = client_.SendAndWait(
      {.url = Url("/a-path-longer-than-the-limit"), .max_answer_bytes = 5});

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).failure, TransportFailure::kTooLarge);
  EXPECT_FALSE(ErrorOf(result).is_proved_unsent);
}

struct EndlessHeadCase {
  std::string name;
  std::string begin;
  std::string repeated;
};

class EndlessHeadTest : public testing::TestWithParam<EndlessHeadCase> {};

// Guards against header lines without end, which are kept until memory is used
// up.
TEST_P(EndlessHeadTest, Fails) {
  constexpr std::size_t kSent = std::size_t{16} << 20;
  fakes::ScriptedServer server([](fakes::ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().begin);
    for (std::size_t sent = 0; sent < kSent;
         sent += GetParam().repeated.size()) {
      connection.Write(GetParam().repeated);
    }
  });
  HttpClient client({});
  const auto result =
      client.SendAndWait({.url = "http://" + server.Address() + "/",
                          .timeout = std::chrono::seconds(30)});

  ASSERT_FALSE(IsOk(result));
  EXPECT_NE(ErrorOf(result).failure, TransportFailure::kTimedOut);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndlessHeadTest,
    testing::Values(EndlessHeadCase{"Lines", "HTTP/1.1 200 OK\r\n",
                                    "X-More: " + std::string(1000, 'a') +
                                        "\r\n"},
                    EndlessHeadCase{"OneLine", "HTTP/1.1 200 OK\r\nX-More: ",
                                    std::string(1000, 'a')},
                    EndlessHeadCase{"InterimResponses", "",
                                    "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"}),
    [](const auto& tested) { return tested.param.name; });

TEST(HttpClientTest, RefusedConnectionIsProvedUnsent) {
  HttpClient client({});
  const auto result =
      client.SendAndWait({.method = "POST", .url = "http://127.0.0.1:1/"});

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).failure, TransportFailure::kCannotConnect);
  EXPECT_TRUE(ErrorOf(result).is_proved_unsent);
}

// Guards against requests that reach a server although the reason for them
// ended while the connection was being established.
TEST_F(HttpRoundTripTest, RequestIsWithheldOnceItMayNotBeSent) {
  ClientRequest request{.url = Url("/")};
  request.may_send = [] { return false; };
  const ClientResult result = client_.SendAndWait(request);
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).failure, TransportFailure::kWithheld);
  request.may_send = [] { return true; };
  EXPECT_TRUE(IsOk(client_.SendAndWait(request)));
}

}  // namespace
}  // namespace medlarcroft::adapters
