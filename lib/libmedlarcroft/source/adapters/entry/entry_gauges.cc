#include "adapters/entry/entry_gauges.h"

#include <algorithm>

namespace medlarcroft::adapters {

namespace {

using telemetry::Label;
using telemetry::MetricDescription;

constexpr MetricDescription kInFlight = {
    "medlar_requests_in_flight", "Requests admitted and not yet answered."};
constexpr MetricDescription kLedgerEntries = {
    "medlar_ledger_entries", "Idempotency keys that the ledger remembers."};
constexpr MetricDescription kLedgerBytes = {
    "medlar_ledger_bytes", "Memory of the ledger, answers included."};
constexpr MetricDescription kSeats = {"medlar_seats_held",
                                      "Seats that may be used now."};
constexpr MetricDescription kSlots = {
    "medlar_target_slots",
    "Slots of a target: own share, borrowed ones, and lent ones."};
constexpr MetricDescription kClaims = {
    "medlar_claims_waiting", "Claims of durable keys that wait their turn."};

}  // namespace

EntryGauges::EntryGauges(telemetry::MetricsRegistry& metrics,
                         const Sources& sources)
    : metrics_(metrics),
      sources_(sources),
      listener_(metrics),
      slots_(metrics, kSlots) {}

void EntryGauges::Refresh() {
  listener_.Refresh();
  const auto set = [this](const MetricDescription& metric, std::size_t value) {
    metrics_.GaugeOf(metric).Set(static_cast<double>(value));
  };
  set(kInFlight, sources_.engine.InFlight());
  set(kLedgerEntries, sources_.keys.LedgerEntries());
  set(kLedgerBytes, sources_.keys.LedgerBytes());
  set(kClaims, sources_.claims.Waiting());
  const auto seats = sources_.capacity.Status();
  set(kSeats,
      static_cast<std::size_t>(std::ranges::count(
          seats, capacity::SeatState::kHeld, &capacity::SeatStatus::state)));
  RefreshSlots();
}

void EntryGauges::RefreshSlots() {
  std::vector<telemetry::GaugeValue> values;
  if (const SharedRoutingTable routes = sources_.engine.Routes()) {
    for (const auto& [name, service] : routes->services) {
      for (const decision::TargetConfig& target : service.config.targets) {
        const capacity::UsableSlots slots =
            sources_.capacity.UsableSlotsOf(target.name);
        const auto add = [&](std::string_view kind, std::uint32_t count) {
          values.push_back({{target.name, Label::OfConstant("kind", kind)},
                            static_cast<double>(count)});
        };
        add("own", slots.own);
        add("borrowed", slots.borrowed);
        add("lent", slots.lent);
      }
    }
  }
  slots_.Set(values);
}

}  // namespace medlarcroft::adapters
