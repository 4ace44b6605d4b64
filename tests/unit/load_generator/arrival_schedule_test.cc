#include "medlarcroft/load_generator/arrival_schedule.h"

#include <gtest/gtest.h>

#include <map>

#include "fakes/seeded_random.h"

namespace medlarcroft::load_generator {
namespace {

using std::chrono::seconds;

/// @brief Numbers of arrivals by class, brand and whole second.
struct Drawn {
  std::map<std::size_t, double> by_class;
  std::map<std::size_t, double> by_brand;
  std::map<std::int64_t, double> by_second;
  double total = 0;
};

Drawn Draw(const LoadPlan& plan) {
  fakes::SeededRandom random(5);
  ArrivalSchedule schedule(plan, random);
  Drawn drawn;
  Duration last{0};
  while (const auto arrival = schedule.Next()) {
    EXPECT_GE(arrival->at, last);
    last = arrival->at;
    drawn.by_class[arrival->class_index]++;
    drawn.by_brand[arrival->brand_index]++;
    drawn.by_second[arrival->at / seconds(1)]++;
    drawn.total++;
  }
  return drawn;
}

TEST(ArrivalScheduleTest, MatchesClassRates) {
  const Drawn drawn = Draw({.duration = seconds(100),
                            .classes = {{.rate = 90}, {.rate = 10}},
                            .brands = {{}}});
  EXPECT_NEAR(drawn.total, 10'000, 300);
  EXPECT_NEAR(drawn.by_class.at(0) / drawn.total, 0.9, 0.01);
}

TEST(ArrivalScheduleTest, BurstAffectsOnlyItsTimeAndService) {
  const Drawn drawn = Draw(
      {.duration = seconds(30),
       .classes = {{.service = "a", .rate = 200},
                   {.service = "b", .rate = 200}},
       .brands = {{}},
       .bursts = {{.at = seconds(10),
                   .duration = seconds(1),
                   .factor = 5,
                   .service = "a"},
                  {.at = seconds(20), .duration = seconds(1), .factor = 0}}});
  EXPECT_NEAR(drawn.by_second.at(10), 5 * 200 + 200, 120);
  EXPECT_NEAR(drawn.by_second.at(12), 400, 70);
  EXPECT_FALSE(drawn.by_second.contains(20));
}

struct SkewCase {
  std::string name;
  double skew;
  double first_share;
};

class BrandSkews : public testing::TestWithParam<SkewCase> {};

TEST_P(BrandSkews, FollowZipfLaw) {
  const Drawn drawn = Draw({.duration = seconds(100),
                            .classes = {{.rate = 100}},
                            .brands = {{}, {}, {}, {}},
                            .brand_skew = GetParam().skew});
  EXPECT_NEAR(drawn.by_brand.at(0) / drawn.total, GetParam().first_share, 0.02);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BrandSkews,
                         testing::Values(SkewCase{"Even", 0, 0.25},
                                         SkewCase{"Zipf", 1, 0.48},
                                         SkewCase{"Steep", 2, 0.702}),
                         [](const auto& info) { return info.param.name; });

TEST(ArrivalScheduleTest, NoArrivalsAtRateZero) {
  EXPECT_EQ(Draw({.classes = {{.rate = 0}}, .brands = {{}}}).total, 0);
}

}  // namespace
}  // namespace medlarcroft::load_generator
