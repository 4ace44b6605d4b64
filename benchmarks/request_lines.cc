// Cost of the log lines of one successful request in medlar-node. Every request
// pays it, so it must be far below the cost of the request itself.
#include <benchmark/benchmark.h>

#include <fcntl.h>
#include <unistd.h>

#include "adapters/forward/request_telemetry.h"
#include "adapters/process/log.h"
#include "adapters/process/system_clock.h"

namespace medlarcroft::adapters {
namespace {

/// @brief Redirects standard output to /dev/null during its lifetime.
class DiscardedOutput {
 public:
  DiscardedOutput() : saved_stdout_(::dup(STDOUT_FILENO)) {
    const int null_device = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    ::dup2(null_device, STDOUT_FILENO);
    ::close(null_device);
  }
  ~DiscardedOutput() {
    ::dup2(saved_stdout_, STDOUT_FILENO);
    ::close(saved_stdout_);
  }
  DiscardedOutput(const DiscardedOutput&) = delete;
  DiscardedOutput& operator=(const DiscardedOutput&) = delete;

 private:
  int saved_stdout_;
};

/// @param range(0) 1 if the log level includes successful requests.
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
                           std::chrono::milliseconds(300), std::nullopt);
    telemetry.OnAnswer(lines, "9c41d07be2a35f68", route, 200,
                       std::chrono::milliseconds(300));
  }
}
BENCHMARK(LinesOfOneRequest)->Arg(0)->Arg(1);

/// Formats one log line.
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
