#include "node.h"

#include <algorithm>
#include <array>
#include <utility>

#include "adapters/process/descriptor_limit.h"
#include "adapters/process/log.h"
#include "medlarcroft/replication/store_outage.h"
#include "platform/operator_keys.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;
using membership::HostPhase;
using process::StopPhase;
using request_path::TargetChange;

constexpr Duration kTickPeriod = std::chrono::milliseconds(250);
// Callers repeat their look-up after this time, so it bounds how long they are
// sent to a host that has left or failed. A shorter time costs more look-ups.
constexpr Duration kLookupTimeToLive = std::chrono::milliseconds(1000);
// Some callers keep a look-up's result for three times its time to live.
constexpr Duration kAnnouncementPeriod = std::chrono::milliseconds(2800);
// Part of the stop limit that is reserved for an orderly exit, on a host that
// is slow or busy. What is left at its beginning is cut.
constexpr Duration kMinStopReserve = std::chrono::milliseconds(350);
constexpr int kStopReserveDivisor = 10;
// Part of the stop limit, before that reserve, in which responses of this host
// reach the callers whose targets have not answered.
constexpr int kAnswerMarginDivisor = 30;
// How often a stopping host looks whether all is delivered.
constexpr Duration kStopCheckPeriod = std::chrono::milliseconds(50);
// How long a starting host searches for hosts that read the tables for its
// region. All hosts may start at once, and hundreds of rows are then written
// one after the other. Each host that finds no reader reads all tables from the
// store.
constexpr Duration kReaderDiscoveryTimeout = std::chrono::milliseconds(1200);
constexpr Duration kReaderDiscoveryPollPeriod = std::chrono::milliseconds(20);
constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

// Memory that relays for other hosts may use, and what one of them holds: the
// request, the response and its connections.
constexpr std::size_t kRelayMemoryDivisor = 16;
constexpr std::size_t kBytesPerRelay = std::size_t{64} * 1024;
constexpr std::size_t kIdleRelayConnections = 8;
// Headers that this system adds to a request.
constexpr std::size_t kMaxAddedHeaderBytes = 4096;

// Length of the windows for which the bound on shifted requests holds.
constexpr Duration kShiftWindow = std::chrono::seconds(2);
// Part of that bound that is used by plan. Most of it is left for random
// fluctuation and for failure domains that fail and return. Besides, objects
// that move fast are processed anew more often than the free capacity elsewhere
// makes up for.
constexpr double kPlannedShiftFraction = 0.1;

constexpr std::array<std::string_view, 6> kStartFailureNames = {
    "caller-listener",  "readiness-listener", "lookup-listener",
    "metrics-listener", "peer-listener",      "peer-socket"};
constexpr std::array<std::string_view, 8> kBookChangeNames = {
    "added",   "updated",  "leaving",   "doubted",
    "removed", "returned", "restarted", "unreadable"};

request_path::DomainRegions RegionsOf(const adapters::NodeSettings& settings) {
  request_path::DomainRegions regions;
  for (const adapters::DomainRegion& place : settings.domains) {
    regions[FailureDomainName(place.domain)] = RegionName(place.region);
  }
  regions[FailureDomainName(settings.failure_domain)] =
      RegionName(settings.region);
  return regions;
}

replication::FollowBounds FollowBoundsOf(const adapters::NodeBounds& bounds) {
  return {.in_touch_after = bounds.in_touch_after,
          .changes_known_within = bounds.target_left_within,
          .target_heartbeat = bounds.target_heartbeat};
}

request_path::RequestPath::Options PathOptions(
    const adapters::NodeSettings& settings) {
  const adapters::NodeBounds& bounds = settings.bounds;
  return {.own_region = RegionName(settings.region),
          .retry_limit = {.ratio = bounds.attempt_ratio,
                          .fixed = static_cast<double>(bounds.attempt_extra),
                          .window = bounds.attempt_window},
          .cold_over = bounds.cold_over,
          .cold_extra = static_cast<double>(bounds.cold_extra),
          .region_plan = {.max_shift_per_second = kPlannedShiftFraction *
                                                  bounds.shift_most /
                                                  ToSeconds(kShiftWindow),
                          .balancing = {.fraction = bounds.shift_most,
                                        .window = kShiftWindow}}};
}

