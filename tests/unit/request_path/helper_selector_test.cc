#include "medlarcroft/request_path/helper_selector.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSends = 1000;

const RegionName kHere("here");
const RegionName kElsewhere;  // All other regions.

/// @brief Four helpers in two failure domains of the own region, and one
/// elsewhere.
class HelperSelectorTest : public testing::Test {
 protected:
  HelperSelectorTest() {
    for (int i = 0; i < 4; ++i) {
      helpers_.push_back(
          {.host = HostName("h" + std::to_string(i)),
           .failure_domain = FailureDomainName(i < 2 ? "near" : "far"),
           .link_mbps = 100});
    }
  }

  /// @return how often each helper is chosen.
  std::map<std::string, int> Choose() {
    std::map<std::string, int> chosen;
    for (int i = 0; i < kSends; ++i) {
      const auto helper = selector_.Choose(
          regions_,
          [this](const RegionName& region) {
            return region == kHere ? helpers_
                                   : std::vector<RelayHelper>{far_helper_};
          },
          now_);
      ++chosen[helper ? helper->host.Value() : "none"];
    }
    return chosen;
  }
  void End(int helper, HelperSign sign) {
    selector_.OnEnd(helpers_.at(static_cast<std::size_t>(helper)), sign, now_);
  }

  fakes::SeededRandom random_{5};
  HelperSelector selector_{random_};
  std::vector<RegionName> regions_ = {kHere};
  std::vector<RelayHelper> helpers_;
  RelayHelper far_helper_{.host = HostName("far")};
  MonotonicTime now_{std::chrono::hours(1)};
};

struct SignCase {
  std::string name;
  HelperSign sign = HelperSign::kWorks;
  bool is_avoided = false;  ///< Even if no other helper is left.
  Duration over_after{0};
};

class SignTable : public HelperSelectorTest,
                  public testing::WithParamInterface<SignCase> {};

// Guards against using up all helpers for what others did, and against asking
// one in vain again and again.
TEST_P(SignTable, AHelperIsAvoidedForWhatItSaysOfItself) {
  for (int helper = 0; helper < 4; ++helper) {
    End(helper, GetParam().sign);
  }
  EXPECT_EQ(Choose().contains("none"), GetParam().is_avoided);
  now_ += GetParam().over_after;
  EXPECT_EQ(Choose().size(), 4U);
}

INSTANTIATE_TEST_SUITE_P(
    Signs,
    SignTable,
    testing::Values(SignCase{.name = "works", .sign = HelperSign::kWorks},
                    SignCase{.name = "missed_target",
                             .sign = HelperSign::kMissedTarget},
                    SignCase{.name = "busy",
                             .sign = HelperSign::kBusy,
                             .is_avoided = true,
                             .over_after = milliseconds(100)},
                    SignCase{.name = "cut_off",
                             .sign = HelperSign::kCutOff,
                             .is_avoided = true,
                             .over_after = seconds(1)},
                    SignCase{.name = "silent",
                             .sign = HelperSign::kSilent,
                             .is_avoided = true,
                             .over_after = seconds(1)}),
    [](const auto& info) { return info.param.name; });

// Guards against a helper that has lost its links and does not know it yet.
TEST_F(HelperSelectorTest, AHelperThatMissesATargetIsAskedAfterOthers) {
  End(0, HelperSign::kMissedTarget);
  EXPECT_FALSE(Choose().contains("h0"));
  End(0, HelperSign::kWorks);
  EXPECT_TRUE(Choose().contains("h0"));
}

// Guards against asking in vain in the own region while all of its hosts are
// cut off and do not know it yet.
TEST_F(HelperSelectorTest, HelpersElsewhereComeBeforeThoseThatMissTargets) {
  regions_ = {kHere, kElsewhere};
  EXPECT_FALSE(Choose().contains("far"));
  for (int helper = 0; helper < 4; ++helper) {
    End(helper, HelperSign::kMissedTarget);
  }
  EXPECT_EQ(Choose().at("far"), kSends);
  selector_.OnEnd(far_helper_, HelperSign::kMissedTarget, now_);
  EXPECT_FALSE(Choose().contains("far"));
}

// Hosts are often cut off with others of their failure domain.
TEST_F(HelperSelectorTest, OtherDomainsComeFirst) {
  End(0, HelperSign::kCutOff);
  const auto chosen = Choose();
  EXPECT_FALSE(chosen.contains("h0"));
  EXPECT_FALSE(chosen.contains("h1"));

  End(2, HelperSign::kCutOff);
  End(3, HelperSign::kCutOff);
  EXPECT_EQ(Choose().at("h1"), kSends);
}

// Guards against a helper with a narrow link that serves its own callers late.
TEST_F(HelperSelectorTest, NarrowLinksCarryLess) {
  helpers_[0].link_mbps = 10;
  const auto chosen = Choose();
  EXPECT_LT(chosen.at("h0"), kSends / 20);
  EXPECT_GT(chosen.at("h1"), kSends / 5);
}

}  // namespace
}  // namespace medlarcroft::request_path
