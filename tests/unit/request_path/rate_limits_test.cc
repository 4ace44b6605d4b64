#include "medlarcroft/request_path/rate_limits.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr TargetNumber kTarget{7};
const RegionName kOwnRegion("here");

class RateLimitsTest : public testing::Test, public LimitObserver {
 protected:
  RateLimitsTest() {
    limits_.Observe(this);
    limits_.SetHosts({.own_hash = 1,
                      .own_region = kOwnRegion,
                      .live_in_region = {1},
                      .known_hosts = 1},
                     kStart);
  }

  void OnPublish(const LimitReport& report) override {
    published_.push_back(report);
  }
  void OnLimited(TargetNumber /*target*/,
                 double /*requests_per_second*/,
                 double /*own_rate*/) override {}
  void OnLifted(TargetNumber /*target*/) override { ++lifted_count_; }

  void Answer(std::optional<double> limit,
              MonotonicTime now,
              Duration latency = milliseconds(50)) {
    limits_.OnAnswer(kTarget, kOwnRegion, limit, now - latency, now);
  }

  fakes::SeededRandom random_{3};
  RateLimits limits_{{}, random_};
  std::vector<LimitReport> published_;
  int lifted_count_ = 0;
};

// A single host gets the whole limit and must not exceed it.
TEST_F(RateLimitsTest, SendsAtItsOwnRate) {
  Answer(2.0, kStart);
  int sent = 0;
  for (int step = 0; step < 1000; ++step) {
    const MonotonicTime now = kStart + step * milliseconds(10);
    if (limits_.AllowsSend(kTarget, now)) {
      limits_.OnSent(kTarget, now);
      ++sent;
    }
  }
  EXPECT_GE(sent, 19);
  EXPECT_LE(sent, 21);
}

// Unused capacity must not add up to a burst.
TEST_F(RateLimitsTest, AccumulatesAtMostOneRequestWhileIdle) {
  Answer(2.0, kStart);
  const MonotonicTime later = kStart + seconds(30);
  EXPECT_TRUE(limits_.AllowsSend(kTarget, later));
  limits_.OnSent(kTarget, later);
  EXPECT_FALSE(limits_.AllowsSend(kTarget, later));
}

struct LimitShareCase {
  std::string name;
  std::size_t hosts;
  double limit;
};

class LimitShareTable : public testing::TestWithParam<LimitShareCase> {};

// The shares of all hosts plus their bursts must stay within the tolerance of
// the target: one and a half times the limit over 4 s, plus five requests.
TEST_P(LimitShareTable, SharesAddUpToTheLimit) {
  fakes::SeededRandom random(1);
  std::vector<std::uint64_t> hosts;
  for (std::uint64_t host = 1; host <= GetParam().hosts; ++host) {
    hosts.push_back(host);
  }
  double rates = 0;
  double burst = 0;
  for (const std::uint64_t host : hosts) {
    RateLimits limits({}, random);
    limits.SetHosts({.own_hash = host,
                     .own_region = kOwnRegion,
                     .live_in_region = hosts,
                     .known_hosts = static_cast<std::uint32_t>(hosts.size())},
                    kStart);
    limits.OnReport(
        {.target = kTarget, .requests_per_second = GetParam().limit},
        kOwnRegion, kStart);
    const double rate = limits.OwnRate(kTarget).value();
    rates += rate;
    burst +=
        rate > 0.1 * GetParam().limit / static_cast<double>(hosts.size()) * 1.01
            ? 1
            : 0;
  }
  EXPECT_GE(rates, 0.99 * GetParam().limit);
  EXPECT_LE(rates, 1.11 * GetParam().limit);
  EXPECT_LE(4 * rates + burst, 6 * GetParam().limit + 5);
}

INSTANTIATE_TEST_SUITE_P(All,
                         LimitShareTable,
                         testing::Values(LimitShareCase{"one_host", 1, 5.7},
                                         LimitShareCase{"3_hosts", 3, 2.2},
                                         LimitShareCase{"20_hosts", 20, 0.4},
                                         LimitShareCase{"99_hosts", 99, 5.7},
                                         LimitShareCase{"99_hosts_high_limit",
                                                        99, 80}),
                         [](const auto& info) { return info.param.name; });

// Only hosts of the target's region share the limit. Others must still probe,
// or they would miss the end of a limit whose report was lost.
TEST_F(RateLimitsTest, HostsOfOtherRegionsOnlyProbe) {
  limits_.OnReport({.target = kTarget, .requests_per_second = 5},
                   RegionName("far"), kStart);
  EXPECT_LE(limits_.OwnRate(kTarget).value(), 0.5);
  EXPECT_GT(limits_.OwnRate(kTarget).value(), 0);
}

// A slow response without a limit to a request sent before the limit was
// declared must not lift it.
TEST_F(RateLimitsTest, OutdatedResponseDoesNotLiftTheLimit) {
  Answer(2.0, kStart);
  Answer(std::nullopt, kStart + milliseconds(100), seconds(1));
  EXPECT_EQ(lifted_count_, 0);
  Answer(std::nullopt, kStart + milliseconds(500), milliseconds(50));
  EXPECT_EQ(lifted_count_, 1);
  EXPECT_TRUE(limits_.IsEmpty());
}

