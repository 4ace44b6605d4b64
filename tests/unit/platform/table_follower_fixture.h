#ifndef MEDLARCROFT_TESTS_UNIT_PLATFORM_TABLE_FOLLOWER_FIXTURE_H_
#define MEDLARCROFT_TESTS_UNIT_PLATFORM_TABLE_FOLLOWER_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "adapters/process/system_clock.h"
#include "fakes/fake_store_server.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/replication/table_follower.h"
#include "platform/store_client.h"

/// @file
/// @brief Followers of a table on a small store of our own, over loopback.

namespace medlarcroft::replication {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief What a table holds, as heard.
class HeardTable final : public TableListener {
 public:
  void OnTable(std::span<const Row> table) override {
    ++tables;
    rows.clear();
    OnRows(table);
  }
  void OnRows(std::span<const Row> changed) override {
    for (const Row& row : changed) {
      if (row.is_removed) {
        rows.erase(row.key);
      } else {
        rows[row.key] = row.value;
      }
    }
  }
  void OnCallFailed(const FailedCall& call) override {
    lost = call.is_first ? call.failure : lost;
    longest_call = std::max(longest_call, call.call_time);
  }
  void OnStoreRecovered(Duration) override { ++returns; }
  void OnReaderLost(RowFailure, std::uint64_t) override { ++readers_lost; }

  std::map<std::string, std::string> rows;
  int tables = 0;
  std::optional<RowFailure> lost;
  Duration longest_call{0};
  int returns = 0;
  int readers_lost = 0;
};

using Rows = std::map<std::string, std::string>;

inline constexpr FollowTiming kTestPace{
    .wait = milliseconds(200),
    .pause_after_change = milliseconds(120)};

class TableFollowerTest : public testing::Test {
 protected:
  /// Runs the loop until `is_done`, or fails after a generous while.
  void RunUntil(const std::function<bool()>& is_done) {
    adapters::TimerId limit = loop_.After(seconds(20), [this] {
      ADD_FAILURE() << "it did not come about";
      loop_.Finish(1);
    });
    steps_.push_back(is_done);
    if (steps_.size() == 1) {
      loop_.Every(milliseconds(2), [this] { Step(); });
    }
    limits_.push_back(limit);
  }
  void Step() {
    while (at_ < steps_.size() && steps_[at_]()) {
      loop_.Cancel(limits_[at_]);
      ++at_;
    }
    if (at_ == steps_.size()) {
      loop_.Finish(0);
    }
  }

  adapters::SystemClock clock_;
  adapters::EventLoop loop_{clock_};
  telemetry::MetricsRegistry metrics_;
  fakes::FakeStoreServer server_{loop_};
  fakes::SeededRandom random_{5};
  platform::StoreClient store_{
      loop_,
      {.address = server_.Address(), .call_timeout = milliseconds(100)},
      metrics_};
  HeardTable heard_;
  TableFollower watch_{
      {.timers = loop_, .store = store_, .random = random_, .listener = heard_},
      {.table = "t", .timing = kTestPace}};
  std::vector<std::function<bool()>> steps_;
  std::vector<adapters::TimerId> limits_;
  std::size_t at_ = 0;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_TESTS_UNIT_PLATFORM_TABLE_FOLLOWER_FIXTURE_H_
