#include <benchmark/benchmark.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

#include "gen-cpp/medlarcroft_constants.h"
#include "gen-cpp/medlarcroft_types.h"
#include "reference_sort.h"

namespace medlarcroft::benchmarks {
namespace {

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr int kDomains = 17;
constexpr int kServices = 3;
constexpr int kTargetsPerDomain = 36;

wire::ServiceLoad MakeLoad(int service) {
  wire::ServiceLoad load;
  load.service_name = "service-" + std::to_string(service);
  load.demand_per_second = 812.5;
  load.outstanding = 17;
  load.queued = 3;
  load.usable_slots = 40;
  load.refused_per_second = 0.5;
  return load;
}

wire::HostState MakeHost(int number) {
  wire::HostState host;
  host.host = "r1-a-host-" + std::to_string(number);
  host.failure_domain = "r1-a";
  host.incarnation = 1'790'000'000'000 + number;
  host.sequence = 100'000 + number;
  host.phase = wire::g_medlarcroft_constants.PHASE_READY;
  host.lookup_address = "10.1.2.3:8080";
  host.entry_address = "10.1.2.3:8081";
  host.peer_address = "10.1.2.3:8082";
  host.catalogue_revision = 73'000;
  for (int service = 0; service < kServices; ++service) {
    host.loads.push_back(MakeLoad(service));
  }
  host.age_ms = 500;
  host.seats = {{"r1-a", number}};
  return host;
}

wire::TargetObservation MakeObservation(int number) {
  wire::TargetObservation observation;
  observation.target = "service-1-target-" + std::to_string(number);
  observation.observer = "r1-a-host-7";
  observation.sequence = 4711;
  observation.outstanding = 5;
  observation.latency_ms = 21.5;
  observation.age_ms = 400;
  return observation;
}

wire::DomainSummary MakeSummary(int domain) {
  wire::DomainSummary summary;
  summary.failure_domain = "r" + std::to_string(domain) + "-a";
  summary.reporter = "r1-a-host-7";
  summary.incarnation = 1'790'000'000'000;
  summary.sequence = 100'000;
  for (int service = 0; service < kServices; ++service) {
    summary.loads.push_back(MakeLoad(service));
  }
  summary.live_hosts = 52;
  summary.catalogue_revision = 73'000;
  summary.age_ms = 900;
  return summary;
}

/// A message between peers with `hosts` hosts of the failure domain, and with
/// `has_targets_and_summaries` also observations of targets and summaries of
/// all domains.
wire::Exchange MakeExchange(int hosts, bool has_targets_and_summaries) {
  wire::Exchange exchange;
  exchange.protocol_version = 1;
  exchange.sender = MakeHost(0);
  for (int number = 1; number < hosts; ++number) {
    exchange.hosts.push_back(MakeHost(number));
  }
  if (has_targets_and_summaries) {
    for (int target = 0; target < kTargetsPerDomain; ++target) {
      exchange.observations.push_back(MakeObservation(target));
    }
    for (int domain = 0; domain < kDomains; ++domain) {
      exchange.summaries.push_back(MakeSummary(domain));
    }
  }
  exchange.catalogue_revision = 73'000;
  return exchange;
}

template <typename Protocol>
std::string Encode(const wire::Exchange& exchange) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  exchange.write(&protocol);
  return buffer->getBufferAsString();
}

template <typename Protocol>
void EncodeExchange(benchmark::State& state) {
  const auto exchange =
      MakeExchange(static_cast<int>(state.range(0)), state.range(1) != 0);

  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(Encode<Protocol>(exchange));
  }
  state.counters["bytes"] =
      static_cast<double>(Encode<Protocol>(exchange).size());
}

template <typename Protocol>
void DecodeExchange(benchmark::State& state) {
  std::string bytes = Encode<Protocol>(
      MakeExchange(static_cast<int>(state.range(0)), state.range(1) != 0));

  for (auto iteration : state) {
    (void)iteration;
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(bytes.data()),  // NOLINT
        static_cast<std::uint32_t>(bytes.size()));
    Protocol protocol(buffer);
    wire::Exchange exchange;
    exchange.read(&protocol);
    benchmark::DoNotOptimize(exchange);
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}

// Arguments: number of hosts; whether targets and other domains are included.
#define MEDLARCROFT_SIZES \
  ->Args({1, 0})->Args({8, 0})->Args({52, 0})->Args({52, 1})
BENCHMARK(EncodeExchange<TBinaryProtocol>) MEDLARCROFT_SIZES;
BENCHMARK(EncodeExchange<TCompactProtocol>) MEDLARCROFT_SIZES;
BENCHMARK(DecodeExchange<TBinaryProtocol>) MEDLARCROFT_SIZES;
BENCHMARK(DecodeExchange<TCompactProtocol>) MEDLARCROFT_SIZES;

}  // namespace
}  // namespace medlarcroft::benchmarks
