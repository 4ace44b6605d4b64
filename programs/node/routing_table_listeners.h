#ifndef MEDLARCROFT_PROGRAMS_NODE_ROUTING_TABLE_LISTENERS_H_
#define MEDLARCROFT_PROGRAMS_NODE_ROUTING_TABLE_LISTENERS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "adapters/event/event_loop.h"
#include "logging_table_listener.h"
#include "medlarcroft/request_path/target_directory.h"
#include "medlarcroft/routing/route_table.h"

namespace medlarcroft::node {

/// @brief Brings the operator's rows into force: the configuration and the
/// domains that are evacuated.
class OperatorTableListener final : public LoggingTableListener {
 public:
  OperatorTableListener(adapters::EventLoop& loop,
                        routing::RouteTable& routes,
                        request_path::TargetDirectory& targets,
                        std::function<void()> on_configuration)
      : LoggingTableListener("operator"),
        loop_(loop),
        routes_(routes),
        targets_(targets),
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
  std::function<void()> on_configuration_;
  std::set<FailureDomainName> evacuated_;
};

/// @brief Brings the targets' registry into the book.
class TargetTableListener final : public LoggingTableListener {
 public:
  TargetTableListener(adapters::EventLoop& loop,
                      request_path::TargetDirectory& targets)
      : LoggingTableListener("targets"), loop_(loop), targets_(targets) {}

  void OnTable(std::span<const replication::Row> rows) override;
  void OnRows(std::span<const replication::Row> rows) override;
  void OnStoreRecovered(Duration away) override;

 private:
  /// @return what a row says of its target; nothing when it can't be read.
  [[nodiscard]] std::optional<request_path::TargetRecord> Decode(
      const replication::Row& row);
  /// @return until when a missing entry may only have lapsed.
  [[nodiscard]] std::optional<MonotonicTime> DoubtedUntil() const;

  adapters::EventLoop& loop_;
  request_path::TargetDirectory& targets_;
  std::optional<MonotonicTime> back_at_;
  // The version of each unreadable entry that was logged: a table that is read
  // again and again shows it each time.
  std::map<std::string, std::uint64_t> unreadable_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_ROUTING_TABLE_LISTENERS_H_
