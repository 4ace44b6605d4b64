#ifndef MEDLARCROFT_PROGRAMS_NODE_ROUTING_TABLE_LISTENERS_H_
#define MEDLARCROFT_PROGRAMS_NODE_ROUTING_TABLE_LISTENERS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "adapters/event/event_loop.h"
#include "logging_table_listener.h"
#include "medlarcroft/ports/timers.h"
#include "medlarcroft/request_path/target_directory.h"
#include "medlarcroft/routing/route_table.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::node {

/// @brief Applies the operator's rows: the configuration and the evacuated
/// failure domains.
class OperatorTableListener final : public LoggingTableListener {
 public:
  OperatorTableListener(adapters::EventLoop& loop,
                        routing::RouteTable& routes,
                        request_path::TargetDirectory& targets,
                        telemetry::MetricsRegistry& metrics,
                        std::function<void()> on_configuration)
      : LoggingTableListener("operator"),
        loop_(loop),
        routes_(routes),
        targets_(targets),
        metrics_(metrics),
        on_configuration_(std::move(on_configuration)) {}

  void OnTable(std::span<const replication::Row> rows) override;
  void OnRows(std::span<const replication::Row> rows) override;

 private:
  void Apply(const replication::Row& row);
  void ApplyConfiguration(const replication::Row& row);
  void PublishEvacuated();

  adapters::EventLoop& loop_;
  routing::RouteTable& routes_;
  request_path::TargetDirectory& targets_;
  telemetry::MetricsRegistry& metrics_;
  std::function<void()> on_configuration_;
  std::set<FailureDomainName> evacuated_;
};

/// @brief Applies the rows of the target registry to the known targets.
class TargetTableListener final : public LoggingTableListener {
 public:
  TargetTableListener(ports::Timers& timers,
                      request_path::TargetDirectory& targets,
                      telemetry::MetricsRegistry& metrics)
      : LoggingTableListener("targets"),
        timers_(timers),
        targets_(targets),
        metrics_(metrics) {}

  void OnTable(std::span<const replication::Row> rows) override;
  void OnRows(std::span<const replication::Row> rows) override;
  void OnExpiryKnown(std::optional<MonotonicTime> until) override;

 private:
  /// @return the decoded target entry, or nullopt when it can't be decoded.
  [[nodiscard]] std::optional<request_path::TargetRecord> Decode(
      const replication::Row& row);
  /// @return until when a missing entry may only have expired during an outage
  /// of the store; nullopt: it was removed.
  [[nodiscard]] std::optional<MonotonicTime> ExpiryEnd() const;

  ports::Timers& timers_;
  request_path::TargetDirectory& targets_;
  telemetry::MetricsRegistry& metrics_;
  std::optional<MonotonicTime> expiry_end_;  ///< As last reported.
  // Versions of the unreadable entries that were logged. Each entry is logged
  // once, although it is seen each time the table is read.
  std::map<std::string, std::uint64_t> logged_unreadable_versions_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_ROUTING_TABLE_LISTENERS_H_
