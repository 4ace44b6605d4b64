#ifndef MEDLARCROFT_PROGRAMS_NODE_UNREADABLE_ENTRY_H_
#define MEDLARCROFT_PROGRAMS_NODE_UNREADABLE_ENTRY_H_

#include <string_view>

#include "medlarcroft/replication/table_follower.h"
#include "medlarcroft/telemetry/metrics.h"
#include "platform/decode_error.h"

namespace medlarcroft::node {

/// @brief Logs and counts an entry of a table that can't be decoded.
/// @param event name of the log line.
void ReportUnreadable(telemetry::MetricsRegistry& metrics,
                      std::string_view event,
                      const replication::Row& row,
                      const platform::DecodeError& fault);

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_UNREADABLE_ENTRY_H_
