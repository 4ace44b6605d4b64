#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "table_following_world.h"

namespace medlarcroft::replication {
namespace {

constexpr Duration kKnownWithin = seconds(4);
constexpr Duration kFaultTime = seconds(20);
constexpr std::size_t kReaders = 4;

/// @return the hosts that read for the region, the preferred one first.
std::vector<int> RankReaders(int hosts) {
  std::vector<ReaderCandidate> left;
  left.reserve(static_cast<std::size_t>(hosts));
  for (int host = 0; host < hosts; ++host) {
    left.push_back({.host = Region::NameOf(host),
                    .address = std::to_string(host),
                    .failure_domain = FailureDomainName("z"),
                    .link_mbps = 100});
  }
  std::vector<int> ranked;
  while (ranked.size() < kReaders) {
    const ReaderCandidate* const reader = ChooseReader("t", left);
    ranked.push_back(std::stoi(reader->address));
    left.erase(left.begin() + (reader - left.data()));
  }
  return ranked;
}

/// @brief Readers that have slow links, run late or lose the store, in turns
/// that overlap; all other hosts and the store have no fault.
class SlowReaders {
 public:
  SlowReaders(std::uint64_t seed, int hosts)
      : random_(seed),
        network_(time_, store_, seed + 1),
        region_(time_,
                network_,
                hosts,
                FollowTimingFor(static_cast<std::size_t>(hosts),
                                {.in_touch_after = seconds(4),
                                 .changes_known_within = kKnownWithin,
                                 .target_heartbeat = milliseconds(1500)}),
                seed + 2,
                OtherReadersAsked(kKnownWithin)),
        readers_(RankReaders(hosts)) {
    network_.SetConnectTime([this](int, int to) {
      return IsReader(to) ? Draw(0, 0.45) : Duration(0);
    });
    const std::uint64_t faults = 10 + random_.NextBelow(20);
    for (std::uint64_t i = 0; i < faults; ++i) {
      PlanFault();
    }
    for (MonotonicTime at = start_ + seconds(1); at < start_ + kFaultTime;
         at += Draw(0.1, 1.5)) {
      Plan(at, [this] { Change(); });
    }
  }

  void Run() { time_.RunUntil(start_ + kFaultTime); }

 private:
  Duration Draw(double least, double most) {
    return FromSeconds(least + (most - least) * random_.NextUnit());
  }
  void Plan(MonotonicTime at, std::function<void()> task) {
    time_.At(VirtualTime::kNoHost, at, std::move(task));
  }
  [[nodiscard]] bool IsReader(int host) const {
    return std::ranges::find(readers_, host) != readers_.end();
  }

  void PlanFault() {
    const int host = readers_[random_.NextBelow(readers_.size())];
    const MonotonicTime at = start_ + Draw(1.5, 15);
    const MonotonicTime end = at + Draw(0.5, 5);
    const Duration delay = Draw(0.3, 1);
    switch (random_.NextBelow(4)) {
      case 0:
        Plan(at, [this, host] {
          network_.SetAccess(host, StoreAccess::kPartitioned);
        });
        Plan(end,
             [this, host] { network_.SetAccess(host, StoreAccess::kNormal); });
        return;
      case 1:
        Plan(at, [this, host, delay] {
          time_.SetLateness(host, [delay] { return delay; });
        });
        Plan(end, [this, host] { time_.SetLateness(host, {}); });
        return;
      default:
        Plan(at, [this, host, delay] { network_.SetLinkDelay(host, delay); });
        Plan(end, [this, host] { network_.SetLinkDelay(host, Duration(0)); });
    }
  }

  void Change() {
    store_.Put("configuration");
    network_.OnCommit();
    Plan(time_.Now() + kKnownWithin, [this, version = store_.Newest()] {
      for (int host = 0; host < region_.Size(); ++host) {
        if (!IsReader(host)) {
          EXPECT_GE(region_.FollowerOf(host).Mirror().Version(), version)
              << "host " << host << " at " << ToSeconds(time_.Now() - start_);
        }
      }
    });
  }

  VirtualTime time_;
  const MonotonicTime start_ = time_.Now();
  fakes::SeededRandom random_;
  ModelStore store_;
  ModelNetwork network_;
  Region region_;
  const std::vector<int> readers_;
};

class SlowReaderTest : public testing::TestWithParam<int> {};

// Guards against a host without any fault that acts on rows older than allowed,
// since it asks one reader behind a slow link after the other.
TEST_P(SlowReaderTest, OtherHostsKnowOfChangesInTime) {
  constexpr std::uint64_t kSchedules = 1500;
  for (std::uint64_t seed = 1; seed <= kSchedules && !HasFailure(); ++seed) {
    SlowReaders schedule(seed, GetParam());
    schedule.Run();
    EXPECT_FALSE(HasFailure()) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Hosts,
                         SlowReaderTest,
                         testing::Values(7, 20, 38),
                         [](const auto& info) {
                           return "of_" + std::to_string(info.param);
                         });

}  // namespace
}  // namespace medlarcroft::replication
