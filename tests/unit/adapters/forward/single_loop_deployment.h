#ifndef MEDLARCROFT_TESTS_UNIT_ADAPTERS_FORWARD_SINGLE_LOOP_DEPLOYMENT_H_
#define MEDLARCROFT_TESTS_UNIT_ADAPTERS_FORWARD_SINGLE_LOOP_DEPLOYMENT_H_

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_listener.h"
#include "adapters/event/http_serialization.h"
#include "adapters/forward/relay_handler.h"
#include "adapters/forward/relay_sender.h"
#include "adapters/forward/request_forwarder.h"
#include "adapters/process/socket_address.h"
#include "adapters/process/system_clock.h"
#include "fakes/manual_clock.h"
#include "fakes/scripted_server.h"
#include "fakes/seeded_random.h"

namespace medlarcroft::adapters {

inline const ServiceName kService("desk");
inline const RegionName kRegion("here");
inline const FailureDomainName kDomain("d");
inline const ClientAccountName kAccount("brand");
inline constexpr int kTargets = 4;
inline constexpr int kRejected = 503;
inline constexpr std::string_view kCall =
    "GET /x HTTP/1.1\r\nHost: h\r\nKey: key\r\n\r\n";
// Longer than any delay after which a request is hedged here.
inline constexpr Duration kLoopDelay = std::chrono::milliseconds(600);
// In which targets read what was sent to them.
inline constexpr Duration kSettleTime = std::chrono::milliseconds(50);

class IgnoringObserver final : public request_path::TargetDirectoryObserver {
 public:
  void OnTargetChange(request_path::TargetChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}
};

class DiscardingExporter final : public telemetry::SpanExporter {
 public:
  void Export(telemetry::Span /*span*/) override {}
};

/// @brief A protocol without headers; 503 is a target's "not run".
class PlainCodec final : public RequestCodec {
 public:
  [[nodiscard]] DecodedRequest Decode(const HttpRequest& call) const override {
    DecodedRequest decoded;
    decoded.id = call.raw_target;
    decoded.request = {
        .host = "h",
        .target = call.raw_target,
        .object = "o",
        .fingerprint = request_path::RequestFingerprint::Of({call.raw_target})};
    if (const auto key = call.headers.Find("Key")) {
      decoded.request.api_key = routing::ApiKeyDigest::Of(*key);
    }
    return decoded;
  }
  [[nodiscard]] std::string EncodeAttempt(
      const HttpRequest& call,
      const request_path::SendAttempt& /*attempt*/) const override {
    return FormatRequestHead(call.method, call.raw_target, {{"Host", "h"}}, "",
                             call.body_apart);
  }
  [[nodiscard]] request_path::ResponseName IdentifyResponse(
      const HttpResponse& /*answer*/,
      const std::string& /*id*/) const override {
    return request_path::ResponseName::kOwn;
  }
  [[nodiscard]] ClassifiedResponse ClassifyResponse(
      const HttpResponse& answer,
      const request_path::TargetIdentity& /*target*/) const override {
    return {.end = answer.status == kRejected
                       ? request_path::AttemptEnd::kNotRun
                       : request_path::AttemptEnd::kAnswered};
  }
  [[nodiscard]] request_path::TargetNotice ReadNotice(
      const HttpResponse& head) const override {
    request_path::TargetNotice notice;
    if (const auto rest = head.headers.Find("Retry-After")) {
      notice.rest = std::chrono::seconds(std::stoi(std::string(*rest)));
    }
    notice.is_leaving = head.headers.Find("Server-Leaving").has_value();
    return notice;
  }
  [[nodiscard]] HttpResponse ForwardResponse(
      HttpResponse answer) const override {
    return answer;
  }
  [[nodiscard]] HttpResponse EncodeLocalResponse(
      const request_path::RequestFailure& /*failure*/,
      const std::string& /*id*/) const override {
    return {.status = kRejected};
  }
};

/// @brief Has each request wait for a token until `Grant`.
class WaitingQuota final : public quota::QuotaGate {
 public:
  void Grant() { is_granted_ = true; }

  [[nodiscard]] quota::AdmissionResult Admit(
      const routing::ClientAccount& /*account*/,
      MonotonicTime /*now*/) override {
    return {.admission = is_granted_ ? quota::Admission::kAdmitted
                                     : quota::Admission::kWaiting};
  }
  [[nodiscard]] quota::AdmissionResult AdmitWaiting(
      const routing::ClientAccount& account,
      MonotonicTime now) override {
    return Admit(account, now);
  }
  quota::Admission EndWait(const routing::ClientAccount& /*account*/,
                           MonotonicTime /*now*/) override {
    return quota::Admission::kUnknown;
  }
  void GiveBack(const routing::ClientAccount& /*account*/,
                MonotonicTime /*token_valid_until*/,
                MonotonicTime /*now*/) override {}
  [[nodiscard]] Duration TimeToRetry(const routing::ClientAccount& /*account*/,
                                     MonotonicTime /*now*/) const override {
    return Duration(0);
  }

