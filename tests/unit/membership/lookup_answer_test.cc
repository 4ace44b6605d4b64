#include "medlarcroft/membership/lookup_answer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "fakes/seeded_random.h"

namespace medlarcroft::membership {
namespace {

const FailureDomainName kOwn("own");

std::vector<LookupCandidate> Hosts(const std::string& domain,
                                   int large,
                                   int small) {
  std::vector<LookupCandidate> hosts;
  hosts.reserve(static_cast<std::size_t>(large) +
                static_cast<std::size_t>(small));
  for (int number = 0; number < large + small; ++number) {
    hosts.push_back({.address = domain + "-" + std::to_string(number),
                     .failure_domain = FailureDomainName(domain),
                     .link_mbps = number < large ? 200.0 : 20.0});
  }
  return hosts;
}

std::vector<LookupCandidate> LargeRegion() {
  std::vector<LookupCandidate> hosts = Hosts("first", 3, 30);
  for (const LookupCandidate& host : Hosts("own", 3, 30)) {
    hosts.push_back(host);
  }
  return hosts;
}

std::size_t CountFrom(const std::vector<std::string>& chosen,
                      std::string_view domain) {
  return static_cast<std::size_t>(std::ranges::count_if(
      chosen,
      [&](const std::string& address) { return address.starts_with(domain); }));
}

TEST(LookupAnswerTest, ASmallRegionIsListedInFull) {
  fakes::SeededRandom random(1);
  const auto hosts = Hosts("own", 2, 6);
  EXPECT_EQ(ChooseLookupHosts(hosts, kOwn, random).size(), hosts.size());
}

// Guards against answers with more addresses than callers read, and against
// requests that cross domains without need.
TEST(LookupAnswerTest, ALargeRegionListsAFewHostsOfTheCallersDomain) {
  fakes::SeededRandom random(1);
  const auto chosen = ChooseLookupHosts(LargeRegion(), kOwn, random);
  EXPECT_EQ(chosen.size(), kHostsPerAnswer);
  EXPECT_EQ(CountFrom(chosen, "own"), kHostsPerAnswer);
  EXPECT_EQ(std::set(chosen.begin(), chosen.end()).size(), kHostsPerAnswer);
}

// When a domain has lost most of its hosts, its callers get hosts of other
// domains in addition.
TEST(LookupAnswerTest, OtherDomainsAreAddedToADomainWithFewHosts) {
  fakes::SeededRandom random(1);
  std::vector<LookupCandidate> hosts = Hosts("first", 3, 30);
  for (const LookupCandidate& host : Hosts("own", 0, 2)) {
    hosts.push_back(host);
  }
  const auto chosen = ChooseLookupHosts(hosts, kOwn, random);
  EXPECT_EQ(chosen.size(), kHostsPerAnswer);
  EXPECT_EQ(CountFrom(chosen, "own"), 2U);
}

// Guards against hosts that never get a caller, and against small hosts that
// get as many callers as large ones.
TEST(LookupAnswerTest, HostsAreDrawnByTheirBandwidth) {
  fakes::SeededRandom random(7);
  const auto hosts = LargeRegion();
  std::map<std::string, double> shares;
  constexpr int kLookups = 20000;
  for (int i = 0; i < kLookups; ++i) {
    const auto chosen = ChooseLookupHosts(hosts, kOwn, random);
    for (const std::string& address : chosen) {
      shares[address] += 1.0 / static_cast<double>(chosen.size()) / kLookups;
    }
  }
  for (int number = 0; number < 33; ++number) {
    const double share = shares["own-" + std::to_string(number)];
    if (number < 3) {
      EXPECT_GT(share, 0.08) << number;
      EXPECT_LT(share, 0.14) << number;
    } else {
      EXPECT_GT(share, 0.014) << number;
      EXPECT_LT(share, 0.032) << number;
    }
  }
}

TEST(LookupAnswerTest, HostsOfUnknownBandwidthAreListedToo) {
  fakes::SeededRandom random(1);
  std::vector<LookupCandidate> hosts = Hosts("own", 0, 20);
  for (LookupCandidate& host : hosts) {
    host.link_mbps = 0;
  }
  EXPECT_EQ(ChooseLookupHosts(hosts, FailureDomainName(), random).size(),
            kHostsPerAnswer);
  EXPECT_TRUE(ChooseLookupHosts({}, kOwn, random).empty());
}

}  // namespace
}  // namespace medlarcroft::membership
