#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/entry/attempt_result.h"
#include "adapters/event/http_serialization.h"
#include "adapters/forward/relay_handler.h"
#include "adapters/forward/request_forwarder.h"
#include "adapters/process/system_clock.h"
#include "medlarcroft/decision/attempt_rules.h"
#include "odd_target.h"
#include "platform/platform_codec.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 40;
constexpr int kRequests = 60;
constexpr int kTargets = 2;
const ServiceName kService("ledger");
const RegionName kRegion("here");
const FailureDomainName kDomain("d");

/// @brief What callers were told, by request.
using Statuses = std::map<std::string, int>;

bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

class IgnoringObserver final : public request_path::TargetDirectoryObserver {
 public:
  void OnTargetChange(request_path::TargetChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}
};

class DiscardingExporter final : public telemetry::SpanExporter {
 public:
  void Export(telemetry::Span /*span*/) override {}
};

class RecordingExchange final : public HttpExchange {
 public:
  explicit RecordingExchange(std::function<void(int)> on_status)
      : on_status_(std::move(on_status)) {}
  void Respond(HttpResponse response) override { on_status_(response.status); }
  void OnCallerGone(std::function<void()> /*task*/) override {}
  void Identify(std::string /*request*/, MonotonicTime /*until*/) override {}
  [[nodiscard]] bool IsCallerGone() const override { return false; }

 private:
  std::function<void(int)> on_status_;
};

