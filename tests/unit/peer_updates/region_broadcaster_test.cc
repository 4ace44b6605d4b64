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

std::size_t CountHeard(const RegionOfHosts& region, std::uint32_t object) {
  std::size_t heard = 0;
  for (std::size_t place = 0; place < region.Size(); ++place) {
    heard += region.HasHeard(place, object) ? 1 : 0;
  }
  return heard;
}

// What one host placed is known in the whole region while the object's first
// work is under way.
TEST(RegionNewsTest, AllHearOfAnObjectWithinHalfASecond) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  region.TellPlaced(50, 17);
  region.RunFor(milliseconds(520));
  EXPECT_GE(CountHeard(region, 17), region.Size() - 1);
}

TEST(RegionNewsTest, EachDomainHasOneRelayAndALargeOne) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  for (std::size_t domain = 0; domain < 3; ++domain) {
    EXPECT_EQ(region.RelaysOf(domain).size(), 1U) << domain;
  }
}

// Guards against talk that grows with the square of the hosts: it would take
// more processor time than the requests.
TEST(RegionNewsTest, DatagramsGrowWithTheHostsAndNotWithTheirSquare) {
  const auto datagrams_a_host = [](std::size_t hosts_a_domain) {
    RegionOfHosts region({.hosts_a_domain = hosts_a_domain});
    region.RunFor(kSettled);
    const std::size_t before = region.Datagrams();
    for (int round = 0; round < 20; ++round) {
      for (std::size_t place = 0; place < region.Size(); ++place) {
        region.TellPlaced(place,
                          static_cast<std::uint32_t>(1 + 1000 * place + round));
      }
      region.RunFor(milliseconds(100));
    }
    return static_cast<double>(region.Datagrams() - before) /
           static_cast<double>(region.Size());
  };
  EXPECT_LT(datagrams_a_host(66), 1.2 * datagrams_a_host(33));
}

// However much is placed, a host hears no more than its control may take.
TEST(RegionNewsTest, WhatAHostHearsIsBounded) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  const std::size_t small_host = 98;
  const std::size_t before = region.BytesHeard(small_host);
  std::uint32_t object = 0;
  for (int round = 0; round < 100; ++round) {
    for (std::size_t place = 0; place < region.Size(); ++place) {
      region.TellPlaced(place, ++object);
      region.TellLoad(place, object % 1200 + 1, object % 40);
    }
    region.RunFor(milliseconds(50));
  }
  EXPECT_LT(region.BytesHeard(small_host) - before, 5 * 7000U);
}

// The latest load of each target comes through, also when there are more than
// one datagram takes.
TEST(RegionNewsTest, NoTargetsLoadIsLeftOut) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  constexpr std::uint32_t kTargets = 400;
  for (std::uint32_t target = 1; target <= kTargets; ++target) {
    region.TellLoad(target % region.Size(), target, 5 + target % 7);
  }
  region.RunFor(seconds(2));
  for (std::uint32_t target = 1; target <= kTargets; ++target) {
    ASSERT_EQ(region.LoadAt(98, target), 5 + target % 7) << target;
  }
}

struct RelayFault {
  std::string name;
  std::function<void(RegionOfHosts&, std::size_t relay)> happen;
};

class RelayFaultTable : public testing::TestWithParam<RelayFault> {};

// A relay fails: the hosts of its domain must not look dead to anyone, and news
// comes again within a second and a half.
TEST_P(RelayFaultTable, AnotherRelayTakesItsPlace) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  const std::size_t relay = region.RelaysOf(1).at(0);
  GetParam().happen(region, relay);
  for (int step = 0; step < 40; ++step) {
    region.RunFor(milliseconds(100));
    for (std::size_t place = 0; place < region.Size(); ++place) {
      const bool counts = place != relay && place % 3 == 1;
      const std::size_t observer = place == 3 ? 6 : 3;
      if (counts && observer % 3 == 0) {
        ASSERT_LT(region.AgeAt(observer, place), kLivenessTimeout)
            << place << " after " << step;
      }
    }
  }
  const std::size_t teller = relay == 4 ? 7 : 4;
  region.TellPlaced(teller, 99);
  region.RunFor(milliseconds(1500));
  EXPECT_GE(CountHeard(region, 99), region.Size() - 2);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RelayFaultTable,
    testing::Values(
        RelayFault{"killed", [](RegionOfHosts& region,
                                std::size_t relay) { region.Kill(relay); }},
        RelayFault{"paused",
                   [](RegionOfHosts& region, std::size_t relay) {
                     region.Pause(relay, seconds(4));
                   }},
        RelayFault{"cut", [](RegionOfHosts& region,
                             std::size_t relay) { region.Cut(relay); }},
        RelayFault{"cut_with_the_next",
                   [](RegionOfHosts& region, std::size_t relay) {
                     region.Cut(relay);
                     region.RunFor(milliseconds(300));
                   }}),
    [](const auto& info) { return info.param.name; });

// A host that was cut off hears of everything again soon after it is back.
TEST(RegionNewsTest, AHostThatWasCutHearsAgain) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  region.Cut(50);
  region.RunFor(seconds(6));
  region.Heal(50);
  region.RunFor(seconds(2));
  region.TellPlaced(3, 7);
  region.RunFor(seconds(1));
  EXPECT_TRUE(region.HasHeard(50, 7));
}

// A domain was cut off for longer than hosts count as heard: nobody there is
// known any more, and both sides must find each other again by themselves.
TEST(RegionNewsTest, ADomainThatWasCutOffIsHeardAgain) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  region.CutDomain(1);
  region.RunFor(seconds(10));
  region.HealDomain();
  region.RunFor(seconds(2));
  region.TellPlaced(3, 7);
  region.TellPlaced(4, 8);
  region.RunFor(seconds(1));
  EXPECT_GE(CountHeard(region, 7), region.Size() - 1);
  EXPECT_GE(CountHeard(region, 8), region.Size() - 1);
}

// What a cut-off domain's targets had when it was cut off must not come as news
// when it is back: a target that has long been idle would look full.
TEST(RegionNewsTest, WhatIsOldIsNotToldAfterACut) {
  RegionOfHosts region({});
  region.RunFor(kSettled);
  region.CutDomain(1);
  region.RunFor(seconds(5));
  region.TellLoad(4, 77, 30);
  region.TellPlaced(4, 8);
  region.RunFor(seconds(10));
  region.HealDomain();
  region.RunFor(seconds(3));
  EXPECT_TRUE(region.LoadAt(7, 77));
  EXPECT_FALSE(region.LoadAt(3, 77));
  EXPECT_FALSE(region.HasHeard(3, 8));
}

}  // namespace
}  // namespace medlarcroft::peer_updates
