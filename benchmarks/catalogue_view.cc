#include "medlarcroft/catalogue/catalogue_view.h"

#include <benchmark/benchmark.h>

#include <string>
#include <utility>

#include "allocation_counter.h"
#include "reference_sort.h"

namespace medlarcroft::benchmarks {
namespace {

std::map<EntryName, catalogue::Entry> MakeEntries(int count) {
  std::map<EntryName, catalogue::Entry> entries;
  for (int number = 0; number < count; ++number) {
    catalogue::ServiceEntry service{
        .service = ServiceName("service-" + std::to_string(number)),
        .brands = {{.brand = BrandName("brand")}}};
    for (int target = 0; target < 12; ++target) {
      service.targets.push_back(
          {.name = TargetName("target-" + std::to_string(target)),
           .failure_domain = FailureDomainName("r1-a"),
           .address = "10.0.0.1:8080"});
    }
    const EntryName name("entry-" + std::to_string(number));
    entries.emplace(name,
                    catalogue::Entry{.name = name, .body = std::move(service)});
  }
  return entries;
}

/// Creates the next revision: copies the entries, changes one and indexes them.
/// Argument: number of entries, each a service with 12 targets.
void ApplyChange(benchmark::State& state) {
  const std::size_t before = live_bytes;
  const auto entries = MakeEntries(static_cast<int>(state.range(0)));
  state.counters["kilobytes"] = static_cast<double>(live_bytes - before) / 1e3;
  std::uint64_t revision = 0;

  for (auto iteration : state) {
    (void)iteration;
    auto next = entries;
    next.begin()->second.revision = ++revision;
    benchmark::DoNotOptimize(
        catalogue::CatalogueView(revision, std::move(next)));
  }
}
BENCHMARK(ApplyChange)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace medlarcroft::benchmarks
