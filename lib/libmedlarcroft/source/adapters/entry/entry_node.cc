#include "adapters/entry/entry_node.h"

#include <array>
#include <utility>

#include "adapters/entry/caller_disconnect_monitor.h"
#include "adapters/entry/claim_worker.h"
#include "adapters/entry/entry_gauges.h"
#include "adapters/entry/entry_handler.h"
#include "adapters/entry/entry_operator_endpoints.h"
#include "adapters/entry/entry_telemetry.h"
#include "adapters/entry/host_forwarder.h"
#include "adapters/entry/idempotency_guard.h"
#include "adapters/entry/request_engine.h"
#include "adapters/entry/routing_synchronizer.h"
#include "adapters/entry/service_request_handler.h"
#include "adapters/entry/share_lending.h"
#include "adapters/entry/shift_chooser.h"
#include "adapters/entry/target_poller.h"
#include "adapters/http/http_client.h"
#include "adapters/peer/thrift_listener_metrics.h"
#include "adapters/peer/thrift_server.h"
#include "adapters/platform/http_platform.h"
#include "adapters/process/hex.h"
#include "adapters/process/log.h"
#include "adapters/process/span_output.h"
#include "adapters/process/system_random.h"
#include "adapters/process/text_file.h"
#include "adapters/process/worker_thread.h"
#include "medlarcroft/capacity/capacity_manager.h"
#include "medlarcroft/capacity/seat_pacing.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"
#include "medlarcroft/idempotency/durable_claims.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::array<std::string_view, 4> kStartErrorTexts = {
    "cannot listen for callers", "cannot listen for other entry hosts",
    "invalid TLS certificate or key", "invalid key secrets"};

constexpr Duration kShareExchangePeriod = std::chrono::milliseconds(100);

/// Most of the budget is for claims, one write for each durable order. Eleven
/// hosts at this limit make 275 writes a second; the platform takes several
/// hundred.
constexpr catalogue::PlatformRateLimiter::Options kPlatformBudget = {
    .reads_per_second = 4.0,
    .read_burst = 40.0,
    .writes_per_second = 25.0,
    .write_burst = 75.0};

std::optional<idempotency::KeySecrets> ParseKeySecrets(
    const std::vector<std::string>& texts) {
  idempotency::KeySecrets secrets;
  std::vector<std::string> decoded;
  for (const std::string& text : texts) {
    auto bytes = DecodeHex(text);
    if (!bytes) {
      return std::nullopt;
    }
    decoded.push_back(*std::move(bytes));
  }
  if (decoded.empty() || decoded.size() > 2) {
    return std::nullopt;
  }
  secrets.issuing = decoded.front();
  if (decoded.size() == 2) {
    secrets.also_accepted = decoded.back();
  }
  if (idempotency::KeyAuthority::Check(secrets)) {
    return std::nullopt;
  }
  return secrets;
}

/// In which the answers of requests that the end of the process ends reach
/// their callers; longer than two ticks.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(500);

std::uint64_t MakeIncarnation(const ports::Clock& clock) {
  return static_cast<std::uint64_t>(clock.WallNow().time_since_epoch() /
                                    std::chrono::microseconds(1));
}

process::StopSequence::Options StopOptionsOf(const DrainSettings& drain) {
  return {.announce_time = drain.pause,
          .finish_limit = std::max(drain.limit - drain.pause,
                                   Duration(std::chrono::seconds(1)))};
}

}  // namespace

std::string_view NameOf(EntryStartError error) {
  return kStartErrorTexts.at(static_cast<std::size_t>(error));
}

