#include "medlarcroft/decision/admission.h"

#include <gtest/gtest.h>

#include <string>

namespace medlarcroft::decision {
namespace {

using std::chrono::milliseconds;

/// Ten slots with a service time of 20 ms: if all are active, one request
/// completes every 2 ms.
AdmissionInputs SaturatedInputs() {
  return {.has_live_target = true,
          .usable_slots = 10,
          .outstanding = 10,
          .service_time_mean = milliseconds(20),
          .service_time_p95 = milliseconds(40),
          .time_left = milliseconds(500),
          .class_deadline = milliseconds(500),
          .queue_limit = milliseconds(100),
          .reserved_headroom = 0.2,
          .max_queued = 1000};
}

AdmissionInputs SaturatedInputsWith(void (*change)(AdmissionInputs&)) {
  AdmissionInputs inputs = SaturatedInputs();
  change(inputs);
  return inputs;
}

struct AdmissionCase {
  std::string name;
  AdmissionInputs inputs;
  std::optional<RefusalReason> refusal;
  bool must_wait = false;
};

class AdmissionTest : public ::testing::TestWithParam<AdmissionCase> {};

TEST_P(AdmissionTest, ReturnsExpectedResult) {
  const AdmissionResult result = Admit(GetParam().inputs);

  EXPECT_EQ(result.refusal, GetParam().refusal);
  if (!result.refusal) {
    EXPECT_EQ(result.must_wait, GetParam().must_wait);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    AdmissionTest,
    ::testing::Values(
        AdmissionCase{
            .name = "FreeSlot",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.has_free_target = true;
            })},
        AdmissionCase{
            .name = "ShortQueue",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.brand_queued = 39;
            }),
            .must_wait = true},
        AdmissionCase{
            .name = "QueueLimitPassed",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.brand_queued = 40;
            }),
            .refusal = RefusalReason::kQueueTooLong},
        AdmissionCase{
            .name = "SmallerShareWaitsLonger",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.brand_queued = 25;
              inputs.brand_share = 0.5;
            }),
            .refusal = RefusalReason::kQueueTooLong},
        AdmissionCase{
            .name = "DeadlineBeforeQueueLimit",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.brand_queued = 25;
              inputs.time_left = milliseconds(80);
            }),
            .refusal = RefusalReason::kDeadlineTooShort},
        AdmissionCase{
            .name = "DeadlineShorterThanServiceTime",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.has_free_target = true;
              inputs.time_left = milliseconds(19);
            }),
            .refusal = RefusalReason::kDeadlineTooShort},
        AdmissionCase{
            .name = "NoLiveTarget",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.has_live_target = false;
            }),
            .refusal = RefusalReason::kNoTarget},
        AdmissionCase{
            .name = "NoShare",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.usable_slots = 0;
            }),
            .refusal = RefusalReason::kNoShare},
        AdmissionCase{
            .name = "ShiftedInAboveHeadroom",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.has_free_target = true;
              inputs.is_shifted_in = true;
              inputs.outstanding = 8;
            }),
            .refusal = RefusalReason::kHeadroomReserved},
        AdmissionCase{
            .name = "MemoryBound",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.queued = inputs.max_queued;
            }),
            .refusal = RefusalReason::kQueueTooLong},
        AdmissionCase{
            .name = "UnboundedBaseline",
            .inputs = SaturatedInputsWith([](AdmissionInputs& inputs) {
              inputs.brand_queued = 5000;
              inputs.queue_bound = QueueBound::kUnbounded;
            }),
            .must_wait = true}),
    [](const auto& info) { return info.param.name; });

TEST(ExecutionTimeReserve, IsTheMeanIfClassDeadlineIsBelowPercentile95) {
  AdmissionInputs inputs = SaturatedInputs();
  EXPECT_EQ(ExecutionTimeReserve(inputs), milliseconds(40));

  inputs.class_deadline = milliseconds(30);
  EXPECT_EQ(ExecutionTimeReserve(inputs), milliseconds(20));
}

}  // namespace
}  // namespace medlarcroft::decision