std::size_t MemoryPart(const adapters::NodeSettings& settings,
                       std::size_t divisor) {
  return settings.memory_mb * kMegabyte / divisor;
}

std::size_t MaxRelays(const adapters::NodeSettings& settings) {
  return MemoryPart(settings, kRelayMemoryDivisor) / kBytesPerRelay;
}

process::StopSequence::Options StopOptions(
    const adapters::NodeSettings& settings) {
  const Duration limit = settings.bounds.stop_limit;
  const Duration announce =
      std::min(kAnnouncementPeriod, (limit - kMinStopReserve) / 2);
  const Duration reserve =
      std::max(kMinStopReserve, limit / kStopReserveDivisor);
  return {.announce_time = announce,
          .finish_limit = limit - reserve - announce};
}

}  // namespace

std::string_view NameOf(StartFailure failure) {
  return kStartFailureNames.at(static_cast<std::size_t>(failure));
}

Node::Node(const adapters::NodeSettings& settings, adapters::EventLoop& loop)
    : settings_(settings),
      loop_(loop),
      resources_(adapters::ClientResources::Make(
          loop,
          resources::MemoryLimits::Of(settings_.memory_mb * kMegabyte),
          adapters::MaxDescriptors(settings_.max_descriptors))),
      regions_(RegionsOf(settings)),
      targets_(regions_, *this),
      path_(PathOptions(settings), routes_, targets_, random_),
      caller_(loop, {.memory = resources_.memory}),
      telemetry_(metrics_, loop.Clock()),
      spans_(settings_.telemetry,
             {.program = "medlar-node",
              .host = settings_.host,
              .failure_domain = settings_.failure_domain}),
      tracer_(loop.Clock(),
              random_,
              spans_.Exporter(),
              settings_.telemetry.trace_sampling),
      relay_caller_(loop,
                    {.max_idle_per_address = kIdleRelayConnections,
                     .memory = resources_.memory}),
      relay_sender_({.loop = loop,
                     .caller = relay_caller_,
                     .random = random_,
                     .metrics = metrics_,
                     .find_helpers =
                         [this](const RegionName& region) {
                           return peers_.Helpers(region);
                         }}),
      forwarder_(
          {.loop = loop,
           .caller = caller_,
           .path = path_,
           .codec = codec_,
           .telemetry = telemetry_,
           .tracer = tracer_,
           .on_placed =
               [this](const request_path::TargetIdentity& target,
                      const std::string& object) {
                 peers_.PublishPlacement(
                     {.target = request_path::NumberOf(target),
                      .object = request_path::ObjectKey(object)});
               },
           .on_load_report =
               [this](const request_path::TargetIdentity& target,
                      const request_path::LoadReport& report) {
                 peers_.PublishLoad(
                     {.target = request_path::NumberOf(target),
                      .requests = report.running + report.waiting});
               },
           .on_crash =
               [this](const adapters::InterruptedSend& interrupted) {
                 crash_sharing_.OnCrash(interrupted);
               },
           .has_room =
               [this] { return resources_.memory->MakeRoomForResponses(); },
           .relays = relay_sender_}),
      store_(loop,
             {.address = settings.store_address, .memory = resources_.memory},
             metrics_),
      peers_(settings_,
             {.loop = loop,
              .memory = resources_.memory,
              .store = store_,
              .random = random_,
              .metrics = metrics_,
              .regions = regions_,
              .on_placed =
                  [this](const peer_updates::PlacedObject& placed) {
                    path_.OnPlacedByOtherHost(placed.target, placed.object);
                  },
              .on_load =
                  [this](const peer_updates::ReportedLoad& load) {
                    path_.OnReportedLoad(load.target, load.requests,
                                         loop_.Now());
                  },
              .on_crash_report =
                  [this](const request_path::CrashReport& report) {
                    crash_sharing_.OnReport(report);
                  },
              .on_limit_report =
                  [this](const request_path::LimitReport& report) {
                    path_.OnLimitReport(report, loop_.Now());
                  },
              .on_token_request =
                  [this](quota::HostNumber sender,
                         const quota::TokenRequest& request) {
                    quota_sharing_.OnRequest(sender, request);
                  },
              .on_token_answer =
                  [this](quota::HostNumber sender,
                         const quota::TokenAnswer& answer) {
                    quota_sharing_.OnAnswer(sender, answer);
                  },
              .on_blocked_row =
                  [this](const replication::Row& row) {
                    crash_sharing_.OnRow(row);
                  }}),
      crash_sharing_({.loop = loop,
                      .store = store_,
                      .ledger = path_.Crashes(),
                      .peers = peers_,
                      .random = random_,
                      .metrics = metrics_}),
      limit_sharing_({.loop = loop,
                      .limits = path_.Limits(),
                      .targets = targets_,
                      .peers = peers_,
                      .metrics = metrics_}),
      quota_sharing_({.loop = loop,
                      .peers = peers_,
                      .random = random_,
                      .metrics = metrics_,
                      .bounds = {.window = settings_.bounds.quota_window,
                                 .overage = settings_.bounds.quota_overage,
                                 .slack = static_cast<double>(
                                     settings_.bounds.quota_slack)},
                      .on_tokens =
                          [this](const ClientAccountName& account) {
                            forwarder_.OnTokens(account);
                          }}),
      operator_listener_(loop,
                         routes_,
                         targets_,
                         metrics_,
                         [this] { OnConfiguration(); }),
      target_listener_(loop, targets_, metrics_),
      operator_follower_({.timers = loop,
                          .store = store_,
                          .random = random_,
                          .listener = operator_listener_},
                         FollowerOptions(platform::kOperatorTableName)),
      target_follower_({.timers = loop,
                        .store = store_,
                        .random = random_,
                        .listener = target_listener_},
                       FollowerOptions(platform::kTargetTableName)),
      readiness_handler_([this] { return IsReady(); }),
      lookup_handler_(
          [this](const FailureDomainName& domain) {
            return peers_.AddressesForCallers(domain);
          },
          std::min(kLookupTimeToLive, settings.bounds.lookup_time_to_live)),
      metrics_handler_(metrics_),
      row_server_(
          loop,
          [this](std::string_view table) { return FindFreshTable(table); }),
      mirror_handler_(row_server_),
      relay_handler_(
          {.loop = loop,
           .caller = caller_,
           .codec = codec_,
           .targets = targets_,
           .reach = path_.Reach(),
           .metrics = metrics_,
           .on_connected = [this] { path_.OnRelayConnected(loop_.Now()); },
           .on_connect_failed =
               [this](const request_path::TargetIdentity& target) {
                 path_.OnConnectFailed(target, loop_.Now());
               },
           .on_notice =
               [this](const request_path::TargetIdentity& target,
                      const request_path::TargetNotice& notice,
                      const std::string& request) {
                 path_.OnNotice(target, notice, request, loop_.Now());
               },
           .max_in_flight = MaxRelays(settings)}),
      reach_monitor_(loop, path_, FailureDomainName(settings.failure_domain)),
      peer_handler_(mirror_handler_, relay_handler_),
      stop_(StopOptions(settings)) {
  path_.EnforceQuotas(quota_sharing_.Enforcer());
  path_.SetShare(peers_.Sharing().Share());
}