class EntryNode::Impl {
 public:
  Impl(const EntrydSettings& settings,
       const idempotency::KeySecrets& secrets,
       const ports::Clock& clock)
      : settings_(settings),
        clock_(clock),
        host_(settings.host),
        incarnation_(MakeIncarnation(clock)),
        spans_(settings.telemetry,
               {.program = "medlar-entryd",
                .host = settings.host,
                .failure_domain = settings.failure_domain}),
        tracer_(clock,
                trace_random_,
                spans_.Exporter(),
                settings.telemetry.trace_sampling),
        telemetry_(metrics_, tracer_),
        client_({.max_idle_connections = settings.outbound.max_idle_connections,
                 .max_connections_per_origin =
                     settings.outbound.max_connections_per_target,
                 .connect_timeout = settings.outbound.connect_timeout}),
        platform_({.base_url = settings.platform_url,
                   .timeout = std::chrono::seconds(1)}),
        budget_(kPlatformBudget, clock),
        table_store_(platform_, budget_),
        capacity_({.host = host_,
                   .incarnation = incarnation_,
                   .rules = {.max_work = settings.longest_work}},
                  table_store_,
                  clock),
        share_borrower_(capacity_),
        engine_({.host = host_, .incarnation = incarnation_},
                {client_, clock, scheduler_random_, telemetry_, capacity_}),
        keys_({.host = host_, .incarnation = incarnation_, .secrets = secrets},
              clock),
        claims_({.host = host_, .incarnation = incarnation_},
                table_store_,
                claim_random_,
                clock),
        claim_worker_(claims_, budget_),
        forwarder_(host_, client_, keys_, clock),
        shifts_(clock, shift_random_),
        caller_monitor_(engine_),
        routing_synchronizer_(
            {.routing_address = settings.routing_address,
             .entry_address = settings.advertise.empty() ? settings.listen
                                                         : settings.advertise,
             .share_address = settings.share_listen,
             .incarnation = incarnation_,
             .failure_domain = FailureDomainName(settings.failure_domain)},
            {engine_, shifts_, keys_, capacity_, clock}),
        service_handler_({.host = host_,
                          .clock = clock,
                          .max_work = settings.longest_work,
                          .engine = engine_,
                          .keys = keys_,
                          .forwarder = forwarder_,
                          .shifts = shifts_,
                          .caller_monitor = caller_monitor_,
                          .telemetry = telemetry_,
                          .claims = &claim_worker_}),
        gauges_(metrics_,
                {.engine = engine_,
                 .keys = keys_,
                 .capacity = capacity_,
                 .claims = claim_worker_}),
        share_metrics_(metrics_, "share"),
        target_poller_(
            {.host = host_,
             .failure_domain = FailureDomainName(settings.failure_domain),
             .engine = engine_,
             .client = client_,
             .capacity = capacity_,
             .random = poll_random_,
             .clock = clock_}),
        endpoints_({.host = host_,
                    .engine = engine_,
                    .keys = keys_,
                    .routing_synchronizer = routing_synchronizer_,
                    .capacity = capacity_,
                    .metrics =
                        [this] {
                          gauges_.Refresh();
                          share_metrics_.Refresh();
                          return metrics_.FormatPrometheus();
                        }}),
        handler_(service_handler_, engine_, endpoints_),
        stop_(StopOptionsOf(settings.drain)) {}

