// Cost of the lines of one good request in medlar-node: paid by every request,
// so they must stay far below the request itself.
#include <benchmark/benchmark.h>

#include <fcntl.h>
#include <unistd.h>

#include "adapters/forward/request_telemetry.h"
#include "adapters/process/log.h"
#include "adapters/process/system_clock.h"

namespace medlarcroft::adapters {
namespace {

/// @brief Logs to nowhere on standard output while it lives.
class DiscardedOutput {
 public:
  DiscardedOutput() : kept_(::dup(STDOUT_FILENO)) {
    const int nowhere = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    ::dup2(nowhere, STDOUT_FILENO);
    ::close(nowhere);
  }
  ~DiscardedOutput() {
    ::dup2(kept_, STDOUT_FILENO);
    ::close(kept_);
  }
  DiscardedOutput(const DiscardedOutput&) = delete;
  DiscardedOutput& operator=(const DiscardedOutput&) = delete;

 private:
  int kept_;
};

/// @param range(0) whether the level lets lines of good requests through.
void LinesOfOneRequest(benchmark::State& state) {
  const DiscardedOutput discarded;
  StartLogging(
      {.program = "medlar-node",
       .host = "h",
       .failure_domain = "z",
       .level = state.range(0) == 0 ? LogLevel::kError : LogLevel::kInfo,
       .output = LogOutput::kStandardOutput});
  telemetry::MetricsRegistry metrics;
  const SystemClock clock;
  RequestTelemetry telemetry(metrics, clock);
  const routing::Route route{.name = "lookups"};
  const request_path::SendAttempt attempt{
      .attempt = 1,
      .target = {TargetName("i-7f3a91c2")},
      .address = "10.1.2.3:8480",
      .region = RegionName("kigali"),
      .report_age = std::chrono::milliseconds(120)};
  for (auto _ : state) {
    RequestLogBuffer lines;
    telemetry.OnSend(lines, "9c41d07be2a35f68", route, attempt);
    telemetry.OnAttemptEnd(lines, "9c41d07be2a35f68", attempt,
                           request_path::AttemptEnd::kAnswered,
                           std::chrono::milliseconds(300));
    telemetry.OnAnswer(lines, "9c41d07be2a35f68", route, 200,
                       std::chrono::milliseconds(300));
  }
}
BENCHMARK(LinesOfOneRequest)->Arg(0)->Arg(1);

/// One line made and handed to the pipe's writer.
void OneWrittenLine(benchmark::State& state) {
  const LogOptions options{
      .program = "medlar-node", .host = "h", .failure_domain = "z"};
  for (auto _ : state) {
    benchmark::DoNotOptimize(FormatLogLine(
        options, {.level = LogLevel::kInfo, .event = "request-answered"},
        std::initializer_list<LogField>{{"request", "9c41d07be2a35f68"},
                                        {"route", "lookups"},
                                        {"status", 200},
                                        {"since_arrival_ms", 300},
                                        {"objective_ms", 600}}));
  }
}
BENCHMARK(OneWrittenLine);

}  // namespace
}  // namespace medlarcroft::adapters
