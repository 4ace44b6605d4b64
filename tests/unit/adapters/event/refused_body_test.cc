// Bodies that nothing needs, or for which there is no room, on real sockets.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "adapters/event/http_listener.h"
#include "adapters/process/system_clock.h"
#include "fakes/slow_client.h"

namespace medlarcroft::adapters {
namespace {

using fakes::SlowClient;

constexpr std::size_t kMegabyte = std::size_t{1} << 20;

/// @brief Answers with the size of the body; needs none below "/none".
class SizeHandler final : public HttpRequestHandler {
 public:
  void OnRequest(HttpRequest request,
                 const std::shared_ptr<HttpExchange>& exchange) override {
    exchange->Respond(
        {.status = 200,
         .body = "size " + std::to_string(request.body.size()) + "."});
  }
  [[nodiscard]] bool NeedsBody(const HttpRequest& head) override {
    return !head.raw_target.starts_with("/none");
  }
};

class RefusedBodyTest : public testing::Test {
 protected:
  /// @return what the last of `clients` receives; each sends `request`, and
  /// then no more.
  std::string Exchange(const std::string& request,
                       const std::string& end,
                       int clients = 1) {
    std::atomic<bool> is_done{false};
    std::string received;
    std::thread thread([&] {
      for (int i = 0; i < clients; ++i) {
        SlowClient client(listener_->Port());
        client.Send(request);
        client.ReadUntil(end);
        received = std::move(client.received);
      }
      is_done = true;
    });
    loop_.Every(std::chrono::milliseconds(5), [&] {
      if (is_done) {
        loop_.Finish(0);
      }
    });
    loop_.Run();
    thread.join();
    return received;
  }

  SystemClock clock_;
  EventLoop loop_{clock_};
  SizeHandler handler_;
  ClientResources resources_ = ClientResources::Make(
      loop_,
      {.total = 2 * kMegabyte, .small_part = kMegabyte / 8});
  std::unique_ptr<HttpListener> listener_ =
      TakeValue(HttpListener::Open(loop_, "127.0.0.1:0", handler_, resources_));
};

// Guards against bodies that take memory where nothing needs them.
TEST_F(RefusedBodyTest, ABodyThatNothingNeedsIsNotAwaited) {
  const std::string received = Exchange(
      "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\nabc",
      "size 0.");
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200"));
  EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

// Guards against clients that are told 413, and never come back, for a body
// that another host has room for.
TEST_F(RefusedBodyTest, WhatTheAccountCanNeverHoldIsRefusedAtOnceAsNotRun) {
  listener_->SetLimits({.max_body_bytes = 8 * kMegabyte});
  const std::string received =
      Exchange("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n",
               "\r\n\r\n");
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503"));
  EXPECT_NE(received.find("Retry-After: 0.5"), std::string::npos);
  EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

TEST_F(RefusedBodyTest, WhatIsOverTheLimitOfOneBodyIsTooLarge) {
  listener_->SetLimits({.max_body_bytes = kMegabyte});
  const std::string received =
      Exchange("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n",
               "\r\n\r\n");
  EXPECT_TRUE(received.starts_with("HTTP/1.1 413"));
}

// Guards against an account that is not given back: the next client would find
// it spent.
TEST_F(RefusedBodyTest, WhatIsServedIsGivenBack) {
  listener_->SetLimits({.max_body_bytes = 2 * kMegabyte});
  const std::string body(kMegabyte, 'u');
  const std::string received =
      Exchange("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               "size 1048576.", 4);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
  EXPECT_EQ(resources_.memory->Account().Total(), 0U);
}

}  // namespace
}  // namespace medlarcroft::adapters
