#include "adapters/steer/steer_node.h"

#include <array>
#include <sstream>
#include <thread>
#include <utility>

#include "adapters/http/http_server.h"
#include "adapters/http/operator_routes.h"
#include "adapters/peer/thrift_listener_metrics.h"
#include "adapters/peer/thrift_server.h"
#include "adapters/platform/http_platform.h"
#include "adapters/process/log.h"
#include "adapters/process/system_random.h"
#include "adapters/process/text_file.h"
#include "adapters/process/worker_thread.h"
#include "adapters/steer/catalogue_sync.h"
#include "adapters/steer/key_pool.h"
#include "adapters/steer/peer_exchanger.h"
#include "adapters/steer/peer_service.h"
#include "adapters/steer/platform_poller.h"
#include "adapters/steer/routing_service.h"
#include "adapters/steer/steer_core.h"
#include "adapters/steer/steer_handler.h"
#include "adapters/steer/steer_pages.h"
#include "adapters/steer/steer_telemetry.h"
#include "medlarcroft/catalogue/catalogue_poller.h"
#include "medlarcroft/catalogue/catalogue_reader.h"
#include "medlarcroft/catalogue/catalogue_replica.h"
#include "medlarcroft/catalogue/catalogue_store.h"
#include "medlarcroft/catalogue/operator_api.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::array<std::string_view, 4> kFailureNames = {
    "cannot listen for look-ups", "cannot listen for peers",
    "cannot listen for entryd's routing calls",
    "invalid TLS certificate or key"};

SteerIdentity IdentityOf(const SteerdSettings& settings) {
  return {.host = HostName(settings.host),
          .failure_domain = FailureDomainName(settings.failure_domain),
          .lookup_address = settings.lookup_listen,
          .peer_address = settings.peer_listen,
          .entry_address = settings.entry_address};
}

catalogue::PlatformRateLimiter::Options BudgetOf(
    const SteerdSettings& settings) {
  constexpr double kSecondsPerMinute = 60.0;
  return {.reads_per_second =
              static_cast<double>(settings.budgets.platform_reads_per_minute) /
              kSecondsPerMinute,
          .writes_per_second =
              static_cast<double>(settings.budgets.platform_writes_per_minute) /
              kSecondsPerMinute};
}

membership::ExchangePacing PacingOf(const SteerdSettings& settings) {
  constexpr double kExchangeBudgetFraction = 0.5;
  return membership::PacingFor(
      {.bytes_per_second =
           kExchangeBudgetFraction *
           static_cast<double>(settings.budgets.peer_bytes_per_second)});
}

process::StopSequence::Options StopOptionsOf(const DrainSettings& drain) {
  return {.announce_time = drain.pause,
          .finish_limit = std::max(drain.limit - drain.pause,
                                   Duration(std::chrono::seconds(1)))};
}

std::vector<OperatorToken> TokensOf(const SteerdSettings& settings) {
  std::vector<OperatorToken> tokens;
  for (const OperatorSettings& each : settings.operators) {
    tokens.push_back({.token = each.token, .owner = OwnerName(each.owner)});
  }
  return tokens;
}

/// @return an id for a change whose operator chose none. It is random, so that
/// no two hosts generate the same one.
std::string MakeChangeId(ports::RandomSource& random) {
  std::ostringstream text;
  text << "auto-" << std::hex << random.Next() << random.Next();
  return text.str();
}

}  // namespace

std::string_view NameOf(SteerStartFailure failure) {
  return kFailureNames.at(static_cast<std::size_t>(failure));
}