// A report of the end of a limit may be lost, or arrive after the limit was
// declared again.
TEST_F(RateLimitsTest, RepeatsTheEndOfALimitAndIgnoresDelayedReportsOfIt) {
  Answer(2.0, kStart);
  Answer(std::nullopt, kStart + seconds(1));
  EXPECT_EQ(limits_.ReportsToRepeat(kStart + seconds(3)).size(), 1U);
  EXPECT_TRUE(limits_.ReportsToRepeat(kStart + seconds(7)).empty());
  Answer(2.0, kStart + seconds(8));
  limits_.OnReport({.target = kTarget}, kOwnRegion, kStart + seconds(9));
  EXPECT_EQ(limits_.Size(), 1U);
  limits_.OnReport({.target = kTarget}, kOwnRegion, kStart + seconds(11));
  EXPECT_TRUE(limits_.IsEmpty());
}

// Publishing the limit of each response would overload the network.
TEST_F(RateLimitsTest, PublishesChangesAtOnceAndUnchangedLimitsPeriodically) {
  Answer(2.0, kStart);
  Answer(2.05, kStart + milliseconds(500));
  EXPECT_EQ(published_.size(), 1U);
  Answer(4.0, kStart + milliseconds(600));
  EXPECT_EQ(published_.size(), 2U);
  Answer(4.0, kStart + seconds(3));
  EXPECT_EQ(published_.size(), 3U);
}

// A limit that no response or report confirms must not stay in force.
TEST_F(RateLimitsTest, UnconfirmedLimitExpires) {
  Answer(0.0, kStart);
  limits_.Advance(kStart + seconds(59));
  EXPECT_EQ(limits_.Size(), 1U);
  limits_.Advance(kStart + seconds(91));
  EXPECT_TRUE(limits_.IsEmpty());
}

// A report of 0 would end the limit on other hosts, and without probes no
// response could ever end it.
TEST_F(RateLimitsTest, LimitOfZeroIsReportedAndStillProbed) {
  Answer(0.0, kStart);
  ASSERT_EQ(published_.size(), 1U);
  EXPECT_GT(published_[0].requests_per_second, 0);
  const MonotonicTime later = kStart + seconds(30);
  EXPECT_TRUE(limits_.AllowsSend(kTarget, later));
  limits_.OnSent(kTarget, later);
  EXPECT_FALSE(limits_.AllowsSend(kTarget, later + seconds(9)));
}

// Guards against bursts after changes of membership: each host that had only
// probed kept a request for the moment at which it got a share.
TEST_F(RateLimitsTest, HostThatGetsAShareStartsWithoutASavedRequest) {
  constexpr double kLimit = 5;
  std::vector<std::uint64_t> region;
  for (std::uint64_t host = 1; host <= 99; ++host) {
    region.push_back(host);
  }
  const MonotonicTime later = kStart + std::chrono::minutes(30);
  int sent = 0;
  for (const std::uint64_t host : region) {
    RateLimits limits({}, random_);
    LimitHosts hosts{.own_hash = host,
                     .own_region = kOwnRegion,
                     .live_in_region = region,
                     .known_in_region = region.size(),
                     .known_hosts = 99};
    limits.SetHosts(hosts, kStart);
    limits.OnReport({.target = kTarget, .requests_per_second = kLimit},
                    kOwnRegion, kStart);
    const double probe_rate = 0.05 * kLimit / 99;
    if (limits.OwnRate(kTarget).value() > 1.01 * probe_rate) {
      continue;
    }
    // Three hosts live: this one and two others, so that it gets a share.
    hosts.live_in_region = {host, host % 99 + 1, (host + 1) % 99 + 1};
    hosts.known_in_region = 3;
    limits.SetHosts(hosts, later);
    sent += limits.AllowsSend(kTarget, later) ? 1 : 0;
  }
  EXPECT_EQ(sent, 0);
}

struct BurstCase {
  std::string name;
  std::size_t hosts;
  double limit;
};

class BurstTable : public testing::TestWithParam<BurstCase> {};

// Hosts that only probe must not each accumulate a request while idle, or they
// would send all of them in one burst when demand returns.
TEST_P(BurstTable, DemandAfterAnIdlePeriodStaysWithinTheTolerance) {
  constexpr int kSteps = 80;
  constexpr Duration kStep = milliseconds(50);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    fakes::SeededRandom random(seed);
    std::vector<std::uint64_t> region;
    for (std::uint64_t host = 1; host <= GetParam().hosts / 3; ++host) {
      region.push_back(host);
    }
    const MonotonicTime later = kStart + std::chrono::minutes(30);
    int sent = 0;
    for (std::uint64_t host = 1; host <= GetParam().hosts; ++host) {
      const bool is_in_region = host <= region.size();
      RateLimits limits({}, random);
      limits.SetHosts(
          {.own_hash = host,
           .own_region = is_in_region ? kOwnRegion : RegionName("far"),
           .live_in_region = region,
           .known_hosts = static_cast<std::uint32_t>(GetParam().hosts)},
          kStart);
      limits.OnReport(
          {.target = kTarget, .requests_per_second = GetParam().limit},
          kOwnRegion, kStart);
      for (int step = 0; step < kSteps; ++step) {
        const MonotonicTime now = later + step * kStep;
        if (limits.AllowsSend(kTarget, now)) {
          limits.OnSent(kTarget, now);
          ++sent;
        }
      }
    }
    EXPECT_LE(sent, 6 * GetParam().limit + 5) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BurstTable,
    testing::Values(BurstCase{"8_hosts", 8, 4.5},
                    BurstCase{"58_hosts", 58, 2.2},
                    BurstCase{"295_hosts_low_limit", 295, 0.7},
                    BurstCase{"295_hosts_least_limit", 295, 0.1},
                    BurstCase{"295_hosts", 295, 4.5},
                    BurstCase{"295_hosts_high_limit", 295, 40}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::request_path
