#include "medlarcroft/peer_updates/region_broadcaster.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "region_simulation.h"

namespace medlarcroft::peer_updates {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSettled = seconds(3);

std::size_t CountReceived(const RegionSimulation& region,
                          std::uint32_t object) {
  std::size_t received = 0;
  for (std::size_t index = 0; index < region.Size(); ++index) {
    received += region.HasReceived(index, object) ? 1 : 0;
  }
  return received;
}

// A placed object must be known in the whole region while the target still
// processes it for the first time.
TEST(RegionBroadcasterTest, AllHostsLearnOfAnObjectWithinHalfASecond) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  region.BroadcastPlacement(50, 17);
  region.RunFor(milliseconds(520));
  EXPECT_GE(CountReceived(region, 17), region.Size() - 1);
}

TEST(RegionBroadcasterTest, EachDomainHasExactlyOneRelay) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  for (std::size_t domain = 0; domain < 3; ++domain) {
    EXPECT_EQ(region.RelaysOf(domain).size(), 1U) << domain;
  }
}

// Guards against datagrams that grow with the square of the number of hosts:
// they would take more processor time than the requests.
TEST(RegionBroadcasterTest, DatagramsGrowLinearlyWithTheHosts) {
  const auto datagrams_per_host = [](std::size_t hosts_per_domain) {
    RegionSimulation region({.hosts_per_domain = hosts_per_domain});
    region.RunFor(kSettled);
    const std::size_t before = region.Datagrams();
    for (int round = 0; round < 20; ++round) {
      for (std::size_t index = 0; index < region.Size(); ++index) {
        region.BroadcastPlacement(
            index, static_cast<std::uint32_t>(1 + 1000 * index + round));
      }
      region.RunFor(milliseconds(100));
    }
    return static_cast<double>(region.Datagrams() - before) /
           static_cast<double>(region.Size());
  };
  EXPECT_LT(datagrams_per_host(66), 1.2 * datagrams_per_host(33));
}

// However many objects are placed, a host receives no more than its control
// traffic may take.
TEST(RegionBroadcasterTest, BytesReceivedByAHostAreBounded) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  const std::size_t small_host = 98;
  const std::size_t before = region.BytesReceived(small_host);
  std::uint32_t object = 0;
  for (int round = 0; round < 100; ++round) {
    for (std::size_t index = 0; index < region.Size(); ++index) {
      region.BroadcastPlacement(index, ++object);
      region.BroadcastLoad(index, object % 1200 + 1, object % 40);
    }
    region.RunFor(milliseconds(50));
  }
  EXPECT_LT(region.BytesReceived(small_host) - before, 5 * 7000U);
}

// The latest load of each target must arrive even when there are more than fit
// in one datagram.
TEST(RegionBroadcasterTest, LoadsOfAllTargetsArrive) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  constexpr std::uint32_t kTargets = 400;
  for (std::uint32_t target = 1; target <= kTargets; ++target) {
    region.BroadcastLoad(target % region.Size(), target, 5 + target % 7);
  }
  region.RunFor(seconds(2));
  for (std::uint32_t target = 1; target <= kTargets; ++target) {
    ASSERT_EQ(region.LoadAt(98, target), 5 + target % 7) << target;
  }
}

struct RelayFault {
  std::string name;
  std::function<void(RegionSimulation&, std::size_t relay)> inject;
};

class RelayFaultTable : public testing::TestWithParam<RelayFault> {};

// When a relay fails, the hosts of its domain must not be considered dead by
// any host, and updates must arrive again within a second and a half.
TEST_P(RelayFaultTable, AnotherRelayTakesItsPlace) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  const std::size_t relay = region.RelaysOf(1).at(0);
  GetParam().inject(region, relay);
  for (int step = 0; step < 40; ++step) {
    region.RunFor(milliseconds(100));
    for (std::size_t index = 0; index < region.Size(); ++index) {
      const bool counts = index != relay && index % 3 == 1;
      const std::size_t observer = index == 3 ? 6 : 3;
      if (counts && observer % 3 == 0) {
        ASSERT_LT(region.AgeAt(observer, index), kLivenessTimeout)
            << index << " after " << step;
      }
    }
  }
  const std::size_t reporter = relay == 4 ? 7 : 4;
  region.BroadcastPlacement(reporter, 99);
  region.RunFor(milliseconds(1500));
  EXPECT_GE(CountReceived(region, 99), region.Size() - 2);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RelayFaultTable,
    testing::Values(RelayFault{"killed",
                               [](RegionSimulation& region, std::size_t relay) {
                                 region.Kill(relay);
                               }},
                    RelayFault{"paused",
                               [](RegionSimulation& region, std::size_t relay) {
                                 region.Pause(relay, seconds(4));
                               }},
                    RelayFault{"disconnected",
                               [](RegionSimulation& region, std::size_t relay) {
                                 region.Disconnect(relay);
                               }},
                    RelayFault{"disconnected_300_ms_earlier",
                               [](RegionSimulation& region, std::size_t relay) {
                                 region.Disconnect(relay);
                                 region.RunFor(milliseconds(300));
                               }}),
    [](const auto& info) { return info.param.name; });

// A host that was disconnected must receive updates again soon after it
// reconnects.
TEST(RegionBroadcasterTest, AReconnectedHostReceivesUpdates) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  region.Disconnect(50);
  region.RunFor(seconds(6));
  region.Reconnect(50);
  region.RunFor(seconds(2));
  region.BroadcastPlacement(3, 7);
  region.RunFor(seconds(1));
  EXPECT_TRUE(region.HasReceived(50, 7));
}

// When a domain was disconnected for longer than the liveness timeout, no host
// on either side considers one on the other side live. Both sides must find
// each other again without help.
TEST(RegionBroadcasterTest, AReconnectedDomainExchangesUpdates) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  region.DisconnectDomain(1);
  region.RunFor(seconds(10));
  region.ReconnectDomain();
  region.RunFor(seconds(2));
  region.BroadcastPlacement(3, 7);
  region.BroadcastPlacement(4, 8);
  region.RunFor(seconds(1));
  EXPECT_GE(CountReceived(region, 7), region.Size() - 1);
  EXPECT_GE(CountReceived(region, 8), region.Size() - 1);
}

// Loads from the start of a disconnection must not be sent when the domain
// reconnects: a target that has long been idle would look full.
TEST(RegionBroadcasterTest, OutdatedUpdatesAreNotSentAfterAReconnection) {
  RegionSimulation region({});
  region.RunFor(kSettled);
  region.DisconnectDomain(1);
  region.RunFor(seconds(5));
  region.BroadcastLoad(4, 77, 30);
  region.BroadcastPlacement(4, 8);
  region.RunFor(seconds(10));
  region.ReconnectDomain();
  region.RunFor(seconds(3));
  EXPECT_TRUE(region.LoadAt(7, 77));
  EXPECT_FALSE(region.LoadAt(3, 77));
  EXPECT_FALSE(region.HasReceived(3, 8));
}

}  // namespace
}  // namespace medlarcroft::peer_updates
