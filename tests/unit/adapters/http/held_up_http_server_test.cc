#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "adapters/http/http_server.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKeptConnections = 8;
constexpr std::chrono::seconds kIdleTimeout{1};
constexpr milliseconds kPastIdleTimeout{2300};
constexpr milliseconds kSettling{200};
constexpr time_t kReadTimeoutSeconds = 5;

/// Answers each request; "/hold" holds its thread until released.
class HoldingHandler final : public HttpHandler {
 public:
  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& /*responder*/) override {
    if (request.path == "/hold") {
      is_holding.set_value();
      release.get_future().wait();
    }
    return HttpResponse{.body = "whole"};
  }

  std::promise<void> is_holding;
  std::promise<void> release;
};

/// A client's connection; blocking.
class Client {
 public:
  explicit Client(std::uint16_t port)
      : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const auto address =
        ParseSocketAddress("127.93.2.1:" + std::to_string(port));
    const timeval timeout{.tv_sec = kReadTimeoutSeconds, .tv_usec = 0};
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                       sizeof(timeout));
    EXPECT_EQ(::connect(descriptor_, address->Get(), address->length), 0);
  }
  ~Client() { ::close(descriptor_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(std::string_view path) const {
    const std::string request =
        "GET " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n\r\n";
    (void)::send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL);
  }

  /// @return whether a whole response or refusal came.
  [[nodiscard]] bool IsAnswered() const {
    std::string received;
    std::array<char, 4096> chunk{};
    while (!received.ends_with("whole") &&
           !received.ends_with(R"({"code":"stopping"})")) {
      const ssize_t count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
      if (count <= 0) {
        return false;
      }
      received.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return true;
  }

 private:
  int descriptor_;
};

class HeldUpHttpServerTest : public testing::Test {
 protected:
  void Start(unsigned max_connections = 64) {
    server_ = TakeValue(HttpServer::Start({.address = "127.93.2.1:0",
                                           .threads = 1,
                                           .max_connections = max_connections,
                                           .idle_timeout = kIdleTimeout},
                                          handler_));
    holder_ = std::make_unique<Client>(server_->Port());
    for (std::size_t i = 0; i < kKeptConnections; ++i) {
      kept_.push_back(std::make_unique<Client>(server_->Port()));
      kept_.back()->Send("/");
      EXPECT_TRUE(kept_.back()->IsAnswered());
    }
  }

  void HoldUp() {
    holder_->Send("/hold");
    handler_.is_holding.get_future().wait();
  }

  void SendOnEachKeptConnection() {
    for (const auto& client : kept_) {
      client->Send("/");
    }
    std::this_thread::sleep_for(kSettling);
  }

  std::size_t Answered() {
    std::size_t answered = 0;
    for (const auto& client : kept_) {
      answered += client->IsAnswered() ? 1U : 0U;
    }
    return answered;
  }

  HoldingHandler handler_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<Client> holder_;
  std::vector<std::unique_ptr<Client>> kept_;
};

// Guards against requests dropped unread because their connections became idle
// while the server was held up.
TEST_F(HeldUpHttpServerTest, IdleTimeoutDropsNoRequestThatWaits) {
  Start();
  HoldUp();
  SendOnEachKeptConnection();
  std::this_thread::sleep_for(kPastIdleTimeout);
  handler_.release.set_value();
  EXPECT_EQ(Answered(), kKeptConnections);
}

// Guards against connections that never end because nobody closes idle ones.
TEST_F(HeldUpHttpServerTest, IdleConnectionsEnd) {
  Start();
  std::this_thread::sleep_for(kPastIdleTimeout);
  SendOnEachKeptConnection();
  EXPECT_EQ(Answered(), 0U);
}

// Guards against requests dropped, or run without an answer, because their
// connections gave way to others while the server was held up.
TEST_F(HeldUpHttpServerTest, OthersConnectionsDropNoRequestThatWaits) {
  Start(kKeptConnections + 1);
  HoldUp();
  std::vector<std::unique_ptr<Client>> others;
  for (std::size_t i = 0; i < kKeptConnections; ++i) {
    others.push_back(std::make_unique<Client>(server_->Port()));
  }
  SendOnEachKeptConnection();
  handler_.release.set_value();
  EXPECT_EQ(Answered(), kKeptConnections);
}

// Guards against requests dropped unread because the server was told to stop
// while it was held up.
TEST_F(HeldUpHttpServerTest, StopDropsNoRequestThatWaits) {
  Start();
  HoldUp();
  SendOnEachKeptConnection();
  std::thread stop([this] { server_->Stop(); });
  std::this_thread::sleep_for(kSettling);
  handler_.release.set_value();
  stop.join();
  EXPECT_EQ(Answered(), kKeptConnections);
}

}  // namespace
}  // namespace medlarcroft::adapters