 private:
  bool is_granted_ = false;
};

/// @brief Keeps the requests that it gets, and does what the test asks for.
class RecordingHandler final : public HttpRequestHandler {
 public:
  void OnRequest(HttpRequest request,
                 const std::shared_ptr<HttpExchange>& exchange) override {
    exchanges.push_back(exchange);
    if (next != nullptr) {
      next->OnRequest(std::move(request), exchange);
    }
    if (on_request) {
      on_request(*exchange);
    }
  }

  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  HttpRequestHandler* next = nullptr;
  std::function<void(HttpExchange&)> on_request;
};

/// @brief One host with its targets and one other host, all on one event loop,
/// so that a test decides in which order events arrive.
class SingleLoopDeployment {
 public:
  explicit SingleLoopDeployment(const ports::Clock& clock)
      : clock_(clock), loop_(clock) {
    host.next = &forwarder_;
    host_listener_ = Listen(host);
    target_listener_ = Listen(target);
    helper_listener_ = Listen(helper);
    other_helper_listener_ = Listen(other_helper);
    routes_.Apply(
        {.version = 1,
         .routes = {{.name = "r",
                     .host = "h",
                     .path_prefix = "/",
                     .kind = routing::RequestKind::kIdempotent,
                     .timeout = std::chrono::seconds(4),
                     .latency_objective = std::chrono::milliseconds(500),
                     .max_attempts = 2,
                     .weighted_services = {{.service = kService}},
                     .is_public = true}},
         .accounts = {{.name = kAccount,
                       .keys = {routing::ApiKeyDigest::Of("key")},
                       .quota = {.requests_per_second = 1}}}});
    std::vector<request_path::TargetRecord> records;
    records.reserve(kTargets);
    for (int i = 0; i < kTargets; ++i) {
      records.push_back({.id = TargetName("t" + std::to_string(i)),
                         .service = kService,
                         .address = AddressOf(*target_listener_),
                         .domain = kDomain,
                         .slots = 3});
    }
    directory_.ReplaceAll(records, {}, std::nullopt, loop_.Now());
    path_.EnforceQuotas(quota_);
  }

  /// @brief Makes the host believe that it reaches no target.
  void CutOff() {
    for (int i = 0; i < 2; ++i) {
      path_.OnConnectFailed({TargetName("t" + std::to_string(i))}, loop_.Now());
    }
    for (const auto& probe : path_.StartReachProbes(kDomain, loop_.Now())) {
      path_.OnReachProbed(probe.target, false, loop_.Now());
    }
  }

  [[nodiscard]] bool IsCutOff() const { return path_.Reach().IsCutOff(); }
  /// @brief The two helpers differ; otherwise `helper` is both.
  void UseOtherHelper() { uses_other_helper_ = true; }

