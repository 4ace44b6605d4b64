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

std::string EncodeRow(const std::string& host,
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
    std::vector<std::uint32_t> placed;  ///< Objects placed by others.
    std::vector<std::uint32_t> loads;   ///< Received from others.
  };

  /// Tests run in parallel processes; an address per process avoids bind
  /// conflicts.
  static std::string AddressOf(int number) {
    constexpr unsigned kFirst = 64;
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(kFirst + process / 256 % kFirst) + "." +
           std::to_string(process % 256) + "." + std::to_string(number);
  }

  PeerGroup& AddHost(int number) {
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
            .metrics = metrics_,
            .regions = regions_,
            .on_placed =
                [receiver =
                     host.get()](const peer_updates::PlacedObject& placed) {
                  receiver->placed.push_back(placed.object.Value());
                },
            .on_load =
                [receiver =
                     host.get()](const peer_updates::ReportedLoad& load) {
                  receiver->loads.push_back(load.requests);
                }});
    EXPECT_TRUE(host->group->Start());
    hosts_.push_back(std::move(host));
    return *hosts_.back()->group;
  }

  void RunFor(Duration time) {
    loop_.After(time, [this] { loop_.Finish(0); });
    loop_.Run();
  }

  [[nodiscard]] int CountWrites() {
    return server_.calls["/medlarcroft/rows-tx"];
  }

  static replication::RowsRequest MakeQuery() { return {.table = "t"}; }

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

// Many hosts of this region and of another one have a row, but sent no
// datagram. This host must read the store itself, since none of them would
// answer.
TEST_F(PeerGroupTest, AListedHostThatSentNoDatagramIsNoReader) {
  for (int number = 10; number < 20; ++number) {
    const std::string name = "h" + std::to_string(number);
    const std::string address = AddressOf(number) + ":1";
    server_.Put(name, EncodeRow(name, number % 2 == 0 ? "z" : "far", address));
  }
  PeerGroup& group = AddHost(1);
  RunFor(milliseconds(300));

  EXPECT_GE(group.KnownHosts(), 10U);
  EXPECT_FALSE(group.HasFoundReaders());
  EXPECT_FALSE(group.Readers().AskReader(MakeQuery(), [](const auto&) {}));
}

// Seven hosts exchange datagrams: one of them reads the store for all others.
TEST_F(PeerGroupTest, OneHostOfALargeRegionReadsForTheOthers) {
  constexpr int kHosts = 7;
  for (int number = 1; number <= kHosts; ++number) {
    AddHost(number);
  }
  RunFor(milliseconds(2500));

  int readers = 0;
  for (const auto& host : hosts_) {
    EXPECT_TRUE(host->group->HasFoundReaders());
    readers += host->group->Readers().AskReader(MakeQuery(), [](const auto&) {})
                   ? 0
                   : 1;
  }
  EXPECT_EQ(readers, 1);
}

// A caller's object is warm on the target that one host chose, so the others
// must send it there, too. Each of them receives every object once, also when
// there are more objects than fit into one datagram.
TEST_F(PeerGroupTest, PlacedObjectsReachAllOthersOnce) {
  constexpr std::size_t kObjects = 60;
  for (int number = 1; number <= 3; ++number) {
    AddHost(number);
  }
  std::vector<std::uint32_t> expected(kObjects);
  std::iota(expected.begin(), expected.end(), 1);
  bool is_sent = false;
  loop_.Every(milliseconds(10), [&] {
    if (!is_sent && hosts_[0]->group->HostsInRegion() == 3) {
      is_sent = true;
      for (const std::uint32_t object : expected) {
        hosts_[0]->group->PublishPlacement(
            {.target = kTarget,
             .object = request_path::ObjectKey::FromValue(object)});
      }
    }
    const bool is_received = hosts_[1]->placed.size() >= kObjects &&
                             hosts_[2]->placed.size() >= kObjects;
    if (is_received) {
      loop_.Finish(0);
    }
  });
  RunFor(seconds(20));

  EXPECT_TRUE(hosts_[0]->placed.empty());
  EXPECT_EQ(hosts_[1]->placed, expected);
  EXPECT_EQ(hosts_[2]->placed, expected);
}

// A host restarts at its previous address. Its row exists already, and writing
// it again would end the pending calls of all hosts that follow the table.
TEST_F(PeerGroupTest, ARestartedHostKeepsItsRow) {
  server_.Put("h1", EncodeRow("h1", "z", AddressOf(1) + ":18790"));
  AddHost(1);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountWrites(), 0);
}

// Another host removed the row of this one, since it had received nothing from
// it for a long time. This host writes it again, so that it counts when global
// limits are divided.
TEST_F(PeerGroupTest, AHostRewritesItsRemovedRow) {
  server_.Put("h1", EncodeRow("h1", "z", AddressOf(1) + ":18790"));
  AddHost(1);
  loop_.After(milliseconds(200), [this] { server_.Remove("h1"); });
  RunFor(milliseconds(1800));
  EXPECT_EQ(CountWrites(), 1);
}

// A target reports its load several times in quick succession. The other hosts
// must use the latest report, and a datagram per report would cost more than it
// gains.
TEST_F(PeerGroupTest, OnlyTheLatestLoadOfATargetIsSent) {
  for (int number = 1; number <= 3; ++number) {
    AddHost(number);
  }
  bool is_sent = false;
  loop_.Every(milliseconds(10), [&] {
    if (!is_sent && hosts_[0]->group->HostsInRegion() == 3) {
      is_sent = true;
      for (const std::uint32_t requests : {3U, 5U, 9U}) {
        hosts_[0]->group->PublishLoad(
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

// In a region that is too large for each host to send to all others, relays
// deliver a target's load and a placed object to every host.
TEST_F(PeerGroupTest, RelaysReachAllHostsOfALargeRegion) {
  constexpr std::size_t kHosts = peer_updates::kMaxDirectPeers + 2;
  for (std::size_t number = 1; number <= kHosts; ++number) {
    AddHost(static_cast<int>(number));
  }
  bool is_sent = false;
  loop_.Every(milliseconds(10), [&] {
    if (!is_sent && hosts_[0]->group->HostsInRegion() == kHosts) {
      is_sent = true;
      hosts_[0]->group->PublishLoad({.target = kTarget, .requests = 3});
      hosts_[0]->group->PublishPlacement(
          {.target = kTarget, .object = kObject});
    }
    const bool is_received =
        std::all_of(hosts_.begin() + 1, hosts_.end(), [](const auto& host) {
          return !host->placed.empty() && !host->loads.empty();
        });
    if (is_received) {
      loop_.Finish(0);
    }
  });
  RunFor(seconds(20));

  for (std::size_t index = 1; index < kHosts; ++index) {
    ASSERT_FALSE(hosts_[index]->placed.empty()) << index;
    EXPECT_EQ(hosts_[index]->placed.front(), kObject.Value());
    ASSERT_FALSE(hosts_[index]->loads.empty()) << index;
    EXPECT_EQ(hosts_[index]->loads.front(), 3U);
  }
}

}  // namespace
}  // namespace medlarcroft::node
