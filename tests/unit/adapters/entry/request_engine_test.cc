#include "adapters/entry/request_engine.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <optional>
#include <thread>

#include "adapters/http/http_server.h"
#include "adapters/process/system_clock.h"
#include "fakes/seeded_random.h"

namespace medlarcroft::adapters {
namespace {

using decision::RunState;

constexpr Duration kCallerDeadline = std::chrono::seconds(30);
constexpr auto kMaxWait = std::chrono::seconds(20);

/// A target that never answers.
class SilentTarget final : public HttpHandler {
 public:
  std::optional<HttpResponse> Handle(
      HttpRequest /*request*/,
      const std::shared_ptr<Responder>& responder) override {
    responders_.push_back(responder);
    ++requests_;
    return std::nullopt;
  }

  void AwaitRequest() const {
    while (requests_ == 0) {
      std::this_thread::yield();
    }
  }

 private:
  std::atomic<int> requests_ = 0;
  std::vector<std::shared_ptr<Responder>> responders_;
};

/// A listener whose queue is full: connections to it are neither established
/// nor refused.
class FullListener {
 public:
  FullListener() {
    sockaddr_in address{.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof(address);
    EXPECT_EQ(::bind(listener_, generic, length), 0);
    EXPECT_EQ(::listen(listener_, 0), 0);
    EXPECT_EQ(::getsockname(listener_, generic, &length), 0);
    port_ = ntohs(address.sin_port);
    for (int& filler : fillers_) {
      filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)::connect(filler, generic, length);
    }
  }
  ~FullListener() {
    for (const int filler : fillers_) {
      ::close(filler);
    }
    ::close(listener_);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  [[nodiscard]] int Port() const { return port_; }

 private:
  int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  int port_ = 0;
  std::array<int, 4> fillers_{};
};

class NoEvents final : public RequestEvents {
 public:
  AttemptTrace OnAttemptStart(const ServiceRequest& /*request*/,
                              const TargetName& /*target*/,
                              decision::DispatchKind /*kind*/) override {
    return {};
  }
  void OnAttemptEnd(const AttemptEvent& /*event*/) override {}
  void OnRefused(const ServiceRequest& /*request*/,
                 const decision::Refusal& /*refusal*/) override {}
  void OnSilentConnection(const TargetName& /*target*/) override {}
  void OnRestStarted(const TargetName& /*target*/,
                     Duration /*length*/,
                     std::string_view /*attempt*/) override {}
  void OnRestEnded(const TargetName& /*target*/) override {}
  void OnLeavingStated(const TargetName& /*target*/,
                       std::string_view /*attempt*/) override {}
};

class AnySlot final : public ports::SlotSource {
 public:
  bool TryTake(const TargetName& /*target*/) override { return true; }
  void Release(const TargetName& /*target*/) override {}
};

/// An engine with one service on one target that has one slot.
class RequestEngineFixture {
 public:
  /// @param port of the target; nullopt: that of a silent one.
  explicit RequestEngineFixture(catalogue::KeyMode key_mode,
                                std::optional<int> port = std::nullopt) {
    ServiceRoute service;
    service.config = {
        .service = ServiceName("ledger"),
        .request_class = {.name = "order",
                          .key_mode = key_mode,
                          .deadline = kCallerDeadline,
                          .queue_limit = kCallerDeadline,
                          .expected_service_time =
                              std::chrono::milliseconds(1)},
        .brands = {{.brand = BrandName("a")}},
        .targets = {{.name = TargetName("t"), .slots = 1, .share = 1}}};
    service.target_addresses[TargetName("t")] =
        "127.0.0.1:" + std::to_string(port.value_or(server_->Port()));
    auto routes = std::make_shared<RoutingTable>();
    routes->services[ServiceName("ledger")] = std::move(service);
    engine_.ApplyRoutes(std::move(routes));
  }

  ~RequestEngineFixture() { client_.Stop(); }
  RequestEngineFixture(const RequestEngineFixture&) = delete;
  RequestEngineFixture& operator=(const RequestEngineFixture&) = delete;

  decision::RequestTicket Submit(std::promise<RequestResult>& result) {
    auto request = std::make_shared<ServiceRequest>();
    request->service = ServiceName("ledger");
    request->brand = BrandName("a");
    request->method = "GET";
    request->target_path = "/";
    return engine_.Submit({.request = std::move(request),
                           .time_left = kCallerDeadline,
                           .done = [&result](RequestResult ended) {
                             result.set_value(std::move(ended));
                           }});
  }