class SteerNode::Impl {
 public:
  Impl(const SteerdSettings& settings, const ports::Clock& clock)
      : settings_(settings),
        clock_(clock),
        platform_({.base_url = settings.platform_url,
                   .timeout = settings.platform_timeout}),
        budget_(BudgetOf(settings), clock),
        table_(platform_, budget_),
        objects_(platform_, budget_),
        reader_(table_, objects_),
        replica_({}, clock),
        catalogue_poller_({},
                          {reader_, replica_, clock, catalogue_poller_random_}),
        store_({},
               {platform_, platform_, clock, store_random_,
                [](Duration pause) { std::this_thread::sleep_for(pause); }}),
        core_(IdentityOf(settings), clock, core_random_),
        catalogue_sync_(replica_,
                        [this](catalogue::SharedCatalogueView view) {
                          Log(LogLevel::kInfo, "catalogue-applied",
                              {{"revision", view->Revision()}});
                          core_.ApplyCatalogue(std::move(view));
                        }),
        exchanger_({.own_address = settings.peer_listen,
                    .bootstrap = settings.peers,
                    .pacing = PacingOf(settings)},
                   core_,
                   catalogue_sync_,
                   exchange_random_),
        platform_poller_({.core = core_,
                          .relay = catalogue_poller_,
                          .catalogue_sync = catalogue_sync_,
                          .hosts = platform_,
                          .budget = budget_,
                          .table = table_,
                          .objects = objects_,
                          .clock = clock}),
        operator_api_({store_, replica_,
                       [this] { return MakeChangeId(change_id_random_); }}),
        operator_routes_({.tokens = TokensOf(settings)}, operator_api_),
        telemetry_({.core = core_,
                    .replica = replica_,
                    .budget = budget_,
                    .exchanges = exchanger_.Counters()}),
        peer_metrics_(telemetry_.Registry(), "peer"),
        routing_metrics_(telemetry_.Registry(), "routing"),
        pages_({.core = core_,
                .replica = replica_,
                .budget = budget_,
                .clock = clock,
                .metrics =
                    [this] {
                      peer_metrics_.Refresh();
                      routing_metrics_.Refresh();
                      return telemetry_.FormatPrometheus();
                    }}),
        handler_({.core = core_,
                  .keys = keys_,
                  .operators = operator_routes_,
                  .worker = operator_worker_,
                  .pages = pages_,
                  .telemetry = telemetry_,
                  .clock = clock}),
        stop_sequence_(StopOptionsOf(settings.drain)) {}

