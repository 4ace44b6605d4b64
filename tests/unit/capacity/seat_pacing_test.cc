#include "medlarcroft/capacity/seat_pacing.h"

#include <gtest/gtest.h>

namespace medlarcroft::capacity {
namespace {

using std::chrono::milliseconds;

struct PacingCase {
  SeatPacingInputs inputs;
  Duration period;
};

class SeatPacingTest : public testing::TestWithParam<PacingCase> {};

TEST_P(SeatPacingTest, BoundsRowsReadPerSecond) {
  EXPECT_EQ(SeatPollInterval(GetParam().inputs), GetParam().period);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    SeatPacingTest,
    testing::Values(PacingCase{{.declared_seats = 0, .is_settled = true},
                               milliseconds(2500)},
                    PacingCase{{.declared_seats = 25, .is_settled = true},
                               milliseconds(2500)},
                    PacingCase{{.declared_seats = 126, .is_settled = true},
                               milliseconds(12600)},
                    PacingCase{{.declared_seats = 126, .is_settled = false},
                               milliseconds(400)}));

}  // namespace
}  // namespace medlarcroft::capacity