  RequestEngine& Engine() { return engine_; }
  const SilentTarget& Target() const { return target_; }

 private:
  SilentTarget target_;
  std::unique_ptr<HttpServer> server_ = TakeValue(
      HttpServer::Start({.address = "127.0.0.1:0", .threads = 1}, target_));
  SystemClock clock_;
  fakes::SeededRandom random_{1};
  NoEvents events_;
  AnySlot slots_;
  HttpClient client_{{}};
  RequestEngine engine_{{.host = HostName("h"), .incarnation = 1},
                        {client_, clock_, random_, events_, slots_}};
};

struct DisconnectedCallerCase {
  const char* name;
  catalogue::KeyMode key_mode;
  bool is_queued;
  RunState run_state;
};

class DisconnectedCallerTest
    : public testing::TestWithParam<DisconnectedCallerCase> {};

// Guards against requests of callers that left and never end: their connection
// stayed suspended, so that a planned stop waited for its whole limit, and a
// retry of an order waited for the first one until its key expired.
TEST_P(DisconnectedCallerTest, RequestEndsWithWhatIsKnown) {
  RequestEngineFixture fixture(GetParam().key_mode);
  std::promise<RequestResult> running;
  std::promise<RequestResult> queued;
  const decision::RequestTicket first = fixture.Submit(running);
  const decision::RequestTicket second = fixture.Submit(queued);

  fixture.Engine().Cancel(GetParam().is_queued ? second : first,
                          /*is_kept_if_dispatched=*/false);

  auto ended = (GetParam().is_queued ? queued : running).get_future();
  ASSERT_EQ(ended.wait_for(kMaxWait), std::future_status::ready);
  EXPECT_EQ(ended.get().run_state, GetParam().run_state);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    DisconnectedCallerTest,
    testing::Values(
        DisconnectedCallerCase{"QueuedOrder", catalogue::KeyMode::kLocal, true,
                               RunState::kNotRun},
        DisconnectedCallerCase{"QueuedLookup", catalogue::KeyMode::kNone, true,
                               RunState::kNotRun},
        DisconnectedCallerCase{"RunningLookup", catalogue::KeyMode::kNone,
                               false, RunState::kUnknown}),
    [](const auto& info) { return std::string(info.param.name); });

struct EndedOrderCase {
  const char* name;
  bool is_queued;
  bool is_connected;
  RunState run_state;
  int status;
};

class EndedOrderTest : public testing::TestWithParam<EndedOrderCase> {};

// Guards against orders that are told to have perhaps run, and so must not be
// repeated elsewhere, though the process ends before anything of them was sent.
TEST_P(EndedOrderTest, IsToldWhetherItMayHaveRun) {
  const FullListener full;
  RequestEngineFixture fixture(
      catalogue::KeyMode::kLocal,
      GetParam().is_connected ? std::nullopt : std::optional(full.Port()));
  std::promise<RequestResult> running;
  std::promise<RequestResult> queued;
  fixture.Submit(running);
  fixture.Submit(queued);
  if (GetParam().is_connected) {
    fixture.Target().AwaitRequest();
  }

  fixture.Engine().EndAll();

  auto ended = (GetParam().is_queued ? queued : running).get_future();
  ASSERT_EQ(ended.wait_for(Duration(0)), std::future_status::ready);
  const RequestResult result = ended.get();
  EXPECT_EQ(result.run_state, GetParam().run_state);
  EXPECT_EQ(result.response.status, GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    Orders,
    EndedOrderTest,
    testing::Values(
        EndedOrderCase{"Queued", true, true, RunState::kNotRun, 503},
        EndedOrderCase{"Connecting", false, false, RunState::kNotRun, 503},
        EndedOrderCase{"Sent", false, true, RunState::kUnknown, 504}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RequestEngine, DispatchedOrderOfADisconnectedCallerKeepsRunning) {
  RequestEngineFixture fixture(catalogue::KeyMode::kLocal);
  std::promise<RequestResult> running;
  const decision::RequestTicket order = fixture.Submit(running);

  fixture.Engine().Cancel(order, /*is_kept_if_dispatched=*/true);

  EXPECT_EQ(fixture.Engine().InFlight(), 1U);
  fixture.Engine().Cancel(order, /*is_kept_if_dispatched=*/false);
  EXPECT_EQ(running.get_future().wait_for(kMaxWait), std::future_status::ready);
}

}  // namespace
}  // namespace medlarcroft::adapters
