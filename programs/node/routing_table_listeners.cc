#include "routing_table_listeners.h"

#include <string_view>
#include <utility>
#include <vector>

#include "adapters/process/log.h"
#include "platform/configuration_decoder.h"
#include "platform/operator_keys.h"
#include "unreadable_entry.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;

void LogUnknownKinds(const routing::RoutingConfiguration& configuration) {
  for (const routing::Route& route : configuration.routes) {
    if (route.unknown_kind) {
      Log(LogLevel::kWarning, "route-kind-unknown",
          {{"route", route.name},
           {"kind", *route.unknown_kind},
           {"version", configuration.version},
           {"served_as", "non-idempotent"}});
    }
  }
}

}  // namespace

void OperatorTableListener::OnTable(std::span<const replication::Row> rows) {
  evacuated_.clear();
  for (const replication::Row& row : rows) {
    Apply(row);
  }
  PublishEvacuated();
}

void OperatorTableListener::OnRows(std::span<const replication::Row> rows) {
  for (const replication::Row& row : rows) {
    Apply(row);
  }
  PublishEvacuated();
}

void OperatorTableListener::Apply(const replication::Row& row) {
  if (platform::IsConfigurationKey(row.key)) {
    ApplyConfiguration(row);
    return;
  }
  const auto domain = platform::ParseEvacuationKey(row.key);
  if (!domain) {
    return;
  }
  Log(LogLevel::kInfo, row.is_removed ? "evacuation-ended" : "evacuation-began",
      {{"domain", domain->Value()}, {"row_version", row.version}});
  if (row.is_removed) {
    evacuated_.erase(*domain);
  } else {
    evacuated_.insert(*domain);
  }
}

void OperatorTableListener::ApplyConfiguration(const replication::Row& row) {
  // A configuration is never withdrawn: the active one stays in force.
  if (row.is_removed) {
    return;
  }
  auto configuration = platform::DecodeConfiguration(row.value);
  if (!IsOk(configuration)) {
    ReportUnreadable(metrics_, "configuration-unreadable", row,
                     ErrorOf(configuration));
    return;
  }
  const std::uint64_t version = ValueOf(configuration).version;
  const std::uint64_t before = routes_.Version();
  if (version > before) {
    LogUnknownKinds(ValueOf(configuration));
  }
  for (const routing::ServiceRules& service : ValueOf(configuration).services) {
    targets_.SetColdTime(service.name, service.cold_time);
  }
  if (!routes_.Apply(TakeValue(std::move(configuration)))) {
    return;
  }
  Log(LogLevel::kInfo, "configuration-in-force",
      {{"version", version}, {"before", before}, {"row_version", row.version}});
  on_configuration_();
}

void OperatorTableListener::PublishEvacuated() {
  targets_.SetEvacuated(evacuated_, loop_.Now());
}

void TargetTableListener::OnTable(std::span<const replication::Row> rows) {
  std::vector<request_path::TargetRecord> targets;
  std::vector<TargetName> unreadable;
  for (const replication::Row& row : rows) {
    if (auto target = Decode(row)) {
      targets.push_back(std::move(*target));
    } else {
      unreadable.emplace_back(row.key);
    }
  }
  targets_.ReplaceAll(targets, unreadable, ExpiryEnd(), timers_.Now());
}

void TargetTableListener::OnRows(std::span<const replication::Row> rows) {
  const MonotonicTime now = timers_.Now();
  for (const replication::Row& row : rows) {
    if (row.is_removed) {
      logged_unreadable_versions_.erase(row.key);
      targets_.Remove(TargetName(row.key), ExpiryEnd());
    } else if (const auto target = Decode(row)) {
      targets_.Put(*target, now);
    } else {
      targets_.Suspend(TargetName(row.key));
    }
  }
}

std::optional<request_path::TargetRecord> TargetTableListener::Decode(
    const replication::Row& row) {
  auto target = platform::DecodeTargetEntry(row.key, row.value);
  if (IsOk(target)) {
    logged_unreadable_versions_.erase(row.key);
    return TakeValue(std::move(target));
  }
  const auto [logged, is_new] =
      logged_unreadable_versions_.try_emplace(row.key, row.version);
  if (is_new || logged->second != row.version) {
    logged->second = row.version;
    ReportUnreadable(metrics_, "target-entry-unreadable", row, ErrorOf(target));
  }
  return std::nullopt;
}

std::optional<MonotonicTime> TargetTableListener::ExpiryEnd() const {
  const bool is_over = expiry_end_ && timers_.Now() >= *expiry_end_;
  return is_over ? std::nullopt : expiry_end_;
}

void TargetTableListener::OnExpiryKnown(std::optional<MonotonicTime> until) {
  const MonotonicTime now = timers_.Now();
  expiry_end_ = until;
  targets_.LimitRetention(until.value_or(now), now);
  Log(LogLevel::kInfo, "entries-may-have-expired",
      {{"for_ms", ToMilliseconds(until ? *until - now : Duration(0))}});
}

}  // namespace medlarcroft::node