std::optional<StartFailure> Node::Start() {
  std::vector<ListenerSpecification> specifications = {
      {settings_.caller_listen, forwarder_, caller_listener_,
       StartFailure::kCallerListener},
      {settings_.readiness_listen, readiness_handler_, readiness_listener_,
       StartFailure::kReadinessListener},
      {settings_.lookup_listen, lookup_handler_, lookup_listener_,
       StartFailure::kLookupListener},
      {settings_.peer_listen, peer_handler_, peer_listener_,
       StartFailure::kPeerListener}};
  if (!settings_.metrics_listen.empty()) {
    specifications.push_back({settings_.metrics_listen, metrics_handler_,
                              metrics_listener_,
                              StartFailure::kMetricsListener});
  }
  for (const ListenerSpecification& specification : specifications) {
    auto listener = adapters::HttpListener::Open(
        loop_, specification.address, specification.handler, resources_);
    if (!IsOk(listener)) {
      return specification.failure;
    }
    specification.listener = TakeValue(std::move(listener));
  }
  if (!peers_.Start()) {
    return StartFailure::kPeerSocket;
  }
  crash_sharing_.Start();
  limit_sharing_.Start();
  quota_sharing_.Start();
  for (replication::TableFollower* const follower :
       {&operator_follower_, &target_follower_, &peers_.Follower()}) {
    follower->Mirror().OnChange(
        [this, follower] { row_server_.OnChange(follower->Table()); });
  }
  StartFollowers(loop_.Now() + kReaderDiscoveryTimeout);
  RegisterGauges();
  loop_.Every(kTickPeriod, [this] { Tick(); });
  return std::nullopt;
}

