#include "medlarcroft/steering/shift_admission.h"

#include <gtest/gtest.h>

#include <optional>

namespace medlarcroft::steering {
namespace {

struct AdmissionCase {
  const char* name;
  ReceiverState state;
  std::optional<ShiftAdmissionRefusal> refusal;
};

class AdmitForwardedTest : public ::testing::TestWithParam<AdmissionCase> {};

TEST_P(AdmitForwardedTest, KeepsReserveForDomainsOwnCallers) {
  const auto result = AdmitForwarded(GetParam().state);

  ASSERT_EQ(IsOk(result), !GetParam().refusal.has_value());
  if (GetParam().refusal) {
    EXPECT_EQ(ErrorOf(result), *GetParam().refusal);
  }
}

using enum ShiftAdmissionRefusal;

INSTANTIATE_TEST_SUITE_P(
    States,
    AdmitForwardedTest,
    ::testing::Values(
        AdmissionCase{"Free", {10, 0, 0, 0.2, false}, std::nullopt},
        AdmissionCase{"LastOpenSlot", {10, 7, 0, 0.2, false}, std::nullopt},
        AdmissionCase{"OnlyReserveLeft", {10, 8, 0, 0.2, false}, kHeadroom},
        AdmissionCase{"PartOfASlot", {3, 2, 0, 0.2, false}, kHeadroom},
        AdmissionCase{"NoSlots", {0, 0, 0, 0.2, false}, kHeadroom},
        AdmissionCase{"AllReserved", {10, 0, 0, 1.5, false}, kHeadroom},
        AdmissionCase{"NoReserve", {10, 9, 0, -1, false}, std::nullopt},
        AdmissionCase{"OwnCallersWait", {10, 0, 1, 0.2, false}, kQueueing},
        AdmissionCase{"Leaving", {10, 0, 0, 0.2, true}, kLeaving}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::steering
