#include "medlarcroft/replication/reader_choice.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "medlarcroft/replication/refused_readers.h"

namespace medlarcroft::replication {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

/// @return hosts in three domains of a region.
std::vector<ReaderCandidate> HostsOf(const std::string& region,
                                     int hosts_a_domain) {
  std::vector<ReaderCandidate> hosts;
  for (const std::string domain : {"-a", "-b", "-c"}) {
    for (int number = 0; number < hosts_a_domain; ++number) {
      const std::string name = region + domain + "-" + std::to_string(number);
      hosts.push_back({.host = HostName(name),
                       .address = name,
                       .failure_domain = FailureDomainName(region + domain),
                       .link_mbps = 20});
    }
  }
  return hosts;
}

std::map<FailureDomainName, RegionName> Regions() {
  std::map<FailureDomainName, RegionName> regions;
  for (const std::string region : {"r", "s"}) {
    for (const std::string domain : {"-a", "-b", "-c"}) {
      regions[FailureDomainName(region + domain)] = RegionName(region);
    }
  }
  return regions;
}

// Guards against one small host that sends a thousand targets to a hundred
// others, most of them in other domains.
TEST(ReaderChoiceTest, ALargeRegionHasAReaderInEachDomain) {
  const FailureDomainName own("r-b");
  const auto few = EligibleReaders(own, 30, HostsOf("r", 10));
  EXPECT_EQ(few.size(), 30U);
  const auto many = EligibleReaders(own, 99, HostsOf("r", 33));
  ASSERT_EQ(many.size(), 33U);
  EXPECT_EQ(ChooseReader("t", many)->failure_domain, own);
}

// Guards against hosts that the store refuses making all others read it.
TEST(ReaderChoiceTest, RefusedHostsCallReadersOnly) {
  std::vector<ReaderCandidate> hosts = HostsOf("r", 33);
  for (const ReaderCandidate& host : HostsOf("s", 10)) {
    hosts.push_back(host);
  }
  std::set<std::string> called;
  for (const ReaderCandidate& reader :
       ChooseReadersOfAllRegions("t", hosts, Regions())) {
    called.insert(reader.address);
  }
  const auto own = EligibleReaders(FailureDomainName("r-a"), 99, hosts);
  EXPECT_EQ(called.size(), 4U);
  EXPECT_TRUE(called.contains(ChooseReader("t", own)->address));
}

TEST(ReaderChoiceTest, InASmallRegionEachHostIsAReader) {
  EXPECT_EQ(ChooseReadersOfAllRegions("t", HostsOf("r", 1), Regions()).size(),
            3U);
}

TEST(ReaderChoiceTest, AReaderThatRefusedIsExcludedForAWhile) {
  RefusedReaders refused;
  const auto hosts = HostsOf("r", 33);
  const ReaderCandidate first = *ChooseReader("t", hosts);
  refused.Record(first.host, kNow);

  auto remaining = hosts;
  refused.RemoveRefusing(remaining, kNow + seconds(1));
  EXPECT_EQ(remaining.size(), hosts.size() - 1);
  EXPECT_NE(ChooseReader("t", remaining)->host, first.host);

  remaining = hosts;
  refused.RemoveRefusing(remaining, kNow + seconds(4));
  EXPECT_EQ(ChooseReader("t", remaining)->host, first.host);
}

}  // namespace
}  // namespace medlarcroft::replication
