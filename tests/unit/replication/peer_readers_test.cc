#include "medlarcroft/replication/peer_readers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "fakes/seeded_random.h"
#include "fakes/virtual_time.h"

namespace medlarcroft::replication {
namespace {

using std::chrono::seconds;

const FailureDomainName kOwn("a");
const FailureDomainName kOther("b");
const FailureDomainName kFar("far");

class FixedDirectory final : public PeerDirectory {
 public:
  std::vector<ReaderCandidate> LiveHosts() const override { return live; }
  std::vector<ReaderCandidate> HostsInOtherRegions() const override {
    return other_regions;
  }
  std::size_t HostsInRegion() const override { return live.size(); }

  static void Add(std::vector<ReaderCandidate>& hosts,
                  const FailureDomainName& domain,
                  int count) {
    for (int number = 0; number < count; ++number) {
      const std::string name = domain.Value() + std::to_string(number);
      hosts.push_back({.host = HostName(name),
                       .address = name,
                       .failure_domain = domain,
                       .link_mbps = 20});
    }
  }

  std::vector<ReaderCandidate> live;
  std::vector<ReaderCandidate> other_regions;
};

class PeerReadersTest : public testing::Test {
 protected:
  PeerReadersTest() {
    FixedDirectory::Add(directory_.live, kOwn, 30);
    FixedDirectory::Add(directory_.live, kOther, 30);
    FixedDirectory::Add(directory_.other_regions, kFar, 30);
  }

  PeerReaders Make(int other_readers_asked) {
    return {{.host = HostName("a0"),
             .failure_domain = kOwn,
             .other_readers_asked = other_readers_asked},
            {.directory = directory_,
             .ask_host =
                 [this](const std::string& address, const RowsRequest&,
                        const RowsCallback& callback) {
                   called_.push_back(address);
                   if (refusing_.contains(address)) {
                     callback(RowFailure::kRefused);
                   } else {
                     callback(RowBatch{});
                   }
                 },
             .timers = timers_,
             .random = random_,
             .regions = regions_}};
  }

  /// @return the reader of this host's domain.
  std::string FirstReader() const {
    const auto own = EligibleReaders(kOwn, directory_.HostsInRegion(),
                                     directory_.LiveHosts());
    return ChooseReader("t", own)->address;
  }

  fakes::VirtualTime time_;
  fakes::HostTimers timers_{time_, 0};
  fakes::SeededRandom random_{3};
  const std::map<FailureDomainName, RegionName> regions_{
      {kOwn, RegionName("r")},
      {kOther, RegionName("r")},
      {kFar, RegionName("s")}};
  FixedDirectory directory_;
  std::set<std::string> refusing_;
  std::vector<std::string> called_;
  const RowsRequest request_{.table = "t"};
};

TEST_F(PeerReadersTest, TheReaderOfTheOwnDomainIsCalled) {
  PeerReaders readers = Make(1);
  EXPECT_TRUE(readers.AskReader(request_, [](const auto&) {}));
  EXPECT_EQ(called_, std::vector{FirstReader()});
}

// Guards against all followers of a reader that the store refuses calling the
// store themselves.
TEST_F(PeerReadersTest, AnotherReaderIsCalledAfterOneThatRefuses) {
  const std::string first = FirstReader();
  refusing_ = {first};
  PeerReaders readers = Make(1);
  bool is_answered = false;
  const auto request_rows = [&] {
    return readers.AskReader(
        request_, [&](const auto& answer) { is_answered = IsOk(answer); });
  };
  EXPECT_TRUE(request_rows());
  EXPECT_TRUE(is_answered);
  ASSERT_EQ(called_.size(), 2U);

  // The first reader is not called again for a while.
  EXPECT_TRUE(request_rows());
  EXPECT_EQ(called_.size(), 3U);
  EXPECT_EQ(called_[2], called_[1]);
  time_.RunUntil(time_.Now() + seconds(4));
  refusing_.clear();
  EXPECT_TRUE(request_rows());
  EXPECT_EQ(called_.back(), first);
}

// Where leaving targets must be known sooner, there is no time for a call to
// another reader.
TEST_F(PeerReadersTest, NoOtherReaderIsCalledWhenTimeIsShort) {
  refusing_ = {FirstReader()};
  PeerReaders readers = Make(OtherReadersAsked(std::chrono::seconds(2)));
  bool is_refused = false;
  EXPECT_TRUE(readers.AskReader(
      request_, [&](const auto& answer) { is_refused = !IsOk(answer); }));
  EXPECT_TRUE(is_refused);
  EXPECT_EQ(called_.size(), 1U);
}

// A host that gets a request for rows reads the store itself, so of 90 hosts
// only the readers may get requests.
TEST_F(PeerReadersTest, ARefusedHostCallsReadersOfAllRegions) {
  PeerReaders readers = Make(1);
  for (int i = 0; i < 100; ++i) {
    readers.AskSomeReader(request_, [](const auto&) {});
  }
  const std::set<std::string> distinct(called_.begin(), called_.end());
  EXPECT_EQ(distinct.size(), 3U);
}

TEST_F(PeerReadersTest, FailsSoonWithoutAnyReader) {
  directory_.live.resize(1);
  directory_.other_regions.clear();
  PeerReaders readers = Make(1);
  bool is_answered = false;
  readers.AskSomeReader(
      request_, [&](const auto& answer) { is_answered = !IsOk(answer); });
  time_.RunUntil(time_.Now() + seconds(1));
  EXPECT_TRUE(is_answered);
  EXPECT_FALSE(readers.AskReader(request_, [](const auto&) {}));
}

// Guards against a host that takes a reader's own trouble, or another table,
// for an outage of the store in all regions.
TEST_F(PeerReadersTest, OnlyRefusalsOfOtherRegionsShowAnOutage) {
  PeerReaders readers = Make(0);
  const auto ask_some = [&] {
    for (int i = 0; i < 20; ++i) {
      readers.AskSomeReader(request_, [](const auto&) {});
      time_.RunUntil(time_.Now() + seconds(4));
    }
  };
  for (const ReaderCandidate& host : directory_.live) {
    refusing_.insert(host.address);
  }
  ask_some();
  EXPECT_FALSE(readers.RefusedElsewhereAgo("t"));
  for (const ReaderCandidate& host : directory_.other_regions) {
    refusing_.insert(host.address);
  }
  ask_some();
  EXPECT_TRUE(readers.RefusedElsewhereAgo("t"));
  EXPECT_FALSE(readers.RefusedElsewhereAgo("other"));
  refusing_.clear();
  ask_some();
  EXPECT_FALSE(readers.RefusedElsewhereAgo("t"));
}

}  // namespace
}  // namespace medlarcroft::replication