replication::TableFollower::Options Node::FollowerOptions(
    const std::string& table) {
  const adapters::NodeBounds& bounds = settings_.bounds;
  std::optional<replication::RowExpiry> expiry;
  if (table == platform::kTargetTableName) {
    expiry = replication::RowExpiryFor(bounds.target_heartbeat,
                                       bounds.in_touch_after - kTickPeriod);
  }
  return {.table = table,
          .timing = replication::FollowTimingFor(1, FollowBoundsOf(bounds)),
          .expiry = expiry,
          .ask_peer =
              [this](const replication::RowsRequest& rows_request,
                     replication::RowsCallback callback) {
                peers_.Readers().AskSomeReader(rows_request,
                                               std::move(callback));
              },
          .ask_reader =
              [this](const replication::RowsRequest& rows_request,
                     replication::RowsCallback callback) {
                return peers_.Readers().AskReader(rows_request,
                                                  std::move(callback));
              }};
}

void Node::StartFollowers(MonotonicTime deadline) {
  if (!peers_.HasFoundReaders() && loop_.Now() < deadline) {
    loop_.After(kReaderDiscoveryPollPeriod,
                [this, deadline] { StartFollowers(deadline); });
    return;
  }
  UpdateFollowTiming();
  operator_follower_.Start();
  target_follower_.Start();
}

replication::FreshTable Node::FindFreshTable(std::string_view table) {
  for (replication::TableFollower* const follower :
       {&operator_follower_, &target_follower_, &peers_.Follower()}) {
    if (follower->Table() == table) {
      return follower->ServeFollowers();
    }
  }
  return {};
}

void Node::Reload(const adapters::NodeSettings& settings) {
  settings_.telemetry = settings.telemetry;
  adapters::SetLogLevel(settings.telemetry.log_level);
  tracer_.SetSampling(settings.telemetry.trace_sampling);
}

void Node::RequestStop(int signals) {
  const MonotonicTime now = loop_.Now();
  stop_.OnSignal(signals, now);
  const MonotonicTime answers_due =
      stop_.LatestEnd(now) - settings_.bounds.stop_limit / kAnswerMarginDivisor;
  forwarder_.AnswerBy(answers_due);
  relay_handler_.AnswerBy(answers_due);
  peers_.SetPhase(HostPhase::kLeaving);
  caller_listener_->StartDraining();
  relay_handler_.StopAccepting();
  AdvanceStop();
}

bool Node::IsReady() const {
  return stop_.Phase() == StopPhase::kServing && routes_.IsConfigured() &&
         target_follower_.HasTable();
}

