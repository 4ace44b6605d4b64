#include "medlarcroft/delivery/response_delivery.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::delivery {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(100)};
constexpr std::size_t kBytes = 540'000;

struct Measurement {
  int second;
  std::size_t undelivered;
};

struct StopCase {
  std::string name;
  int deadline_second;
  std::vector<Measurement> measurements;
  bool is_waited_for;  ///< At the last measurement.
};

class StopWithSlowClients : public testing::TestWithParam<StopCase> {};

// Guards against a stop that drops what a slow client still reads, and against
// a client that never reads and holds up the stop.
TEST_P(StopWithSlowClients, WaitsForThoseWhoReadOrHaveTimeLeft) {
  ResponseDelivery delivery;
  delivery.OnRequest(kStart);
  delivery.Identify("r", kStart + seconds(GetParam().deadline_second));
  EXPECT_TRUE(delivery.DelaysStop(kStart));
  delivery.OnResponse(kBytes, kStart);
  MonotonicTime now = kStart;
  for (const Measurement& measured : GetParam().measurements) {
    now = kStart + seconds(measured.second);
    delivery.OnMeasured(measured.undelivered, now);
  }
  EXPECT_EQ(delivery.DelaysStop(now), GetParam().is_waited_for);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    StopWithSlowClients,
    testing::Values(
        StopCase{"NotRead", 4, {{1, kBytes}, {3, kBytes}}, true},
        StopCase{"NeverReadPastItsDeadline",
                 4,
                 {{1, kBytes}, {5, kBytes}},
                 false},
        StopCase{"ReadSlowly", 4, {{3, 9000}, {5, 6000}, {6, 6000}}, true},
        StopCase{"ReadNoFurther", 4, {{3, 9000}, {5, 6000}, {8, 6000}}, false},
        StopCase{"Delivered", 4, {{1, 9000}, {2, 0}}, false}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a stop that is held up by calls that other hosts repeat
// elsewhere, such as held calls for rows.
TEST(ResponseDelivery, StopDoesNotWaitForRequestsThatNobodyIdentified) {
  ResponseDelivery delivery;
  delivery.OnRequest(kStart);
  EXPECT_TRUE(delivery.HasRequest());
  EXPECT_FALSE(delivery.DelaysStop(kStart));
  delivery.OnResponse(kBytes, kStart);
  EXPECT_FALSE(delivery.DelaysStop(kStart));
}

// Guards against the time of an answered request that covers the next one.
TEST(ResponseDelivery, EachRequestBringsItsOwnDeadline) {
  ResponseDelivery delivery;
  delivery.OnRequest(kStart);
  delivery.Identify("first", kStart + seconds(9));
  delivery.OnResponse(0, kStart);
  delivery.OnRequest(kStart);
  EXPECT_FALSE(delivery.DelaysStop(kStart));
  delivery.Identify("second", kStart + seconds(1));
  delivery.OnResponse(kBytes, kStart);
  EXPECT_FALSE(delivery.DelaysStop(kStart + seconds(3)));
  EXPECT_EQ(delivery.Request(), "second");
}

}  // namespace
}  // namespace medlarcroft::delivery
