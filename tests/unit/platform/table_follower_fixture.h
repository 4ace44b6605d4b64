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
/// @brief Fixture for followers of a table in a fake store, over loopback.

namespace medlarcroft::replication {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Records the content of a table and the events that a follower
/// reports.
class RecordingTableListener final : public TableListener {
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
    first_failure = call.is_first ? call.failure : first_failure;
    longest_call = std::max(longest_call, call.call_time);
  }
  void OnStoreRecovered(Duration) override { ++store_returns; }
  void OnReaderLost(RowFailure, std::uint64_t) override { ++readers_lost; }

  std::map<std::string, std::string> rows;
  int tables = 0;
  std::optional<RowFailure> first_failure;
  Duration longest_call{0};
  int store_returns = 0;
  int readers_lost = 0;
};

using Rows = std::map<std::string, std::string>;

inline constexpr FollowTiming kTestTiming{
    .wait = milliseconds(200),
    .pause_after_change = milliseconds(120)};

class TableFollowerTest : public testing::Test {
 protected:
  /// Adds a step: the loop runs until all steps are done, in order. Fails after
  /// 20 seconds.
  void AddStep(const std::function<bool()>& is_done) {
    adapters::TimerId limit = loop_.After(seconds(20), [this] {
      ADD_FAILURE() << "the condition was not met within 20 seconds";
      loop_.Finish(1);
    });
    steps_.push_back(is_done);
    if (steps_.size() == 1) {
      loop_.Every(milliseconds(2), [this] { RunSteps(); });
    }
    step_timeouts_.push_back(limit);
  }
  void RunSteps() {
    while (next_step_ < steps_.size() && steps_[next_step_]()) {
      loop_.Cancel(step_timeouts_[next_step_]);
      ++next_step_;
    }
    if (next_step_ == steps_.size()) {
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
  RecordingTableListener recorded_;
  TableFollower follower_{{.timers = loop_,
                           .store = store_,
                           .random = random_,
                           .listener = recorded_},
                          {.table = "t", .timing = kTestTiming}};
  std::vector<std::function<bool()>> steps_;
  std::vector<adapters::TimerId> step_timeouts_;
  std::size_t next_step_ = 0;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_TESTS_UNIT_PLATFORM_TABLE_FOLLOWER_FIXTURE_H_