  void Call() { caller_ = SendToHost(std::string(kCall)); }
  /// @brief Other callers send a request each.
  void CallFromOthers(int count) {
    for (int i = 0; i < count; ++i) {
      others_.push_back(SendToHost(std::string(kCall)));
    }
  }
  /// @brief Other callers send a request each, one after the other, until
  /// `Run` returns.
  void CallRegularly(int count, Duration interval) {
    for (int i = 0; i < count; ++i) {
      loop_.After(interval * i, [this] { CallFromOthers(1); });
    }
    loop_.After(interval * count + kLoopDelay, [this] { loop_.Finish(0); });
  }
  /// @return how many of the other callers got a target's answer.
  [[nodiscard]] int Served() {
    return static_cast<int>(std::ranges::count_if(others_, [](auto& caller) {
      return caller->ReadHead().starts_with("HTTP/1.1 200");
    }));
  }
  /// @brief The caller does not wait for the answer to its first request.
  void SendNextRequest() { caller_->Write(kCall); }
  /// @brief Another host has this one send to a target, and is the caller.
  void CallForOtherHost() {
    host.next = &relay_;
    const RelayRequest request{.id = "/x",
                               .target = {TargetName("t0")},
                               .time_left = std::chrono::seconds(4),
                               .may_repeat = true,
                               .text = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"};
    caller_ =
        SendToHost(EncodeRelayRequest(request, AddressOf(*host_listener_)));
  }
  /// @brief The caller leaves, and this host is held up before it can see that.
  void Leave() {
    CloseCaller();
    std::this_thread::sleep_for(kLoopDelay);
  }
  void CloseCaller() { caller_->Close(); }
  /// @brief Has `act` run after the loop has found the caller's connection
  /// unchanged once more.
  void AfterNextEvent(std::function<void()> act) {
    loop_.After(Duration(0), [this, act = std::move(act)] {
      loop_.After(Duration(0), act);
    });
  }
  void After(Duration delay, std::function<void()> act) {
    loop_.After(delay, std::move(act));
  }
  /// @brief All targets say this to the host.
  void Notice(const request_path::TargetNotice& notice) {
    for (int i = 0; i < kTargets; ++i) {
      path_.OnNotice({TargetName("t" + std::to_string(i))}, notice, "other",
                     loop_.Now());
    }
  }
  /// @return how many targets rest or leave.
  [[nodiscard]] int UnwillingTargets() const {
    int count = 0;
    for (int i = 0; i < kTargets; ++i) {
      const request_path::TargetIdentity target{
          TargetName("t" + std::to_string(i))};
      count += path_.WantsNothing(target, loop_.Now()) ? 1 : 0;
    }
    return count;
  }
  /// @brief Leaves after the loop has found the caller's connection unchanged
  /// once more, so that the loop finds what happened before that first.
  void LeaveAfterNextEvent() {
    AfterNextEvent([this] { Leave(); });
  }
  void GrantToken() {
    quota_.Grant();
    forwarder_.OnTokens(kAccount);
  }

  void RunUntilNothingIsInFlight() {
    loop_.Every(std::chrono::milliseconds(5), [this] {
      const bool is_over = !host.exchanges.empty() &&
                           forwarder_.InFlight() + relay_.InFlight() == 0;
      if (is_over && !is_ending_) {
        is_ending_ = true;
        loop_.After(kSettleTime, [this] { loop_.Finish(0); });
      }
    });
    loop_.Run();
  }
  void Run() { loop_.Run(); }
  /// @return what the host owes its callers, other hosts included.
  [[nodiscard]] OwedResponses Owed() const {
    return host_listener_->MeasureOwed();
  }
  void Stop() { loop_.Finish(0); }

  /// @brief All targets end at once, after the current event.
  void EndTargetsSoon() {
    loop_.After(Duration(0), [this] { target_listener_.reset(); });
  }
  void RunUntilCrashes(std::size_t count) {
    loop_.Every(std::chrono::milliseconds(5), [this, count] {
      if (crashes.size() >= count) {
        loop_.Finish(0);
      }
    });
    loop_.Run();
  }

  std::vector<InterruptedSend> crashes;
  RecordingHandler host;
  RecordingHandler target;
  RecordingHandler helper;
  RecordingHandler other_helper;

 private:
  static std::string AddressOf(const HttpListener& listener) {
    return "127.0.0.1:" + std::to_string(listener.Port());
  }
  std::unique_ptr<HttpListener> Listen(HttpRequestHandler& handler) {
    return TakeValue(HttpListener::Open(loop_, "127.0.0.1:0", handler));
  }
  std::unique_ptr<fakes::ScriptedConnection> SendToHost(
      const std::string& bytes) {
    const auto address = ParseSocketAddress(AddressOf(*host_listener_));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    (void)::connect(descriptor, address->Get(), address->length);
    auto connection = std::make_unique<fakes::ScriptedConnection>(descriptor);
    connection->Write(bytes);
    return connection;
  }

  const ports::Clock& clock_;
  EventLoop loop_;
  fakes::SeededRandom random_{1};
  telemetry::MetricsRegistry metrics_;
  DiscardingExporter spans_;
  telemetry::Tracer tracer_{clock_, random_, spans_, 0};
  RequestTelemetry telemetry_{metrics_, clock_};
  PlainCodec codec_;
  IgnoringObserver observer_;
  WaitingQuota quota_;
  routing::RouteTable routes_;
  request_path::TargetDirectory directory_{{{kDomain, kRegion}}, observer_};
  request_path::RequestPath path_{
      {.own_region = kRegion, .retry_limit = {.ratio = 1, .fixed = 50}},
      routes_,
      directory_,
      random_};
  EventHttpClient client_{loop_, {}};
  std::unique_ptr<HttpListener> host_listener_;
  std::unique_ptr<HttpListener> target_listener_;
  std::unique_ptr<HttpListener> helper_listener_;
  std::unique_ptr<HttpListener> other_helper_listener_;
  bool uses_other_helper_ = false;
  RelaySender relays_{
      {.loop = loop_,
       .caller = client_,
       .random = random_,
       .metrics = metrics_,
       .find_helpers = [this](const RegionName&) {
         return std::vector<RelayHelper>{
             {HostName("1"), kDomain, AddressOf(*helper_listener_)},
             {HostName("2"), kDomain,
              AddressOf(uses_other_helper_ ? *other_helper_listener_
                                           : *helper_listener_)}};
       }}};
  RequestForwarder forwarder_{
      {.loop = loop_,
       .caller = client_,
       .path = path_,
       .codec = codec_,
       .telemetry = telemetry_,
       .tracer = tracer_,
       .on_crash =
           [this](const InterruptedSend& crash) { crashes.push_back(crash); },
       .relays = relays_}};
  RelayHandler relay_{
      {.loop = loop_,
       .caller = client_,
       .codec = codec_,
       .targets = directory_,
       .reach = path_.Reach(),
       .metrics = metrics_,
       .on_connected = [] {},
       .on_connect_failed = [](const request_path::TargetIdentity&) {},
       .on_notice =
           [this](const request_path::TargetIdentity& target,
                  const request_path::TargetNotice& notice,
                  const std::string& request) {
             path_.OnNotice(target, notice, request, loop_.Now());
           },
       .max_in_flight = 1}};
  std::unique_ptr<fakes::ScriptedConnection> caller_;
  std::vector<std::unique_ptr<fakes::ScriptedConnection>> others_;
  bool is_ending_ = false;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_TESTS_UNIT_ADAPTERS_FORWARD_SINGLE_LOOP_DEPLOYMENT_H_
