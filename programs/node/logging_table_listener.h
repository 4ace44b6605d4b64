#ifndef MEDLARCROFT_PROGRAMS_NODE_LOGGING_TABLE_LISTENER_H_
#define MEDLARCROFT_PROGRAMS_NODE_LOGGING_TABLE_LISTENER_H_

#include <string_view>

#include "adapters/process/log.h"
#include "medlarcroft/replication/table_follower.h"

namespace medlarcroft::node {

/// @brief Logs when updates of a table stop, when they resume, and when this
/// host has to read the table from the store itself.
class LoggingTableListener : public replication::TableListener {
 public:
  /// @param name name of the table in log lines.
  explicit LoggingTableListener(std::string_view name) : name_(name) {}

  void OnCallFailed(const replication::FailedCall& call) override {
    adapters::Log(adapters::LogLevel::kWarning,
                  call.is_first ? "store-lost" : "store-call-failed",
                  {{"table", name_},
                   {"reason", NameOf(call.failure)},
                   {"call_ms", ToMilliseconds(call.call_time)},
                   {"known_version", call.known_version}});
  }
  void OnStoreRecovered(Duration away) override {
    adapters::Log(adapters::LogLevel::kInfo, "store-back",
                  {{"table", name_}, {"away_ms", ToMilliseconds(away)}});
  }
  void OnReaderLost(replication::RowFailure failure,
                    std::uint64_t known_version) override {
    adapters::Log(adapters::LogLevel::kInfo, "reader-lost",
                  {{"table", name_},
                   {"reason", NameOf(failure)},
                   {"known_version", known_version}});
  }

 private:
  std::string_view name_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_LOGGING_TABLE_LISTENER_H_
