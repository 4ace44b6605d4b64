#ifndef MEDLARCROFT_PROGRAMS_NODE_LOGGED_TABLE_H_
#define MEDLARCROFT_PROGRAMS_NODE_LOGGED_TABLE_H_

#include <string_view>

#include "adapters/process/log.h"
#include "medlarcroft/rows/table_follower.h"

namespace medlarcroft::node {

/// @brief Writes a line when a table's news stops coming, comes again, or has
/// to be read by this host itself.
class LoggedTable : public rows::TableListener {
 public:
  /// @param name of the table, in the log.
  explicit LoggedTable(std::string_view name) : name_(name) {}

  void OnCallFailed(const rows::FailedCall& call) override {
    adapters::Log(adapters::LogLevel::kWarning,
                  call.is_first ? "store-lost" : "store-call-failed",
                  {{"table", name_},
                   {"reason", NameOf(call.failure)},
                   {"call_ms", ToMilliseconds(call.call_time)},
                   {"known_version", call.known_version}});
  }
  void OnStoreBack(Duration away) override {
    adapters::Log(adapters::LogLevel::kInfo, "store-back",
                  {{"table", name_}, {"away_ms", ToMilliseconds(away)}});
  }
  void OnReaderLost(rows::RowFailure failure,
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

#endif  // MEDLARCROFT_PROGRAMS_NODE_LOGGED_TABLE_H_
