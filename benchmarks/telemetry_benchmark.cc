// Cost of telemetry while handling a request. Every request pays it, so each
// operation must cost far less than sending the request on.
#include <benchmark/benchmark.h>

#include "adapters/process/system_clock.h"
#include "adapters/process/system_random.h"
#include "medlarcroft/telemetry/metrics.h"
#include "medlarcroft/telemetry/tracer.h"

namespace medlarcroft::telemetry {
namespace {

constexpr MetricDescription kRequests{.name = "medlar_requests_total",
                                      .help = "Requests taken"};
constexpr MetricDescription kLatency{.name = "medlar_request_seconds",
                                     .help = "Time to the answer"};

class DiscardingExporter final : public SpanExporter {
 public:
  void Export(Span span) override { benchmark::DoNotOptimize(span); }
};

void CounterAdd(benchmark::State& state) {
  MetricsRegistry registry;
  Counter& counter = registry.CounterOf(kRequests);
  for (auto _ : state) {
    counter.Add();
  }
}
BENCHMARK(CounterAdd);

void HistogramRecord(benchmark::State& state) {
  MetricsRegistry registry;
  LatencyHistogram& histogram = registry.HistogramOf(kLatency);
  Duration duration = std::chrono::microseconds(10);
  for (auto _ : state) {
    histogram.Record(duration);
    duration += std::chrono::microseconds(3);
  }
}
BENCHMARK(HistogramRecord);

void ParseOneTraceparent(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseTraceparent(
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
  }
}
BENCHMARK(ParseOneTraceparent);

/// @param range(0) sampled traces in percent.
void SpanWithFourAttributes(benchmark::State& state) {
  const adapters::SystemClock clock;
  adapters::SystemRandom random;
  DiscardingExporter exporter;
  Tracer tracer(clock, random, exporter,
                static_cast<double>(state.range(0)) / 100);
  for (auto _ : state) {
    ActiveSpan span = tracer.Start("entry", SpanKind::kServer, std::nullopt);
    span.SetAttribute("medlar.service", std::string("lookup-desk"));
    span.SetAttribute("medlar.brand", std::string("uwimana"));
    span.SetAttribute("medlar.outcome", std::string("ran"));
    span.SetAttribute("medlar.attempts", std::int64_t{1});
  }
}
BENCHMARK(SpanWithFourAttributes)->Arg(0)->Arg(100);

void FormatPrometheusOf200Histograms(benchmark::State& state) {
  MetricsRegistry registry;
  for (int i = 0; i < 200; ++i) {
    registry.HistogramOf(kLatency, {TargetName(std::to_string(i))})
        .Record(std::chrono::milliseconds(i));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(registry.FormatPrometheus());
  }
}
BENCHMARK(FormatPrometheusOf200Histograms)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace medlarcroft::telemetry
