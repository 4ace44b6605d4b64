#include "peer_group.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "adapters/process/system_clock.h"
#include "fakes/fake_store_server.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/peer_updates/update_timing.h"
#include "platform/host_entry.h"

namespace medlarcroft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr request_path::TargetNumber kTarget{7};
const request_path::ObjectKey kObject("o");

std::string RowOf(const std::string& host,
                  const std::string& domain,
                  const std::string& address) {
  return platform::EncodeHostEntry(
      {.host = {.name = host,
                .failure_domain = FailureDomainName(domain),
                .address = address}});
}

/// @brief Hosts of one region in one process, each with its own address.
class PeerGroupTest : public testing::Test {
 protected:
  struct Host {
    adapters::NodeSettings settings;
    std::unique_ptr<PeerGroup> group;
    std::vector<std::uint32_t> placed;  ///< Objects that others placed.
    std::vector<std::uint32_t> loads;   ///< Told by others.
  };

  /// Tests run beside each other, each in a process of its own.
  static std::string AddressOf(int number) {
    constexpr unsigned kFirst = 64;
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(kFirst + process / 256 % kFirst) + "." +
           std::to_string(process % 256) + "." + std::to_string(number);
  }

  PeerGroup& Add(int number) {
    auto host = std::make_unique<Host>();
    host->settings.host = "h" + std::to_string(number);
    host->settings.failure_domain = "z";
    host->settings.region = "r";
    host->settings.peer_listen = AddressOf(number) + ":18790";
    host->settings.caller_listen = AddressOf(number) + ":18791";
    host->group = std::make_unique<PeerGroup>(
        host->settings,
        PeerGroup::Parts{
            .loop = loop_,
            .store = store_,
            .random = random_,
            .regions = regions_,
            .on_placed =
                [heard = host.get()](const peer_updates::PlacedObject& placed) {
                  heard->placed.push_back(placed.object.Value());
                },
            .on_load =
                [heard = host.get()](const peer_updates::ReportedLoad& load) {
                  heard->loads.push_back(load.requests);
                }});
    EXPECT_TRUE(host->group->Start());
    hosts_.push_back(std::move(host));
    return *hosts_.back()->group;
  }

  void RunFor(Duration time) {
    loop_.After(time, [this] { loop_.Finish(0); });
    loop_.Run();
  }

  [[nodiscard]] int Writes() { return server_.calls["/medlarcroft/rows-tx"]; }

  static replication::RowsRequest Question() { return {.table = "t"}; }

  adapters::SystemClock clock_;
  adapters::EventLoop loop_{clock_};
  telemetry::MetricsRegistry metrics_;
  fakes::FakeStoreServer server_{loop_};
  fakes::SeededRandom random_{5};
  platform::StoreClient store_{
      loop_,
      {.address = server_.Address(), .call_timeout = milliseconds(500)},
      metrics_};
  request_path::DomainRegions regions_{
      {FailureDomainName("z"), RegionName("r")},
      {FailureDomainName("far"), RegionName("other")}};
  std::vector<std::unique_ptr<Host>> hosts_;
};

// Many hosts have a row, of this region and of another, and none of them was
// heard. This host must read the store itself: nobody of them would answer.
TEST_F(PeerGroupTest, AHostThatIsOnlyListedDoesNotRead) {
  for (int number = 10; number < 20; ++number) {
    const std::string name = "h" + std::to_string(number);
    const std::string address = AddressOf(number) + ":1";
    server_.Put(name, RowOf(name, number % 2 == 0 ? "z" : "far", address));
  }
  PeerGroup& group = Add(1);
  RunFor(milliseconds(300));

  EXPECT_GE(group.KnownHosts(), 10U);
  EXPECT_FALSE(group.HasFoundReaders());
  EXPECT_FALSE(group.Readers().AskReader(Question(), [](const auto&) {}));
}

// Seven hosts hear each other: all but one have the same one read for them.
TEST_F(PeerGroupTest, OneHostOfALargeRegionReadsForTheOthers) {
  constexpr int kHosts = 7;
  for (int number = 1; number <= kHosts; ++number) {
    Add(number);
  }
  RunFor(milliseconds(2500));

  int readers = 0;
  for (const auto& host : hosts_) {
    EXPECT_TRUE(host->group->HasFoundReaders());
    readers += host->group->Readers().AskReader(Question(), [](const auto&) {})
                   ? 0
                   : 1;
  }
  EXPECT_EQ(readers, 1);
}

