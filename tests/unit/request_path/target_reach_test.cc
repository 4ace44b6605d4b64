#include "medlarcroft/request_path/target_reach.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FailureDomainName kOwnDomain("d0");

/// @brief Twelve targets in six failure domains, of which some accept
/// connections.
class TargetReachTest : public testing::Test {
 protected:
  TargetReachTest() {
    for (std::uint32_t i = 0; i < 12; ++i) {
      candidates_.push_back(
          {.target = TargetNumber{i + 1},
           .address = "10.0.0.1:" + std::to_string(i),
           .domain = FailureDomainName("d" + std::to_string(i % 6))});
    }
  }

  void FailToConnect(std::uint32_t target) {
    reach_.OnConnectFailed(TargetNumber{target}, now_);
  }
  /// Passes time in steps, with a round of probes whenever one is due.
  void RunFor(Duration time, std::optional<MonotonicTime> outstanding = {}) {
    for (const MonotonicTime end = now_ + time; now_ < end;
         now_ += milliseconds(50)) {
      if (!reach_.ShouldProbe(outstanding, now_)) {
        continue;
      }
      ++rounds_;
      probed_ = reach_.StartProbes(candidates_, kOwnDomain, now_);
      for (const ReachCandidate& probe : probed_) {
        reach_.OnProbed(probe.target, accepting_.contains(probe.target), now_);
      }
    }
  }
  void CutOff() {
    accepting_.clear();
    FailToConnect(1);
    FailToConnect(2);
    RunFor(seconds(1));
    ASSERT_TRUE(reach_.IsCutOff());
  }
  void Accept(std::size_t targets) {
    for (std::size_t i = 0; i < targets; ++i) {
      accepting_.insert(candidates_[i].target);
    }
  }

  fakes::SeededRandom random_{3};
  TargetReach reach_{{}, random_};
  std::vector<ReachCandidate> candidates_;
  std::vector<ReachCandidate> probed_;
  std::set<TargetNumber> accepting_;
  int rounds_ = 0;
  MonotonicTime now_{std::chrono::hours(1)};
};

// Guards against sending through other hosts, which costs a hop and their
// capacity, because single targets are down.
TEST_F(TargetReachTest, DeadTargetsAreNoCut) {
  Accept(8);  // Four of twelve are down.
  for (std::uint32_t target = 9; target <= 12; ++target) {
    FailToConnect(target);
  }
  RunFor(seconds(3));
  EXPECT_GT(rounds_, 0);
  EXPECT_FALSE(reach_.IsCutOff());
}

// Guards against probing without a sign of trouble.
TEST_F(TargetReachTest, OneFailureCausesNoProbes) {
  FailToConnect(1);
  RunFor(seconds(3));
  EXPECT_EQ(rounds_, 0);
}

// Guards against refusing all callers while new connections are refused.
TEST_F(TargetReachTest, NoTargetInReachIsACut) {
  FailToConnect(1);
  FailToConnect(2);
  RunFor(milliseconds(100));
  EXPECT_TRUE(reach_.IsCutOff());
}

// Guards against waiting for answers on connections that hang: no connection is
// refused, and no answer comes.
TEST_F(TargetReachTest, SilenceOnOpenConnectionsIsACut) {
  reach_.OnAnswered(now_);
  RunFor(milliseconds(250), now_);
  EXPECT_EQ(rounds_, 0);
  RunFor(milliseconds(300), now_ - milliseconds(250));
  EXPECT_TRUE(reach_.IsCutOff());
}

// Guards against a steady stream of probes from a host with few, long requests.
TEST_F(TargetReachTest, SilenceOfLongRequestsCausesFewProbes) {
  Accept(12);
  RunFor(seconds(5), now_ - seconds(1));
  EXPECT_GT(rounds_, 0);
  EXPECT_LE(rounds_, 5);
  EXPECT_FALSE(reach_.IsCutOff());
}

// Guards against a cut that no other target could disprove.
TEST_F(TargetReachTest, ASingleTargetShowsNoCut) {
  candidates_.resize(1);
  FailToConnect(1);
  FailToConnect(2);
  RunFor(seconds(2));
  EXPECT_FALSE(reach_.IsCutOff());
}

// Guards against taking the loss of other failure domains for a cut: the own
// domain is always among those tried, and each from another domain.
TEST_F(TargetReachTest, ProbesOwnDomainAndDifferentOnes) {
  FailToConnect(1);
  FailToConnect(2);
  RunFor(milliseconds(50));
  ASSERT_EQ(probed_.size(), 4U);
  std::set<FailureDomainName> domains;
  for (const ReachCandidate& probe : probed_) {
    domains.insert(probe.domain);
  }
  EXPECT_EQ(domains.size(), 4U);
  EXPECT_TRUE(domains.contains(kOwnDomain));
}

// Guards against ending a cut for one connection that passes by chance.
TEST_F(TargetReachTest, EndsWhenSeveralTargetsAccept) {
  CutOff();
  Accept(2);
  RunFor(seconds(5));
  EXPECT_TRUE(reach_.IsCutOff());

  Accept(12);
  RunFor(seconds(1));
  EXPECT_FALSE(reach_.IsCutOff());
}

// Guards against flapping, with failed requests each time: a cut that comes
// back takes more evidence to end.
TEST_F(TargetReachTest, ARelapseTakesMoreEvidenceToEnd) {
  CutOff();
  Accept(4);
  RunFor(seconds(5));
  EXPECT_FALSE(reach_.IsCutOff());

  CutOff();
  Accept(4);
  RunFor(seconds(10));
  EXPECT_TRUE(reach_.IsCutOff());
  Accept(12);
  RunFor(seconds(3));
  EXPECT_FALSE(reach_.IsCutOff());
}

// Guards against a host that goes on sending through others for good, after a
// cut that came back several times.
TEST_F(TargetReachTest, ManyRelapsesEndToo) {
  for (int relapse = 0; relapse < 6; ++relapse) {
    CutOff();
    Accept(12);
    RunFor(seconds(4));
    EXPECT_FALSE(reach_.IsCutOff()) << relapse;
  }
}

// As above, where some of few targets are down.
TEST_F(TargetReachTest, EndsAlthoughSomeOfFewTargetsAreDown) {
  candidates_.resize(3);
  CutOff();
  Accept(2);
  RunFor(seconds(3));
  EXPECT_FALSE(reach_.IsCutOff());
}

// Guards against refusing all callers while few targets are back: each host
// takes itself for cut off, and none helps.
TEST_F(TargetReachTest, WithoutHelpersOneTargetInReachEndsTheCut) {
  CutOff();
  Accept(1);
  RunFor(seconds(3));
  EXPECT_TRUE(reach_.IsCutOff());

  for (int i = 0; i < 30 && reach_.IsCutOff(); ++i) {
    reach_.OnNoHelper(now_);
    RunFor(milliseconds(100));
  }
  EXPECT_FALSE(reach_.IsCutOff());
}

// As above, but another host helps meanwhile.
TEST_F(TargetReachTest, AHelperKeepsTheCut) {
  CutOff();
  Accept(1);
  for (int i = 0; i < 30; ++i) {
    reach_.OnNoHelper(now_);
    reach_.OnRelayed();
    RunFor(milliseconds(100));
    ASSERT_TRUE(reach_.IsCutOff());
  }
}

}  // namespace
}  // namespace medlarcroft::request_path
