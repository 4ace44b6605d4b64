#include "unreadable_entry.h"

#include "adapters/process/log.h"

namespace medlarcroft::node {

namespace {

constexpr telemetry::MetricDescription kUnreadableEntries = {
    "medlar_unreadable_entries_total",
    "Entries of tables that could not be decoded, by the event in the log."};

}  // namespace

void ReportUnreadable(telemetry::MetricsRegistry& metrics,
                      std::string_view event,
                      const replication::Row& row,
                      const platform::DecodeError& fault) {
  metrics
      .CounterOf(kUnreadableEntries,
                 {telemetry::Label::OfConstant("event", event)})
      .Add();
  adapters::Log(adapters::LogLevel::kWarning, event,
                {{"key", row.key},
                 {"row_version", row.version},
                 {"field", fault.field},
                 {"problem", platform::NameOf(fault.problem)}});
}

}  // namespace medlarcroft::node
