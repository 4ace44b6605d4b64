#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRequests = 8;
constexpr milliseconds kTimeout{1000};
constexpr milliseconds kPastTimeout{1300};

/// Answers "/hold" at once, and the others when told.
class DeferringHandler final : public HttpHandler {
 public:
  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder) override {
    if (request.path == "/hold") {
      return HttpResponse{};
    }
    const std::lock_guard lock(mutex_);
    responders_.push_back(responder);
    changed_.notify_all();
    return std::nullopt;
  }

  std::vector<std::shared_ptr<Responder>> WaitForRequests() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return responders_.size() == kRequests; });
    return std::exchange(responders_, {});
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<Responder>> responders_;
};

class HeldUpHttpClientTest : public testing::Test {
 protected:
  ClientRequest MakeRequest(std::string_view path) {
    return {.url = "http://127.93.4.1:" + std::to_string(server_->Port()) +
                   std::string(path),
            .timeout = kTimeout};
  }

  std::vector<std::future<ClientResult>> SendAll() {
    std::vector<std::future<ClientResult>> results;
    for (std::size_t i = 0; i < kRequests; ++i) {
      const auto promise = std::make_shared<std::promise<ClientResult>>();
      results.push_back(promise->get_future());
      client_.Send(MakeRequest("/"), [promise](ClientResult result) {
        promise->set_value(std::move(result));
      });
    }
    return results;
  }

  /// @brief Holds the client's thread until `release`.
  void HoldUp(std::future<void> release) {
    std::promise<void> is_holding;
    client_.Send(MakeRequest("/hold"),
                 [&is_holding, &release](const ClientResult& /*result*/) {
                   const std::future<void> until = std::move(release);
                   is_holding.set_value();
                   until.wait();
                 });
    is_holding.get_future().wait();
  }

  DeferringHandler handler_;
  std::unique_ptr<HttpServer> server_ = TakeValue(
      HttpServer::Start({.address = "127.93.4.1:0", .threads = 1}, handler_));
  HttpClient client_{{}};
};

// Guards against responses dropped unread because the time of their requests
// was over while the client was held up.
TEST_F(HeldUpHttpClientTest, TimeoutDropsNoResponseThatWaits) {
  auto results = SendAll();
  const auto responders = handler_.WaitForRequests();
  std::promise<void> release;
  HoldUp(release.get_future());
  for (const auto& responder : responders) {
    responder->Send({.body = "whole"});
  }
  std::this_thread::sleep_for(kPastTimeout);
  release.set_value();

  std::size_t whole = 0;
  for (auto& result : results) {
    const ClientResult got = result.get();
    whole += IsOk(got) && ValueOf(got).body == "whole" ? 1U : 0U;
  }
  EXPECT_EQ(whole, kRequests);
}

// Guards against requests without an end because nothing answers them.
TEST_F(HeldUpHttpClientTest, TimeoutWithoutResponseIsReported) {
  auto results = SendAll();
  const auto responders = handler_.WaitForRequests();
  for (auto& result : results) {
    const ClientResult got = result.get();
    ASSERT_FALSE(IsOk(got));
    EXPECT_EQ(ErrorOf(got).failure, TransportFailure::kTimedOut);
  }
}

}  // namespace
}  // namespace medlarcroft::adapters
