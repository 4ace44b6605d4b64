#ifndef MEDLARCROFT_TESTS_UNIT_DECISION_SCHEDULER_FIXTURE_H_
#define MEDLARCROFT_TESTS_UNIT_DECISION_SCHEDULER_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/decision/request_scheduler.h"

namespace medlarcroft::decision {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Scheduler with one service on a few targets, and shorthand calls. Its
/// process has run for long enough to use its fixed amount of retries.
class SchedulerFixture : public ::testing::Test {
 protected:
  explicit SchedulerFixture(const SchedulerOptions& options = {})
      : scheduler_(options, random_) {
    scheduler_.Configure({}, clock_.Now());
    clock_.Advance(options.retries.limit.window);
  }

  static std::vector<TargetConfig> MakeTargets(std::size_t count,
                                               std::uint32_t slots) {
    std::vector<TargetConfig> targets;
    for (std::size_t i = 0; i < count; ++i) {
      targets.push_back({.name = TargetName("t" + std::to_string(i)),
                         .slots = slots,
                         .share = slots});
    }
    return targets;
  }

  static ServiceConfig MakeService(std::vector<TargetConfig> targets) {
    return {.service = ServiceName("lookup-desk"),
            .request_class = {.name = "lookup",
                              .deadline = seconds(1),
                              .queue_limit = milliseconds(100),
                              .expected_service_time = milliseconds(20)},
            .brands = {{.brand = BrandName("a")}, {.brand = BrandName("b")}},
            .targets = std::move(targets)};
  }

  static ServiceConfig MakeNonIdempotentService(
      std::vector<TargetConfig> targets) {
    ServiceConfig config = MakeService(std::move(targets));
    config.request_class.key_mode = catalogue::KeyMode::kLocal;
    return config;
  }

  void Configure(const ServiceConfig& config) {
    scheduler_.Configure(std::vector{config}, clock_.Now());
  }

  Admission Submit(const char* brand = "a") {
    return scheduler_.Submit(
        {.service = ServiceName("lookup-desk"), .brand = BrandName(brand)},
        clock_.Now());
  }

  Dispatch SubmitAndDispatch() { return std::get<Dispatch>(Submit()); }

  NextStep End(AttemptId attempt, AttemptOutcome outcome) {
    return scheduler_.OnAttemptEnd(attempt, outcome, clock_.Now());
  }

  /// Submits and answers `count` requests one after the other.
  void Serve(int count, Duration service_time) {
    for (int i = 0; i < count; ++i) {
      const Dispatch dispatch = SubmitAndDispatch();
      clock_.Advance(service_time);
      static_cast<void>(End(dispatch.attempt, AttemptOutcome::kAnswered));
    }
  }

  std::vector<Action> Advance(Duration duration) {
    clock_.Advance(duration);
    return scheduler_.Advance(clock_.Now());
  }

  Explanation Explain() {
    return *scheduler_.Explain(ServiceName("lookup-desk"), clock_.Now());
  }

  fakes::ManualClock clock_;
  fakes::SeededRandom random_{20261202};
  RequestScheduler scheduler_;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_TESTS_UNIT_DECISION_SCHEDULER_FIXTURE_H_
