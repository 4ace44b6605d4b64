// Cost of the catalogue on a host at the planned size: 17 failure domains, all
// links between them, and services with targets at 260 sites.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "fakes/manual_clock.h"
#include "medlarcroft/catalogue/catalogue_replica.h"
#include "medlarcroft/catalogue/entry_codec.h"
#include "medlarcroft/catalogue/entry_rules.h"
#include "medlarcroft/catalogue/snapshot_codec.h"

namespace medlarcroft::catalogue {
namespace {

constexpr int kDomains = 17;
constexpr int kSites = 260;
constexpr int kServices = 20;

std::string DomainNameOf(int index) {
  return "domain-" + std::to_string(index % kDomains);
}

Entry MakeService(int index) {
  const std::string name = "service-" + std::to_string(index);
  ServiceEntry service{.service = ServiceName(name),
                       .request_class = {.name = "lookup"},
                       .brands = {{.brand = BrandName("brand")}}};
  for (int site = 0; site < kSites; ++site) {
    service.targets.push_back(
        {.name = TargetName(name + "-target-" + std::to_string(site)),
         .failure_domain = FailureDomainName(DomainNameOf(site)),
         .address = "10.0." + std::to_string(site % 250) + ".1:8000",
         .slots = 7});
  }
  return {.name = EntryName(name), .owner = OwnerName("ops"), .body = service};
}

Entry MakeDomain(int index) {
  const std::string name = DomainNameOf(index);
  return {.name = EntryName(name),
          .owner = OwnerName("ops"),
          .body = FailureDomainEntry{.failure_domain = FailureDomainName(name),
                                     .region = RegionName("region")}};
}

Entry MakeLink(const std::string& from, const std::string& to) {
  std::string name = "link.";
  name.append(from).append(".").append(to);
  return {.name = EntryName(name),
          .owner = OwnerName("ops"),
          .body = LinkEntry{.from = FailureDomainName(from),
                            .to = FailureDomainName(to)}};
}

std::vector<Entry> MakeEntries() {
  std::vector<Entry> entries;
  entries.reserve(kDomains * kDomains + kServices);
  for (int i = 0; i < kDomains; ++i) {
    entries.push_back(MakeDomain(i));
  }
  for (int i = 0; i < kDomains * kDomains; ++i) {
    const std::string from = DomainNameOf(i / kDomains);
    const std::string to = DomainNameOf(i);
    if (from != to) {
      entries.push_back(MakeLink(from, to));
    }
  }
  for (int i = 0; i < kServices; ++i) {
    entries.push_back(MakeService(i));
  }
  return entries;
}

Delta MakeChanges() {
  Delta delta;
  for (const Entry& entry : MakeEntries()) {
    delta.changes.push_back({.revision = ++delta.to_revision,
                             .entry = entry.name,
                             .document = FormatEntry(entry),
                             .change_id = "c"});
  }
  return delta;
}

CatalogueState MakeState() {
  CatalogueState state;
  for (const Change& change : MakeChanges().changes) {
    state.Apply(change);
  }
  return state;
}

void ParseService(benchmark::State& state) {
  const std::string document = FormatEntry(MakeService(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseEntry(document, UnknownFields::kIgnore));
  }
  state.counters["document_bytes"] = static_cast<double>(document.size());
}
BENCHMARK(ParseService)->Unit(benchmark::kMicrosecond);

void CheckServiceChange(benchmark::State& state) {
  const SharedCatalogueView view = MakeState().MakeView();
  const Entry changed = MakeService(0);
  for (auto _ : state) {
    benchmark::DoNotOptimize(CheckChange(*view, changed));
  }
}
BENCHMARK(CheckServiceChange)->Unit(benchmark::kMicrosecond);

/// Applies one service change on a host that holds the complete catalogue.
void ApplyServiceChange(benchmark::State& state) {
  const fakes::ManualClock clock;
  CatalogueReplica replica({}, clock);
  (void)replica.Apply(MakeChanges(), RevisionSource::kPeer);
  Change change{.entry = EntryName("service-0"),
                .document = FormatEntry(MakeService(0)),
                .change_id = "c"};
  for (auto _ : state) {
    const std::uint64_t held = replica.Revision();
    change.revision = held + 1;
    (void)replica.Apply(
        {.from_revision = held, .to_revision = held + 1, .changes = {change}},
        RevisionSource::kPeer);
  }
}
BENCHMARK(ApplyServiceChange)->Unit(benchmark::kMicrosecond);

void DecodeAndReplaceSnapshot(benchmark::State& state) {
  const std::string bytes = EncodeSnapshot(MakeState().MakeSnapshot());
  for (auto _ : state) {
    CatalogueState fresh;
    fresh.Replace(ValueOf(DecodeSnapshot(bytes)));
    benchmark::DoNotOptimize(fresh.MakeView());
  }
  state.counters["snapshot_bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(DecodeAndReplaceSnapshot)->Unit(benchmark::kMillisecond);

/// Memory of a replica with the complete catalogue, its view and the changes it
/// keeps for peers.
void HoldCatalogue(benchmark::State& state) {
  const fakes::ManualClock clock;
  const Delta changes = MakeChanges();
  std::size_t held_bytes = 0;
  for (auto _ : state) {
    const std::size_t before = mallinfo2().uordblks;
    CatalogueReplica replica({}, clock);
    (void)replica.Apply(changes, RevisionSource::kPeer);
    held_bytes = mallinfo2().uordblks - before;
  }
  state.counters["held_bytes"] = static_cast<double>(held_bytes);
  state.counters["entries"] = static_cast<double>(changes.changes.size());
}
BENCHMARK(HoldCatalogue)->Unit(benchmark::kMillisecond);

/// Cost for a request of reading the catalogue.
void TakeView(benchmark::State& state) {
  const fakes::ManualClock clock;
  CatalogueReplica replica({}, clock);
  (void)replica.Apply(MakeChanges(), RevisionSource::kPeer);
  for (auto _ : state) {
    benchmark::DoNotOptimize(replica.View());
  }
}
BENCHMARK(TakeView);

}  // namespace
}  // namespace medlarcroft::catalogue
