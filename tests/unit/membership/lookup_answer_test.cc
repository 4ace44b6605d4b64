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

std::size_t CountFrom(const std::vector<std::string>& named,
                      std::string_view domain) {
  return static_cast<std::size_t>(std::ranges::count_if(
      named,
      [&](const std::string& address) { return address.starts_with(domain); }));
}

TEST(LookupAnswerTest, ASmallRegionIsNamedWhole) {
  fakes::SeededRandom random(1);
  const auto hosts = Hosts("own", 2, 6);
  EXPECT_EQ(ChooseLookupHosts(hosts, kOwn, random).size(), hosts.size());
}

// Guards against answers of more addresses than callers read, and against
// requests that cross domains for nothing.
TEST(LookupAnswerTest, ALargeRegionNamesAFewHostsOfTheCallersDomain) {
  fakes::SeededRandom random(1);
  const auto named = ChooseLookupHosts(LargeRegion(), kOwn, random);
  EXPECT_EQ(named.size(), kHostsNamed);
  EXPECT_EQ(CountFrom(named, "own"), kHostsNamed);
  EXPECT_EQ(std::set(named.begin(), named.end()).size(), kHostsNamed);
}

// A domain lost most of its hosts: its callers are told of others beside them.
TEST(LookupAnswerTest, ADomainWithFewHostsIsHelpedOut) {
  fakes::SeededRandom random(1);
  std::vector<LookupCandidate> hosts = Hosts("first", 3, 30);
  for (const LookupCandidate& host : Hosts("own", 0, 2)) {
    hosts.push_back(host);
  }
  const auto named = ChooseLookupHosts(hosts, kOwn, random);
  EXPECT_EQ(named.size(), kHostsNamed);
  EXPECT_EQ(CountFrom(named, "own"), 2U);
}

// Guards against hosts that never get a caller, and against small ones that
// carry as much as large ones.
TEST(LookupAnswerTest, EachHostIsNamedByWhatItCarries) {
  fakes::SeededRandom random(7);
  const auto hosts = LargeRegion();
  std::map<std::string, double> parts;
  constexpr int kLookups = 20000;
  for (int i = 0; i < kLookups; ++i) {
    const auto named = ChooseLookupHosts(hosts, kOwn, random);
    for (const std::string& address : named) {
      parts[address] += 1.0 / static_cast<double>(named.size()) / kLookups;
    }
  }
  for (int number = 0; number < 33; ++number) {
    const double part = parts["own-" + std::to_string(number)];
    if (number < 3) {
      EXPECT_GT(part, 0.08) << number;
      EXPECT_LT(part, 0.14) << number;
    } else {
      EXPECT_GT(part, 0.014) << number;
      EXPECT_LT(part, 0.032) << number;
    }
  }
}

TEST(LookupAnswerTest, HostsOfUnknownSizeAreNamedAllTheSame) {
  fakes::SeededRandom random(1);
  std::vector<LookupCandidate> hosts = Hosts("own", 0, 20);
  for (LookupCandidate& host : hosts) {
    host.link_mbps = 0;
  }
  EXPECT_EQ(ChooseLookupHosts(hosts, FailureDomainName(), random).size(),
            kHostsNamed);
  EXPECT_TRUE(ChooseLookupHosts({}, kOwn, random).empty());
}

}  // namespace
}  // namespace medlarcroft::membership