/// @brief A host of medlar-node that sends non-idempotent requests to odd
/// targets, by itself or, cut off from them, through another host.
class OddDeployment {
 public:
  explicit OddDeployment(std::uint64_t seed) : random_(seed) {
    routes_.Apply({.version = 1,
                   .routes = {{.name = "r",
                               .host = "h",
                               .path_prefix = "/",
                               .kind = routing::RequestKind::kNonIdempotent,
                               .timeout = milliseconds(60),
                               .latency_objective = milliseconds(30),
                               .max_attempts = 3,
                               .weighted_services = {{.service = kService}}}}});
    std::vector<request_path::TargetRecord> records;
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back(std::make_unique<OddTarget>(
          loop_, seed * kTargets + static_cast<std::uint64_t>(i),
          TargetProtocol{.id = "X-Medlarcroft-Attempt-Id",
                         .not_run = "X-Medlarcroft-Not-Executed",
                         .success = "X-Medlarcroft-Server-Seal: s\r\n"}));
      records.push_back({.id = TargetName("t" + std::to_string(i)),
                         .service = kService,
                         .address = targets_.back()->Address(),
                         .domain = kDomain,
                         .slots = 8});
    }
    directory_.ReplaceAll(records, {}, std::nullopt, loop_.Now());
  }

  void CutOff() {
    for (int i = 0; i < kTargets; ++i) {
      path_.OnConnectFailed({TargetName("t" + std::to_string(i))}, loop_.Now());
    }
    for (const auto& probe : path_.StartReachProbes(kDomain, loop_.Now())) {
      path_.OnReachProbed(probe.target, false, loop_.Now());
    }
    ASSERT_TRUE(path_.Reach().IsCutOff());
  }

  /// @brief Callers send requests at random moments.
  void CallThroughHost() {
    CallAtRandomMoments([this](const std::string& id) {
      const HttpRequest call{
          .method = "POST",
          .raw_target = "/x",
          .headers = {{"Host", "h"}, {"X-Medlarcroft-Attempt-Id", id}}};
      forwarder_.OnRequest(
          call, std::make_shared<RecordingExchange>(
                    [this, id](int status) { statuses[id] = status; }));
    });
  }

  /// @brief Sends each request to the same target until that does not refuse
  /// it, at most a few times.
  void CallTheClient() {
    CallAtRandomMoments([this](const std::string& id) { SendToTarget(id, 3); });
  }

  [[nodiscard]] int RunsOf(const std::string& id) const {
    int runs = 0;
    for (const auto& target : targets_) {
      const auto found = target->runs.find(id);
      runs += found == target->runs.end() ? 0 : found->second;
    }
    return runs;
  }
  [[nodiscard]] int OddAnswers() const {
    int answers = 0;
    for (const auto& target : targets_) {
      answers += target->odd_answers;
    }
    return answers;
  }

  Statuses statuses;

 private:
  void CallAtRandomMoments(
      const std::function<void(const std::string&)>& call) {
    for (int number = 0; number < kRequests; ++number) {
      loop_.After(std::chrono::microseconds(random_.NextBelow(60'000)),
                  [call, number] { call("r" + std::to_string(number)); });
    }
    loop_.After(milliseconds(150), [this] { loop_.Finish(0); });
    loop_.Run();
  }

  void SendToTarget(const std::string& id, int sends_left) {
    const std::string address = targets_.front()->Address();
    OutboundRequest request;
    request.address = address;
    request.text = FormatRequest(
        "POST", "/x", {{"Host", address}, {"X-Medlarcroft-Attempt-Id", id}},
        "");
    request.timeout = milliseconds(60);
    request.unnamed_patience = milliseconds(5);
    request.id = id;
    request.identify = [this, id](const HttpResponse& answer) {
      return codec_.IdentifyResponse(answer, id);
    };
    client_.Send(std::move(request), [this, id, sends_left](
                                         const ExchangeResult& result) {
      if (!IsOk(result)) {
        statuses[id] = ErrorOf(result).is_proved_unsent ? 503 : 502;
        return;
      }
      const auto end = codec_.ClassifyResponse(ValueOf(result), {}).end;
      const bool is_not_run = end == request_path::AttemptEnd::kNotRun ||
                              end == request_path::AttemptEnd::kWrongTarget;
      if (is_not_run && sends_left > 1) {
        SendToTarget(id, sends_left - 1);
        return;
      }
      statuses[id] = is_not_run ? 503 : 200;
    });
  }

  SystemClock clock_;
  EventLoop loop_{clock_};
  fakes::SeededRandom random_;
  telemetry::MetricsRegistry metrics_;
  DiscardingExporter spans_;
  telemetry::Tracer tracer_{clock_, random_, spans_, 0};
  RequestTelemetry telemetry_{metrics_, clock_};
  platform::PlatformCodec codec_;
  IgnoringObserver observer_;
  routing::RouteTable routes_;
  std::vector<std::unique_ptr<OddTarget>> targets_;
  request_path::TargetDirectory directory_{{{kDomain, kRegion}}, observer_};
  request_path::RequestPath path_{
      {.own_region = kRegion, .retry_limit = {.ratio = 1, .fixed = 500}},
      routes_,
      directory_,
      random_};
  EventHttpClient client_{loop_, {}};
  EventHttpClient helper_client_{loop_, {}};
  request_path::TargetReach helper_reach_{{}, random_};
  RelayHandler relay_{
      {.loop = loop_,
       .caller = helper_client_,
       .codec = codec_,
       .targets = directory_,
       .reach = helper_reach_,
       .metrics = metrics_,
       .on_connected = [] {},
       .on_connect_failed = [](const request_path::TargetIdentity&) {},
       .on_notice = [](const request_path::TargetIdentity&,
                       const request_path::TargetNotice&,
                       const std::string&) {},
       .max_in_flight = 100}};
  std::unique_ptr<HttpListener> helper_listener_ =
      TakeValue(HttpListener::Open(loop_, "127.0.0.1:0", relay_));
  RelaySender relays_{
      {.loop = loop_,
       .caller = client_,
       .random = random_,
       .metrics = metrics_,
       .find_helpers = [this](const RegionName&) {
         return std::vector<RelayHelper>{
             {HostName("helper"), kDomain,
              "127.0.0.1:" + std::to_string(helper_listener_->Port())}};
       }}};
  RequestForwarder forwarder_{{.loop = loop_,
                               .caller = client_,
                               .path = path_,
                               .codec = codec_,
                               .telemetry = telemetry_,
                               .tracer = tracer_,
                               .on_crash = [](const InterruptedSend&) {},
                               .relays = relays_}};
};

struct Way {
  std::string name;
  void (OddDeployment::*prepare)() = nullptr;
  void (OddDeployment::*play)() = nullptr;
};

class RefusalProperty : public testing::TestWithParam<Way> {};

// Guards against promises that are concluded from an answer to another request:
// copies, late answers, answers without an ID, ends and reuse in any order.
TEST_P(RefusalProperty, NoRequestThatWasToldNotRunHasRun) {
  int odd_answers = 0;
  int promises = 0;
  int successes = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OddDeployment deployment(seed);
    if (GetParam().prepare != nullptr) {
      (deployment.*GetParam().prepare)();
    }
    (deployment.*GetParam().play)();
    for (const auto& [id, status] : deployment.statuses) {
      const int runs = deployment.RunsOf(id);
      promises += IsPromise(status) ? 1 : 0;
      successes += status == 200 ? 1 : 0;
      EXPECT_TRUE(!IsPromise(status) || runs == 0)
          << "seed " << seed << ", " << id << ": " << status << ", ran";
      EXPECT_LE(runs, 1) << "seed " << seed << ", " << id;
    }
    odd_answers += deployment.OddAnswers();
  }
  EXPECT_GT(odd_answers, kRequests);
  EXPECT_GT(promises, kRequests);
  EXPECT_GT(successes, kRequests);
}

