#include "adapters/http/http_server.h"

#include <gtest/gtest.h>

#include "adapters/http/http_client.h"

namespace medlarcroft::adapters {
namespace {

/// Answers with the connection's id. For "/cut", the announced length exceeds
/// the body sent; for "/dropped", there is no answer.
class IdHandler final : public HttpHandler {
 public:
  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& /*responder*/) override {
    if (request.path == "/dropped") {
      return std::nullopt;
    }
    HttpResponse response{.body = std::to_string(request.connection_id)};
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

}  // namespace
}  // namespace medlarcroft::adapters