void Node::Tick() {
  targets_.Advance(loop_.Now());
  peers_.UpdateShare();
  path_.SetShare(peers_.Sharing().Share());
  path_.Limits().SetHosts(peers_.LimitHosts(), loop_.Now());
  path_.Limits().Advance(loop_.Now());
  quota_sharing_.UpdateHosts();
  // If updates of the operator's table stop arriving, a request for a route
  // that was added meanwhile would be rejected, and its caller would not retry.
  // While a response of the store is overdue, a missing route may be an update
  // that has not arrived, so meanwhile the rejection names a time to retry.
  path_.SetConfigurationAge({.confirmed_at = operator_follower_.ConfirmedAt(),
                             .overdue_at = operator_follower_.OverdueAt()});
  path_.SetStoreAway(replication::IsAwayForAll(
      {.disconnected_for = operator_follower_.DisconnectedFor(),
       .refused_elsewhere_ago =
           peers_.Readers().RefusedElsewhereAgo(operator_follower_.Table())}));
  UpdateFollowTiming();
  UpdatePhase();
}

void Node::UpdateFollowTiming() {
  const replication::FollowTiming timing = replication::FollowTimingFor(
      peers_.HostsInRegion(), FollowBoundsOf(settings_.bounds));
  for (replication::TableFollower* const follower :
       {&operator_follower_, &target_follower_}) {
    follower->SetTiming(timing);
  }
}

void Node::UpdatePhase() {
  if (stop_.Phase() == StopPhase::kServing && IsReady()) {
    peers_.SetPhase(HostPhase::kReady);
  }
}

// Guards against a stop that drops answers: one that has left the forwarder may
// still wait for a slow caller, in this process or in the kernel. So the stop
// waits for what the connections owe, of callers and of the hosts that this one
// sends for.
void Node::AdvanceStop() {
  loop_.Cancel(stop_timer_);
  adapters::OwedResponses owed;
  for (const adapters::HttpListener* const listener :
       {caller_listener_.get(), peer_listener_.get(), lookup_listener_.get(),
        readiness_listener_.get()}) {
    owed += listener->MeasureOwed();
  }
  const StopPhase before = stop_.Phase();
  stop_.Advance(owed.WaitedFor(), loop_.Now());
  if (stop_.Phase() != before) {
    OnStopPhase(owed);
  }
  if (stop_.Phase() != StopPhase::kStopped) {
    stop_timer_ = loop_.After(kStopCheckPeriod, [this] { AdvanceStop(); });
  }
}

void Node::OnStopPhase(const adapters::OwedResponses& owed) {
  caller_listener_->StopAccepting();
  forwarder_.StopAcceptingRequests();
  if (stop_.Phase() != StopPhase::kStopped) {
    Log(LogLevel::kInfo, "stop-waits",
        {{"requests", owed.requests},
         {"responses", owed.responses},
         {"unread", owed.unread},
         {"given_up", owed.given_up},
         {"undelivered_bytes", owed.bytes}});
    return;
  }
  Log(LogLevel::kInfo, "stopped",
      {{"requests_cut", stop_.Cut()},
       {"given_up", owed.given_up},
       {"undelivered_bytes", owed.bytes}});
  loop_.Finish(0);
}

void Node::OnConfiguration() {
  quota_sharing_.SetAccounts(routes_.Accounts().Accounts());
  const routing::CallerLimits& limits = routes_.Limits();
  caller_listener_->SetLimits({.max_header_bytes = limits.max_header_bytes,
                               .max_body_bytes = limits.max_body_bytes,
                               .header_timeout = limits.header_timeout,
                               .idle_timeout = limits.idle_timeout});
  // A relayed request comes with its head in the body.
  peer_listener_->SetLimits({.max_body_bytes = limits.max_body_bytes +
                                               limits.max_header_bytes +
                                               kMaxAddedHeaderBytes});
}

void Node::OnTargetChange(TargetChange change,
                          const request_path::TargetRecord& target) {
  Log(LogLevel::kInfo, "target-changed",
      {{"change", kBookChangeNames.at(static_cast<std::size_t>(change))},
       {"target", target.id.Value()},
       {"incarnation", target.incarnation},
       {"service", target.service.Value()},
       {"address", target.address},
       {"domain", target.domain.Value()},
       {"cold_remaining_ms", ToMilliseconds(target.cold_remaining)}});
}

}  // namespace medlarcroft::node
