#ifndef MEDLARCROFT_PROGRAMS_NODE_NODE_H_
#define MEDLARCROFT_PROGRAMS_NODE_NODE_H_

#include <memory>
#include <optional>
#include <string_view>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_listener.h"
#include "adapters/forward/reach_monitor.h"
#include "adapters/forward/relay_handler.h"
#include "adapters/forward/request_forwarder.h"
#include "adapters/process/node_settings.h"
#include "adapters/process/span_output.h"
#include "adapters/process/system_random.h"
#include "crash_sharing.h"
#include "limit_sharing.h"
#include "medlarcroft/process/stop_sequence.h"
#include "medlarcroft/request_path/request_path.h"
#include "medlarcroft/telemetry/metrics.h"
#include "medlarcroft/telemetry/tracer.h"
#include "metrics_handler.h"
#include "peer_group.h"
#include "peer_request_handler.h"
#include "platform/mirror_handler.h"
#include "platform/platform_codec.h"
#include "platform/platform_handlers.h"
#include "quota_sharing.h"
#include "routing_table_listeners.h"

namespace medlarcroft::node {

/// @brief Why a node failed to start.
enum class StartFailure {
  kCallerListener,
  kReadinessListener,
  kLookupListener,
  kMetricsListener,
  kPeerListener,
  kPeerSocket,
};

[[nodiscard]] std::string_view NameOf(StartFailure failure);

/// @brief One host on the platform. Serves look-ups, readiness probes and
/// callers' requests from arrival to response, in one process and on one
/// thread.
class Node final : public request_path::TargetDirectoryObserver {
 public:
  Node(const adapters::NodeSettings& settings, adapters::EventLoop& loop);

  [[nodiscard]] std::optional<StartFailure> Start();
  void Reload(const adapters::NodeSettings& settings);
  /// @param signals number of termination signals received so far.
  void RequestStop(int signals);

  void OnTargetChange(request_path::TargetChange change,
                      const request_path::TargetRecord& target) override;
  void OnRestStarted(const request_path::TargetIdentity& target,
                     Duration length,
                     std::string_view request) override;
  void OnRestEnded(const request_path::TargetIdentity& target) override;
  void OnLeavingStated(const request_path::TargetIdentity& target,
                       std::string_view request) override;

 private:
  struct ListenerSpecification {
    const std::string& address;
    adapters::HttpRequestHandler& handler;
    std::unique_ptr<adapters::HttpListener>& listener;
    StartFailure failure;
  };

  [[nodiscard]] replication::TableFollower::Options FollowerOptions(
      const std::string& table);
  /// @return the rows of a table while this host receives them from the store
  /// itself.
  [[nodiscard]] replication::FreshTable FindFreshTable(std::string_view table);
  /// @brief Starts to follow the tables as soon as the hosts that may read them
  /// for this one are known, at the latest at `deadline`.
  void StartFollowers(MonotonicTime deadline);
  [[nodiscard]] bool IsReady() const;
  void Tick();
  void UpdateFollowTiming();
  void OnConfiguration();
  void UpdatePhase();
  /// @brief Advances a planned stop, again and again until it has ended.
  void AdvanceStop();
  void OnStopPhase(const adapters::OwedResponses& owed);
  void RegisterGauges();

  adapters::NodeSettings settings_;
  adapters::EventLoop& loop_;
  /// What all ports, sends and relays share.
  adapters::ClientResources resources_;
  adapters::SystemRandom random_;
  telemetry::MetricsRegistry metrics_;
  request_path::DomainRegions regions_;
  routing::RouteTable routes_;
  request_path::TargetDirectory targets_;
  request_path::RequestPath path_;
  platform::PlatformCodec codec_;
  adapters::EventHttpClient caller_;
  adapters::RequestTelemetry telemetry_;
  adapters::SpanOutput spans_;
  telemetry::Tracer tracer_;
  /// For requests to other hosts; apart, so that their connections neither
  /// use up nor wait for those to targets.
  adapters::EventHttpClient relay_caller_;
  adapters::RelaySender relay_sender_;
  adapters::RequestForwarder forwarder_;
  platform::StoreClient store_;
  PeerGroup peers_;
  CrashSharing crash_sharing_;
  LimitSharing limit_sharing_;
  QuotaSharing quota_sharing_;
  OperatorTableListener operator_listener_;
  TargetTableListener target_listener_;
  replication::TableFollower operator_follower_;
  replication::TableFollower target_follower_;
  platform::ReadinessHandler readiness_handler_;
  platform::LookupHandler lookup_handler_;
  MetricsHandler metrics_handler_;
  replication::TableServer row_server_;
  platform::MirrorHandler mirror_handler_;
  adapters::RelayHandler relay_handler_;
  adapters::ReachMonitor reach_monitor_;
  PeerRequestHandler peer_handler_;
  process::StopSequence stop_;
  adapters::TimerId stop_timer_ = 0;
  std::unique_ptr<adapters::HttpListener> caller_listener_;
  std::unique_ptr<adapters::HttpListener> readiness_listener_;
  std::unique_ptr<adapters::HttpListener> lookup_listener_;
  std::unique_ptr<adapters::HttpListener> metrics_listener_;
  std::unique_ptr<adapters::HttpListener> peer_listener_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_NODE_H_
