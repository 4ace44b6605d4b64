#include "adapters/steer/steer_telemetry.h"

#include <array>
#include <vector>

namespace medlarcroft::adapters {

namespace {

using telemetry::Label;
using telemetry::MetricDescription;

constexpr MetricDescription kLookups = {
    "medlar_lookups_total", "Look-ups, by outcome and the rule that decided."};
constexpr MetricDescription kLookupSeconds = {
    "medlar_lookup_seconds", "From a look-up's arrival to its answer."};
constexpr MetricDescription kRevision = {"medlar_catalogue_revision",
                                         "Catalogue revision in force here."};
constexpr MetricDescription kHighestSeen = {
    "medlar_catalogue_highest_seen_revision",
    "Highest revision that a peer or the platform showed."};
constexpr MetricDescription kInForceSeconds = {
    "medlar_catalogue_in_force_seconds",
    "Time since the revision in force was applied here."};
constexpr MetricDescription kRefusedDeltas = {
    "medlar_catalogue_refused_deltas_total",
    "Catalogue changes from peers or the platform that did not fit."};
constexpr MetricDescription kBlockMapVersion = {
    "medlar_block_map_version", "Client block map in use; 0 is none."};
constexpr MetricDescription kHostListAge = {
    "medlar_host_list_age_seconds",
    "Time since the platform's host list was read; absent until then."};
constexpr MetricDescription kMembers = {"medlar_members",
                                        "Other hosts, by what they are here."};
constexpr MetricDescription kExchanges = {
    "medlar_exchanges_total", "Exchanges begun with peers, by their end."};
constexpr MetricDescription kExchangeBytes = {
    "medlar_exchange_bytes_total",
    "Bytes of the calls to peers that this host began; its peers' calls cost "
    "about as much again."};
constexpr MetricDescription kCatalogueFetches = {
    "medlar_catalogue_fetches_total",
    "Calls that brought catalogue changes from a peer."};
constexpr MetricDescription kPlatformCalls = {
    "medlar_platform_calls_total",
    "Calls to the platform within the budget, by kind."};
constexpr MetricDescription kPlatformRefused = {
    "medlar_platform_refused_total",
    "Calls to the platform over the budget, never sent."};
constexpr MetricDescription kPlatformFailures = {
    "medlar_platform_failures_total",
    "Calls to the platform without a usable answer."};
constexpr MetricDescription kPlatformReachable = {
    "medlar_platform_reachable",
    "Whether the platform's last answer was good."};
constexpr MetricDescription kShifts = {
    "medlar_planned_shift_rate",
    "Requests a second that the plan moves between failure domains."};

/// In the order of `membership::Liveness`.
constexpr std::array<std::string_view, 5> kLivenessNames = {
    "alive", "suspect", "dead", "leaving", "unknown"};

}  // namespace

SteerTelemetry::SteerTelemetry(const Sources& sources)
    : sources_(sources),
      listener_(metrics_),
      lookup_seconds_(metrics_.HistogramOf(kLookupSeconds)),
      shifts_(metrics_, kShifts) {}

void SteerTelemetry::CountLookup(const ServiceName& service,
                                 steering::LookupRule rule) {
  metrics_
      .CounterOf(kLookups,
                 {service, Label::OfConstant("outcome", "answered"),
                  Label::OfConstant("rule", steering::ToString(rule))})
      .Add();
}

void SteerTelemetry::CountLookup(steering::LookupError error) {
  CountFailedLookup(steering::ToString(error));
}

void SteerTelemetry::CountMalformedLookup() {
  CountFailedLookup("malformed");
}

void SteerTelemetry::CountFailedLookup(std::string_view outcome) {
  metrics_.CounterOf(kLookups, {Label::OfConstant("outcome", outcome)}).Add();
}

std::string SteerTelemetry::FormatPrometheus() {
  listener_.Refresh();
  RefreshCatalogue();
  RefreshMembers();
  RefreshExchanges();
  RefreshPlatform();
  RefreshShifts();
  return metrics_.FormatPrometheus();
}

void SteerTelemetry::RefreshCatalogue() {
  const catalogue::ReplicaStatus replica = sources_.replica.Status();
  metrics_.GaugeOf(kRevision).Set(static_cast<double>(replica.revision));
  metrics_.GaugeOf(kHighestSeen).Set(static_cast<double>(replica.highest_seen));
  metrics_.GaugeOf(kInForceSeconds).Set(ToSeconds(replica.time_in_force));
  metrics_.CounterOf(kRefusedDeltas).RaiseTo(replica.refused_deltas);
  metrics_.GaugeOf(kBlockMapVersion)
      .Set(static_cast<double>(
          sources_.core.ClientBlockMap().Current()->Version()));
  if (const auto age = sources_.core.HostListAge()) {
    metrics_.GaugeOf(kHostListAge).Set(ToSeconds(*age));
  }
}

void SteerTelemetry::RefreshMembers() {
  std::array<std::size_t, kLivenessNames.size()> counts{};
  for (const membership::Member& member : sources_.core.Members()) {
    ++counts.at(static_cast<std::size_t>(member.liveness));
  }
  for (std::size_t i = 0; i < counts.size(); ++i) {
    metrics_
        .GaugeOf(kMembers, {Label::OfConstant("state", kLivenessNames.at(i))})
        .Set(static_cast<double>(counts.at(i)));
  }
}

void SteerTelemetry::RefreshExchanges() {
  const ExchangeCounters& counts = sources_.exchanges;
  const auto raise_counter =
      [this](const MetricDescription& metric, std::string_view label,
             std::string_view value, std::uint64_t count) {
        metrics_.CounterOf(metric, {Label::OfConstant(label, value)})
            .RaiseTo(count);
      };
  raise_counter(kExchanges, "end", "answered", counts.answered);
  raise_counter(kExchanges, "end", "failed", counts.failed);
  raise_counter(kExchanges, "end", "refused", counts.refused);
  raise_counter(kExchangeBytes, "direction", "sent", counts.bytes.sent);
  raise_counter(kExchangeBytes, "direction", "received", counts.bytes.received);
  metrics_.CounterOf(kCatalogueFetches).RaiseTo(counts.deltas);
}

void SteerTelemetry::RefreshPlatform() {
  const catalogue::PlatformCallCounts counts = sources_.budget.Counts();
  const auto raise_counter = [this](const MetricDescription& metric,
                                    std::string_view kind,
                                    std::uint64_t count) {
    metrics_.CounterOf(metric, {Label::OfConstant("kind", kind)})
        .RaiseTo(count);
  };
  raise_counter(kPlatformCalls, "read", counts.reads);
  raise_counter(kPlatformCalls, "write", counts.writes);
  raise_counter(kPlatformRefused, "read", counts.refused_reads);
  raise_counter(kPlatformRefused, "write", counts.refused_writes);
  metrics_.CounterOf(kPlatformFailures).RaiseTo(counts.failures);
  const bool is_reachable = sources_.budget.Reachability().is_reachable;
  metrics_.GaugeOf(kPlatformReachable).Set(is_reachable ? 1 : 0);
}

void SteerTelemetry::RefreshShifts() {
  std::vector<telemetry::GaugeValue> values;
  for (const steering::PlannedShift& shift : sources_.core.Plan().shifts) {
    if (shift.rate > 0) {
      values.push_back({{shift.service, Label::OfDomain("from", shift.from),
                         Label::OfDomain("to", shift.to)},
                        shift.rate});
    }
  }
  shifts_.Set(values);
}

}  // namespace medlarcroft::adapters