// A caller's object is warm on the target that one host chose; the others must
// send it there too. Each of them hears of every object once, also of more than
// one datagram takes.
TEST_F(PeerGroupTest, PlacedObjectsAreToldToAllOthersOnce) {
  constexpr std::size_t kObjects = 60;
  for (int number = 1; number <= 3; ++number) {
    Add(number);
  }
  std::vector<std::uint32_t> expected(kObjects);
  std::iota(expected.begin(), expected.end(), 1);
  bool is_told = false;
  loop_.Every(milliseconds(10), [&] {
    if (!is_told && hosts_[0]->group->HostsInRegion() == 3) {
      is_told = true;
      for (const std::uint32_t object : expected) {
        hosts_[0]->group->BroadcastPlacement(
            {.target = kTarget,
             .object = request_path::ObjectKey::FromValue(object)});
      }
    }
    const bool is_heard = hosts_[1]->placed.size() >= kObjects &&
                          hosts_[2]->placed.size() >= kObjects;
    if (is_heard) {
      loop_.Finish(0);
    }
  });
  RunFor(seconds(20));

  EXPECT_TRUE(hosts_[0]->placed.empty());
  EXPECT_EQ(hosts_[1]->placed, expected);
  EXPECT_EQ(hosts_[2]->placed, expected);
}

// A host starts again at its old address. Its row stands there already; writing
// it anew would wake all hosts that follow the table.
TEST_F(PeerGroupTest, AHostThatStartsAgainLeavesItsRow) {
  server_.Put("h1", RowOf("h1", "z", AddressOf(1) + ":18790"));
  Add(1);
  RunFor(milliseconds(300));
  EXPECT_EQ(Writes(), 0);
}

// Another host took this one's row away, since it was not heard for long: it
// writes it again, so that it counts among those that share the bounds.
TEST_F(PeerGroupTest, AHostWhoseRowIsTakenAwayWritesItAgain) {
  server_.Put("h1", RowOf("h1", "z", AddressOf(1) + ":18790"));
  Add(1);
  loop_.After(milliseconds(200), [this] { server_.Remove("h1"); });
  RunFor(milliseconds(1800));
  EXPECT_EQ(Writes(), 1);
}

// A target's load is heard again and again within a moment. Others must place
// by the latest, and a datagram for each would cost more than it brings.
TEST_F(PeerGroupTest, TheLatestLoadOfATargetIsToldOnce) {
  for (int number = 1; number <= 3; ++number) {
    Add(number);
  }
  bool is_told = false;
  loop_.Every(milliseconds(10), [&] {
    if (!is_told && hosts_[0]->group->HostsInRegion() == 3) {
      is_told = true;
      for (const std::uint32_t requests : {3U, 5U, 9U}) {
        hosts_[0]->group->BroadcastLoad(
            {.target = kTarget, .requests = requests});
      }
    }
    if (!hosts_[1]->loads.empty() && !hosts_[2]->loads.empty()) {
      loop_.Finish(0);
    }
  });
  RunFor(seconds(20));

  EXPECT_TRUE(hosts_[0]->loads.empty());
  EXPECT_EQ(hosts_[1]->loads, std::vector{9U});
  EXPECT_EQ(hosts_[2]->loads, std::vector{9U});
}

// A region that is too large for each to tell each: by relays every host hears
// of a target's load and of an object all the same.
TEST_F(PeerGroupTest, HostsOfALargeRegionHearByRelays) {
  constexpr std::size_t kHosts = peer_updates::kMaxDirectPeers + 2;
  for (std::size_t number = 1; number <= kHosts; ++number) {
    Add(static_cast<int>(number));
  }
  bool is_told = false;
  loop_.Every(milliseconds(10), [&] {
    if (!is_told && hosts_[0]->group->HostsInRegion() == kHosts) {
      is_told = true;
      hosts_[0]->group->BroadcastLoad({.target = kTarget, .requests = 3});
      hosts_[0]->group->BroadcastPlacement(
          {.target = kTarget, .object = kObject});
    }
    const bool is_heard =
        std::all_of(hosts_.begin() + 1, hosts_.end(), [](const auto& host) {
          return !host->placed.empty() && !host->loads.empty();
        });
    if (is_heard) {
      loop_.Finish(0);
    }
  });
  RunFor(seconds(20));

  for (std::size_t place = 1; place < kHosts; ++place) {
    ASSERT_FALSE(hosts_[place]->placed.empty()) << place;
    EXPECT_EQ(hosts_[place]->placed.front(), kObject.Value());
    ASSERT_FALSE(hosts_[place]->loads.empty()) << place;
    EXPECT_EQ(hosts_[place]->loads.front(), 3U);
  }
}

}  // namespace
}  // namespace medlarcroft::node