  ~Impl() {
    // Listeners first: their threads use all other members.
    http_server_.reset();
    share_server_.reset();
    share_thread_.reset();
    seat_thread_.reset();
    routing_thread_.reset();
    poll_thread_.reset();
    client_.Stop();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::optional<EntryStartError> Open() {
    auto shares = ThriftServer::Start(
        {.address = settings_.share_listen,
         .threads = 1,
         .memory = client_memory_},
        std::make_shared<wire::SharesProcessor>(
            std::make_shared<ShareService>(host_, capacity_)));
    if (!IsOk(shares)) {
      return EntryStartError::kCannotListenForShares;
    }
    share_server_ = TakeValue(std::move(shares));

    const auto certificate = ReadTextFile(settings_.tls.certificate);
    const auto key = ReadTextFile(settings_.tls.key);
    if (!certificate || !key) {
      return EntryStartError::kInvalidTlsCredentials;
    }
    auto http = HttpServer::Start(
        {.address = settings_.listen,
         .threads = settings_.threads,
         .max_connections = settings_.max_connections,
         .idle_timeout = std::chrono::duration_cast<std::chrono::seconds>(
             settings_.idle_timeout),
         .memory = client_memory_,
         .tls_certificate_pem = *certificate,
         .tls_key_pem = *key},
        handler_);
    if (!IsOk(http)) {
      return ErrorOf(http) == ListenFailure::kBadTlsMaterial
                 ? EntryStartError::kInvalidTlsCredentials
                 : EntryStartError::kCannotListen;
    }
    http_server_ = TakeValue(std::move(http));
    gauges_.WatchListener(http_server_->Counters());
    share_metrics_.Watch(share_server_->Counters());
    StartThreads();
    return std::nullopt;
  }

  void Tick() {
    capacity_.RecordHeartbeat();
    caller_monitor_.Check();
    if (stop_.Phase() == process::StopPhase::kFinishing &&
        clock_.Now() >= AnswersDue()) {
      engine_.EndAll();
    }
    stop_.Advance(http_server_->Counters().in_flight, clock_.Now());
    if (stop_.Phase() == process::StopPhase::kFinishing) {
      handler_.StopAdmitting();
    }
    if (stop_.Phase() == process::StopPhase::kStopped) {
      ReturnSeats();
    }
  }

  void Reload(const EntrydSettings& settings) {
    SetLogLevel(settings.telemetry.log_level);
    tracer_.SetSampling(settings.telemetry.trace_sampling);
    const auto secrets = ParseKeySecrets(settings.key_secrets);
    if (!secrets || !IsOk(keys_.Rotate(*secrets))) {
      Log(LogLevel::kError, "key-secrets-refused");
    }
  }

  void RequestStop(int count) {
    routing_synchronizer_.AnnounceLeaving();
    http_server_->StartDraining();
    stop_.OnSignal(count, clock_.Now());
    service_handler_.AnswerBy(AnswersDue());
    if (count > 1) {
      engine_.EndAll();
    }
  }

  [[nodiscard]] const process::StopSequence& Stop() const { return stop_; }
  [[nodiscard]] std::uint16_t Port() const { return http_server_->Port(); }

 private:
  /// @return when callers must have their answers, once a stop was requested.
  [[nodiscard]] MonotonicTime AnswersDue() const {
    return stop_.LatestEnd(clock_.Now()) - kAnswerMargin;
  }

  void StartThreads() {
    routing_thread_ = std::make_unique<PeriodicThread>([this] {
      routing_synchronizer_.Synchronize();
      return Duration(std::chrono::milliseconds(250));
    });
    seat_thread_ = std::make_unique<PeriodicThread>([this] {
      capacity_.StepSeats(/*are_targets_reachable=*/AreTargetsReachable());
      const Duration period = capacity::SeatPollInterval(
          {.declared_seats = DeclaredSeats(),
           .is_settled =
               capacity_.HasSeat() && !capacity_.IsWaitingForSplit()});
      return FromSeconds(ToSeconds(period) *
                         (0.75 + 0.5 * seat_random_.NextUnit()));
    });
    poll_thread_ = std::make_unique<PeriodicThread>(
        [this] { return target_poller_.PollDueTargets(); });
    share_thread_ = std::make_unique<PeriodicThread>([this] {
      routing_synchronizer_.RefreshShares();
      if (const SharedRoutingTable routes = engine_.Routes()) {
        share_borrower_.SendDueMessages(
            *routes, routing_synchronizer_.SaturatedTargets());
      }
      return kShareExchangePeriod;
    });
  }

  /// @return whether a target of a sibling failure domain answers. If it does,
  /// a network partition can't be the reason why the hosts there do not answer.
  [[nodiscard]] bool AreTargetsReachable() {
    const SharedRoutingTable routes = engine_.Routes();
    if (!routes) {
      return false;
    }
    for (const auto& limit : routes->capacity.limits) {
      if (limit.failure_domain == FailureDomainName(settings_.failure_domain)) {
        continue;
      }
      for (const auto& [name, service] : routes->services) {
        const auto address = service.target_addresses.find(limit.target);
        if (address != service.target_addresses.end()) {
          return IsOk(client_.SendAndWait(
              {.url = "http://" + address->second + "/health",
               .timeout = std::chrono::milliseconds(300)}));
        }
      }
    }
    return false;
  }

  /// @return number of rows that one round of seat updates reads, of this
  /// failure domain and its siblings.
  [[nodiscard]] std::uint32_t DeclaredSeats() const {
    std::uint32_t seats = 0;
    if (const SharedRoutingTable routes = engine_.Routes()) {
      for (const auto& domain : routes->capacity.domains) {
        seats += domain.seats;
      }
    }
    return seats;
  }

  void ReturnSeats() {
    if (!std::exchange(are_seats_returned_, true)) {
      capacity_.ReleaseSeats();
      capacity_.StepSeats(/*are_targets_reachable=*/false);
    }
  }

  const EntrydSettings settings_;
  const ports::Clock& clock_;
  /// What all listeners share.
  const std::shared_ptr<ClientMemory> client_memory_ =
      std::make_shared<ClientMemory>(
          clock_,
          resources::MemoryLimits::Of(std::size_t{settings_.memory_mb} * 1024 *
                                      1024));
  const HostName host_;
  const std::uint64_t incarnation_;
  SystemRandom trace_random_;
  SystemRandom scheduler_random_;
  SystemRandom claim_random_;
  SystemRandom shift_random_;
  SystemRandom seat_random_;
  SystemRandom poll_random_;
  telemetry::MetricsRegistry metrics_;
  SpanOutput spans_;
  telemetry::Tracer tracer_;
  EntryTelemetry telemetry_;
  HttpClient client_;
  HttpPlatform platform_;
  catalogue::PlatformRateLimiter budget_;
  catalogue::RateLimitedTableStore table_store_;
  capacity::CapacityManager capacity_;
  ShareBorrower share_borrower_;
  RequestEngine engine_;
  IdempotencyGuard keys_;
  idempotency::DurableClaims claims_;
  ClaimWorker claim_worker_;
  HostForwarder forwarder_;
  ShiftChooser shifts_;
  CallerDisconnectMonitor caller_monitor_;
  RoutingSynchronizer routing_synchronizer_;
  ServiceRequestHandler service_handler_;
  EntryGauges gauges_;
  ThriftListenerMetrics share_metrics_;
  TargetPoller target_poller_;
  EntryOperatorEndpoints endpoints_;
  EntryHandler handler_;
  process::StopSequence stop_;
  bool are_seats_returned_ = false;
  std::unique_ptr<ThriftServer> share_server_;
  std::unique_ptr<HttpServer> http_server_;
  std::unique_ptr<PeriodicThread> routing_thread_;
  std::unique_ptr<PeriodicThread> seat_thread_;
  std::unique_ptr<PeriodicThread> share_thread_;
  std::unique_ptr<PeriodicThread> poll_thread_;
};

EntryNode::EntryNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

EntryNode::~EntryNode() = default;

Result<std::unique_ptr<EntryNode>, EntryStartError> EntryNode::Start(
    const EntrydSettings& settings,
    const ports::Clock& clock) {
  const auto secrets = ParseKeySecrets(settings.key_secrets);
  if (!secrets) {
    return EntryStartError::kInvalidKeySecrets;
  }
  auto impl = std::make_unique<Impl>(settings, *secrets, clock);
  if (const auto error = impl->Open()) {
    return *error;
  }
  return std::unique_ptr<EntryNode>(new EntryNode(std::move(impl)));
}

void EntryNode::Tick() {
  impl_->Tick();
}

void EntryNode::Reload(const EntrydSettings& settings) {
  impl_->Reload(settings);
}

void EntryNode::RequestStop(int count) {
  impl_->RequestStop(count);
}

process::StopPhase EntryNode::Phase() const {
  return impl_->Stop().Phase();
}

std::size_t EntryNode::Cut() const {
  return impl_->Stop().Cut();
}

std::uint16_t EntryNode::Port() const {
  return impl_->Port();
}

}  // namespace medlarcroft::adapters