  ~Impl() {
    // The listeners go first: their threads use all other components.
    http_server_.reset();
    peer_server_.reset();
    routing_server_.reset();
    exchange_thread_.reset();
    platform_thread_.reset();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::optional<SteerStartFailure> Open() {
    auto routing = ThriftServer::Start(
        {.address = settings_.routing_listen,
         .threads = 1,
         .max_connections = 8,
         .memory = client_memory_},
        std::make_shared<wire::RoutingProcessor>(
            std::make_shared<RoutingService>(core_, keys_)));
    if (!IsOk(routing)) {
      return SteerStartFailure::kCannotListenForRouting;
    }
    routing_server_ = TakeValue(std::move(routing));

    auto peers = ThriftServer::Start(
        {.address = settings_.peer_listen, .memory = client_memory_},
        std::make_shared<wire::PeerProcessor>(std::make_shared<PeerService>(
            core_, catalogue_sync_, PacingOf(settings_).message_bytes)));
    if (!IsOk(peers)) {
      return SteerStartFailure::kCannotListenForPeers;
    }
    peer_server_ = TakeValue(std::move(peers));

    const auto certificate = ReadTextFile(settings_.lookup_tls.certificate);
    const auto key = ReadTextFile(settings_.lookup_tls.key);
    if (!certificate || !key) {
      return SteerStartFailure::kBadTlsMaterial;
    }
    auto http = HttpServer::Start({.address = settings_.lookup_listen,
                                   .threads = settings_.threads,
                                   .max_connections = settings_.max_connections,
                                   .memory = client_memory_,
                                   .tls_certificate_pem = *certificate,
                                   .tls_key_pem = *key},
                                  handler_);
    if (!IsOk(http)) {
      return ErrorOf(http) == ListenFailure::kBadTlsMaterial
                 ? SteerStartFailure::kBadTlsMaterial
                 : SteerStartFailure::kCannotListenForLookups;
    }
    http_server_ = TakeValue(std::move(http));
    telemetry_.WatchListener(http_server_->Counters());
    peer_metrics_.Watch(peer_server_->Counters());
    routing_metrics_.Watch(routing_server_->Counters());

    const Duration period = PacingOf(settings_).period;
    exchange_thread_ = std::make_unique<PeriodicThread>([this, period] {
      exchanger_.RunRound();
      // Jitter keeps hosts that started together from calling at the same time.
      return FromSeconds(ToSeconds(period) *
                         (0.75 + 0.5 * exchange_random_.NextUnit()));
    });
    platform_thread_ = std::make_unique<PeriodicThread>(
        [this] { return platform_poller_.PollDue(); });
    return std::nullopt;
  }

  void Tick() {
    catalogue_sync_.Publish();
    core_.Tick();
    stop_sequence_.Advance(http_server_->Counters().in_flight, clock_.Now());
  }

  void Reload(const SteerdSettings& settings) {
    SetLogLevel(settings.telemetry.log_level);
  }

  void RequestStop(int count) {
    core_.AnnounceLeaving();
    http_server_->StartDraining();
    stop_sequence_.OnSignal(count, clock_.Now());
  }

  [[nodiscard]] const process::StopSequence& Stop() const {
    return stop_sequence_;
  }

 private:
  const SteerdSettings settings_;
  const ports::Clock& clock_;
  /// What all listeners share.
  const std::shared_ptr<ClientMemory> client_memory_ =
      std::make_shared<ClientMemory>(
          clock_,
          resources::MemoryLimits::Of(std::size_t{settings_.memory_mb} * 1024 *
                                      1024));
  SystemRandom catalogue_poller_random_;
  SystemRandom store_random_;
  SystemRandom core_random_;
  SystemRandom exchange_random_;
  SystemRandom change_id_random_;  // Used on `operator_worker_` only.
  HttpPlatform platform_;
  catalogue::PlatformRateLimiter budget_;
  catalogue::RateLimitedTableStore table_;
  catalogue::RateLimitedObjectStore objects_;
  catalogue::CatalogueReader reader_;
  catalogue::CatalogueReplica replica_;
  catalogue::CataloguePoller catalogue_poller_;
  catalogue::CatalogueStore store_;
  SteerCore core_;
  KeyPool keys_;
  CatalogueSync catalogue_sync_;
  PeerExchanger exchanger_;
  PlatformPoller platform_poller_;
  catalogue::OperatorApi operator_api_;
  OperatorRoutes operator_routes_;
  WorkerThread operator_worker_;
  SteerTelemetry telemetry_;
  ThriftListenerMetrics peer_metrics_;
  ThriftListenerMetrics routing_metrics_;
  SteerPages pages_;
  SteerHandler handler_;
  process::StopSequence stop_sequence_;
  std::unique_ptr<ThriftServer> routing_server_;
  std::unique_ptr<ThriftServer> peer_server_;
  std::unique_ptr<HttpServer> http_server_;
  std::unique_ptr<PeriodicThread> exchange_thread_;
  std::unique_ptr<PeriodicThread> platform_thread_;
};

SteerNode::SteerNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

SteerNode::~SteerNode() = default;

Result<std::unique_ptr<SteerNode>, SteerStartFailure> SteerNode::Start(
    const SteerdSettings& settings,
    const ports::Clock& clock) {
  auto impl = std::make_unique<Impl>(settings, clock);
  if (const auto failure = impl->Open()) {
    return *failure;
  }
  return std::unique_ptr<SteerNode>(new SteerNode(std::move(impl)));
}

void SteerNode::Tick() {
  impl_->Tick();
}

void SteerNode::Reload(const SteerdSettings& settings) {
  impl_->Reload(settings);
}

void SteerNode::RequestStop(int count) {
  impl_->RequestStop(count);
}

process::StopPhase SteerNode::Phase() const {
  return impl_->Stop().Phase();
}

std::size_t SteerNode::Cut() const {
  return impl_->Stop().Cut();
}

}  // namespace medlarcroft::adapters
