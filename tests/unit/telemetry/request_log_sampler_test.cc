#include "medlarcroft/telemetry/request_log_sampler.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include "fakes/manual_clock.h"

namespace medlarcroft::telemetry {
namespace {

using std::chrono::seconds;

struct SampleCounts {
  std::uint32_t by_id = 0;
  std::uint32_t by_id_late_in_second = 0;
  std::array<std::uint32_t, 4> at_end{};

  [[nodiscard]] std::uint32_t AtEnd(RequestOutcome outcome) const {
    return at_end.at(static_cast<std::size_t>(outcome));
  }
};

/// Simulates one second with evenly spaced requests. A request that is not
/// sampled by id ends with `outcome_of(number)`.
template <typename OutcomeOf>
SampleCounts SimulateSecond(RequestLogSampler& sampler,
                            fakes::ManualClock& clock,
                            int requests,
                            const OutcomeOf& outcome_of) {
  static int last_id = 0;
  SampleCounts sampled;
  for (int number = 0; number < requests; ++number) {
    if (sampler.SampleById("r" + std::to_string(++last_id), clock.Now())) {
      ++sampled.by_id;
      sampled.by_id_late_in_second += number >= requests / 2 ? 1 : 0;
    } else {
      const RequestOutcome outcome = outcome_of(number);
      sampled.at_end.at(static_cast<std::size_t>(outcome)) +=
          sampler.SampleAtEnd(outcome, clock.Now()) ? 1 : 0;
    }
    clock.Advance(Duration(seconds(1)) / requests);
  }
  return sampled;
}

RequestOutcome Served(int) {
  return RequestOutcome::kServed;
}

// At a low request rate every request is logged.
TEST(RequestLogSamplerTest, SamplesAllRequestsAtALowRate) {
  RequestLogSampler sampler;
  fakes::ManualClock clock;
  for (int second = 0; second < 3; ++second) {
    EXPECT_EQ(SimulateSecond(sampler, clock, 15, Served).by_id, 15U);
  }
  EXPECT_EQ(sampler.TakeUnsampledCount(), 0U);
}

// A burst must not flood the log, and the samples must not all come from its
// beginning.
TEST(RequestLogSamplerTest, LimitsABurstAndSpreadsSamplesOverTheSecond) {
  RequestLogSampler sampler;
  fakes::ManualClock clock;
  EXPECT_EQ(SimulateSecond(sampler, clock, 1000, Served).by_id,
            RequestLogSampler::kMaxByIdPerSecond);
  std::uint32_t late_in_second = 0;
  for (int second = 0; second < 10; ++second) {
    const SampleCounts sampled = SimulateSecond(sampler, clock, 1000, Served);
    EXPECT_LE(sampled.by_id, RequestLogSampler::kMaxByIdPerSecond);
    EXPECT_GE(sampled.by_id, RequestLogSampler::kMaxByIdPerSecond / 4);
    late_in_second += sampled.by_id_late_in_second;
  }
  EXPECT_GE(late_in_second, 10 * RequestLogSampler::kMaxByIdPerSecond / 4);
  EXPECT_GT(sampler.TakeUnsampledCount(), 10'000U);
}

// Nearly all requests of a second are refused, and at its end a few requests
// fail that are not idempotent and may have run: those must be found in the
// log.
TEST(RequestLogSamplerTest,
     SamplesFailedNonIdempotentRequestsAmongManyRefusals) {
  RequestLogSampler sampler;
  fakes::ManualClock clock;
  (void)SimulateSecond(sampler, clock, 1000, Served);
  const SampleCounts sampled =
      SimulateSecond(sampler, clock, 1000, [](int number) {
        return number >= 990 ? RequestOutcome::kNonIdempotentFailed
                             : RequestOutcome::kFailed;
      });
  EXPECT_EQ(sampled.AtEnd(RequestOutcome::kFailed),
            RequestLogSampler::kMaxAtEndPerSecond / 2);
  EXPECT_GE(sampled.AtEnd(RequestOutcome::kNonIdempotentFailed) + sampled.by_id,
            10U);
  EXPECT_GE(sampled.AtEnd(RequestOutcome::kNonIdempotentFailed), 9U);
}

}  // namespace
}  // namespace medlarcroft::telemetry