INSTANTIATE_TEST_SUITE_P(
    Ways,
    RefusalProperty,
    testing::Values(
        Way{.name = "Client", .play = &OddDeployment::CallTheClient},
        Way{.name = "Host", .play = &OddDeployment::CallThroughHost},
        Way{.name = "Helper",
            .prepare = &OddDeployment::CutOff,
            .play = &OddDeployment::CallThroughHost}),
    [](const auto& tested) { return tested.param.name; });

/// @return whether the request is told not to have run, after a few attempts.
bool IsRefusedByEntryHost(HttpClient& client,
                          const std::string& address,
                          const std::string& request,
                          bool is_idempotent) {
  for (int attempt = 1; attempt <= 3; ++attempt) {
    const std::string id = request + "/" + std::to_string(attempt);
    const AttemptResult result = ClassifyAttempt(
        client.SendAndWait({.method = "POST",
                            .url = "http://" + address + "/x",
                            .headers = {{"Medlar-Request-Id", id}},
                            .timeout = milliseconds(60),
                            .needs_fresh_connection = !is_idempotent}),
        id);
    if (decision::RulesFor(result.outcome).run_state !=
        decision::RunState::kNotRun) {
      return false;
    }
  }
  return true;
}

// Guards against the same in medlar-entryd, whose client pools connections by
// itself.
TEST(EntryHostRefusalProperty, NoRequestThatWasToldNotRunHasRun) {
  int odd_answers = 0;
  std::atomic<int> promises = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SystemClock clock;
    EventLoop loop(clock);
    OddTarget target(loop, seed,
                     {.id = "Medlar-Request-Id",
                      .not_run = "Medlar-Target-Not-Run",
                      .success = ""});
    std::map<std::string, bool> is_refused;
    std::atomic<bool> is_done = false;
    std::thread caller([&] {
      HttpClient client({});
      for (int number = 0; number < kRequests / 3; ++number) {
        const bool is_idempotent = number % 3 != 0;
        const std::string request =
            (is_idempotent ? "repeatable" : "once") + std::to_string(number);
        is_refused[request] = IsRefusedByEntryHost(client, target.Address(),
                                                   request, is_idempotent);
        promises += is_refused[request] ? 1 : 0;
      }
      is_done = true;
    });
    loop.Every(milliseconds(2), [&] {
      if (is_done) {
        loop.Finish(0);
      }
    });
    loop.Run();
    caller.join();
    for (const auto& [request, refused] : is_refused) {
      const int runs = target.runs[request];
      EXPECT_TRUE(!refused || runs == 0) << "seed " << seed << ", " << request;
      EXPECT_TRUE(request.starts_with("repeatable") || runs <= 1)
          << "seed " << seed << ", " << request;
    }
    odd_answers += target.odd_answers;
  }
  EXPECT_GT(odd_answers, kRequests);
  EXPECT_GT(promises, 0);
}

}  // namespace
}  // namespace medlarcroft::adapters
