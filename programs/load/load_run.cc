#include "load/load_run.h"

#include <algorithm>
#include <iostream>
#include <optional>
#include <random>

#include "adapters/http/http_client.h"
#include "adapters/load/http_load_transport.h"
#include "adapters/load/target_probe.h"
#include "adapters/process/system_clock.h"
#include "load/headroom_sampler.h"
#include "medlarcroft/load_generator/load_session.h"

namespace medlarcroft::load {

namespace {

using load_generator::EndCounts;
using load_generator::LoadReport;
using load_generator::LoadSession;

/// Longest wait of the event loop, so that progress is printed in time.
constexpr Duration kMaxWait = std::chrono::milliseconds(250);

/// @brief Pseudorandom numbers that are reproducible for a given seed.
class SeededRandom final : public ports::RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  [[nodiscard]] std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// @brief Prints the progress of the run once a second.
class ProgressPrinter {
 public:
  ProgressPrinter(MonotonicTime start, bool is_quiet)
      : start_(start), next_(start), is_quiet_(is_quiet) {}

  void Print(const LoadSession& session,
             const EndCounts& totals,
             MonotonicTime now) {
    if (is_quiet_ || now < next_) {
      return;
    }
    next_ += std::chrono::seconds(1);
    std::cerr << static_cast<long>(ToSeconds(now - start_)) << " s: ran "
              << totals.ran << ", refused " << totals.refused << ", failed "
              << totals.failed << ", unsent " << totals.unsent << ", in flight "
              << session.InFlight() << "\n";
  }

 private:
  const MonotonicTime start_;
  MonotonicTime next_;
  const bool is_quiet_;
};

/// Request paths must differ between runs, as targets remember them.
std::string MakeRunName() {
  std::random_device device;
  return "load" + std::to_string(device());
}

void RunSession(LoadSession& session,
                adapters::HttpLoadTransport& transport,
                ProgressPrinter& progress) {
  const adapters::SystemClock clock;
  while (!session.IsDone()) {
    const auto next = session.Step(clock.Now());
    const MonotonicTime latest = clock.Now() + kMaxWait;
    for (const auto& received :
         transport.Wait(std::min(next.value_or(latest), latest))) {
      session.OnResult(received.id, received.result, received.at);
    }
    progress.Print(session, session.Statistics().Totals(), clock.Now());
  }
}

}  // namespace

LoadReport RunLoad(const load_generator::LoadPlan& plan,
                   const adapters::Deployment& deployment,
                   const LoadOptions& options) {
  const adapters::SystemClock clock;
  SeededRandom arrivals(plan.seed);
  SeededRandom choices(plan.seed + 1);
  // The client must be destroyed before the transport, as its callbacks use the
  // transport.
  std::optional<adapters::HttpClient> client(std::in_place,
                                             adapters::HttpClient::Options{});
  adapters::HttpLoadTransport transport(*client);
  const MonotonicTime start = clock.Now();
  HeadroomSampler sampler(deployment.target_urls, start);
  LoadSession session(
      plan, {.lookup_urls = deployment.lookup_urls, .run_name = MakeRunName()},
      arrivals, choices, transport, start);
  ProgressPrinter progress(start, options.is_quiet);
  RunSession(session, transport, progress);

  for (const HeadroomSample& sample : sampler.Stop()) {
    session.Statistics().RecordHeadroom(sample.at, sample.headroom);
  }
  std::optional<load_generator::RunAudit> audit;
  if (!deployment.target_urls.empty()) {
    audit = adapters::TargetProbe(*client, deployment.target_urls).ReadRuns();
  }
  LoadReport report =
      session.Statistics().MakeReport(options.name, session.Auditor(), audit);
  client.reset();
  return report;
}

}  // namespace medlarcroft::load
