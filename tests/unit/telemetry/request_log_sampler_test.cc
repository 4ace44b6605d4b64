#include "medlarcroft/telemetry/request_log_sampler.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include "fakes/manual_clock.h"

namespace medlarcroft::telemetry {
namespace {

using std::chrono::seconds;

struct Chosen {
  std::uint32_t by_id = 0;
  std::uint32_t by_id_late_in_second = 0;
  std::array<std::uint32_t, 4> at_end{};

  [[nodiscard]] std::uint32_t AtEnd(RequestOutcome outcome) const {
    return at_end.at(static_cast<std::size_t>(outcome));
  }
};

/// Plays one second of as many requests, evenly spread; each that was not
/// logged for its id ends as `outcome_of` its number says.
template <typename OutcomeOf>
Chosen PlaySecond(RequestLogSampler& budget,
                  fakes::ManualClock& clock,
                  int requests,
                  const OutcomeOf& outcome_of) {
  static int last_id = 0;
  Chosen chosen;
  for (int number = 0; number < requests; ++number) {
    if (budget.SampleById("r" + std::to_string(++last_id), clock.Now())) {
      ++chosen.by_id;
      chosen.by_id_late_in_second += number >= requests / 2 ? 1 : 0;
    } else {
      const RequestOutcome outcome = outcome_of(number);
      chosen.at_end.at(static_cast<std::size_t>(outcome)) +=
          budget.SampleAtEnd(outcome, clock.Now()) ? 1 : 0;
    }
    clock.Advance(Duration(seconds(1)) / requests);
  }
  return chosen;
}

RequestOutcome Served(int) {
  return RequestOutcome::kServed;
}

// On a calm host each request can be explained.
TEST(RequestLineBudgetTest, AllOfFewRequestsAreChosen) {
  RequestLogSampler budget;
  fakes::ManualClock clock;
  for (int second = 0; second < 3; ++second) {
    EXPECT_EQ(PlaySecond(budget, clock, 15, Served).by_id, 15U);
  }
  EXPECT_EQ(budget.TakeUnsampledCount(), 0U);
}

// A burst must not fill the log, and those logged must not all be its first.
TEST(RequestLineBudgetTest, ABurstIsBoundedAndSeenAllAlong) {
  RequestLogSampler budget;
  fakes::ManualClock clock;
  EXPECT_EQ(PlaySecond(budget, clock, 1000, Served).by_id,
            RequestLogSampler::kById);
  std::uint32_t late_in_second = 0;
  for (int second = 0; second < 10; ++second) {
    const Chosen chosen = PlaySecond(budget, clock, 1000, Served);
    EXPECT_LE(chosen.by_id, RequestLogSampler::kById);
    EXPECT_GE(chosen.by_id, RequestLogSampler::kById / 4);
    late_in_second += chosen.by_id_late_in_second;
  }
  EXPECT_GE(late_in_second, 10 * RequestLogSampler::kById / 4);
  EXPECT_GT(budget.TakeUnsampledCount(), 10'000U);
}

// Nearly all look-ups of a second are refused, and at its end a few orders fail
// that may have run: whoever asks for one of those must find it.
TEST(RequestLineBudgetTest, OrdersThatFailAreFoundAmongManyRefusals) {
  RequestLogSampler budget;
  fakes::ManualClock clock;
  (void)PlaySecond(budget, clock, 1000, Served);
  const Chosen chosen = PlaySecond(budget, clock, 1000, [](int number) {
    return number >= 990 ? RequestOutcome::kNonIdempotentFailed
                         : RequestOutcome::kFailed;
  });
  EXPECT_EQ(chosen.AtEnd(RequestOutcome::kFailed),
            RequestLogSampler::kAtEnd / 2);
  EXPECT_GE(chosen.AtEnd(RequestOutcome::kNonIdempotentFailed) + chosen.by_id,
            10U);
  EXPECT_GE(chosen.AtEnd(RequestOutcome::kNonIdempotentFailed), 9U);
}

}  // namespace
}  // namespace medlarcroft::telemetry
