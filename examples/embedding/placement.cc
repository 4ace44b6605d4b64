#include <iostream>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "example_clock.h"
#include "examples.h"
#include "medlarcroft/decision/request_scheduler.h"

namespace {

namespace decision = medlarcroft::decision;
using medlarcroft::BrandName;
using medlarcroft::Duration;
using medlarcroft::ServiceName;
using medlarcroft::TargetName;
using std::chrono::milliseconds;

constexpr int kRequests = 200;
/// Service times; the slow target takes ten times as long.
constexpr Duration kFast = milliseconds(20);
constexpr Duration kSlow = milliseconds(200);

class ExampleRandom final : public medlarcroft::ports::RandomSource {
 public:
  [[nodiscard]] std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_{1};
};

decision::ServiceConfig MakeService() {
  return {.service = ServiceName("lookup-desk"),
          .request_class = {.name = "lookup"},
          .brands = {{.brand = BrandName("uwimana")}},
          .targets = {{.name = TargetName("fast"), .slots = 4, .share = 4},
                      {.name = TargetName("slow"), .slots = 4, .share = 4}}};
}

/// @brief Requests in progress by the time when they end.
using WorkByEnd =
    std::multimap<medlarcroft::MonotonicTime, decision::AttemptId>;

/// @brief Submits a request every 10 ms and counts the dispatches by target.
std::map<std::string, int> Place(decision::RequestScheduler& scheduler,
                                 ExampleClock& clock) {
  std::map<std::string, int> placed;
  WorkByEnd work;
  for (int i = 0; i < kRequests; ++i) {
    while (!work.empty() && work.begin()->first <= clock.Now()) {
      const auto done = work.extract(work.begin());
      // The return value says what to send to the caller; ignored here, as all
      // requests are answered.
      (void)scheduler.OnAttemptEnd(
          done.mapped(), decision::AttemptOutcome::kAnswered, clock.Now());
    }
    const auto admission = scheduler.Submit(
        {.service = ServiceName("lookup-desk"), .brand = BrandName("uwimana")},
        clock.Now());
    if (const auto* dispatch = std::get_if<decision::Dispatch>(&admission)) {
      const bool is_slow = dispatch->target == TargetName("slow");
      work.emplace(clock.Now() + (is_slow ? kSlow : kFast), dispatch->attempt);
      placed[dispatch->target.Value()]++;
    }
    clock.Advance(milliseconds(10));
  }
  return placed;
}

}  // namespace

bool ShowPlacement() {
  ExampleClock clock;
  ExampleRandom random;
  decision::RequestScheduler scheduler({}, random);
  const std::vector<decision::ServiceConfig> services = {MakeService()};
  scheduler.Configure(services, clock.Now());

  std::map<std::string, int> placed = Place(scheduler, clock);
  std::cout << "placement: of " << kRequests << " requests the fast target got "
            << placed["fast"] << ", one ten times slower " << placed["slow"]
            << "\n";
  return placed["fast"] > 2 * placed["slow"] && placed["slow"] > 0;
}
