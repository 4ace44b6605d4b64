#include "medlarcroft/replication/table_follower.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "table_follower_fixture.h"

namespace medlarcroft::replication {
namespace {

TEST_F(TableFollowerTest, ReceivesTheTableAndThenItsChanges) {
  server_.Put("a", "1");
  follower_.Start();
  AddStep([this] {
    if (recorded_.rows != Rows{{"a", "1"}}) {
      return false;
    }
    server_.Put("b", "2");
    server_.Remove("a");
    return true;
  });
  AddStep([this] { return recorded_.rows == Rows{{"b", "2"}}; });
  loop_.Run();

  EXPECT_EQ(recorded_.tables, 1);
}

TEST_F(TableFollowerTest, ReadsATableOfSeveralPages) {
  server_.rows_per_page = 3;
  for (int i = 0; i < 10; ++i) {
    server_.Put("k" + std::to_string(i), "v");
  }
  follower_.Start();
  AddStep([this] { return recorded_.rows.size() == 10; });
  loop_.Run();

  EXPECT_EQ(recorded_.tables, 1);
}

// The store refuses this host and then serves it again, while nothing in the
// table changes. The host must notice the return at once: rows that are removed
// later did not expire during the outage, and their targets must get no more
// requests. A call that is held until the next change would report the return
// and the change together.
TEST_F(TableFollowerTest, ReportsTheStoreBackBeforeTheNextChange) {
  TableFollower patient({.timers = loop_,
                         .store = store_,
                         .random = random_,
                         .listener = recorded_},
                        {.table = "t", .timing = {.wait = seconds(60)}});
  server_.Put("a", "1");
  patient.Start();
  AddStep([this] {
    if (recorded_.rows != Rows{{"a", "1"}}) {
      return false;
    }
    server_.Put("b", "2");
    server_.forced_status = 503;
    return true;
  });
  AddStep([this] {
    if (!recorded_.first_failure) {
      return false;
    }
    server_.forced_status.reset();
    return true;
  });
  AddStep([this] { return recorded_.store_returns == 1; });
  loop_.Run();

  EXPECT_EQ(recorded_.rows, (Rows{{"a", "1"}, {"b", "2"}}));
}

// The store drops its history while this host waits for changes, and a row is
// removed in the gap. The host must not keep the removed row.
TEST_F(TableFollowerTest, RereadsTheTableWhenTheHistoryIsGone) {
  server_.Put("a", "1");
  server_.Put("b", "2");
  follower_.Start();
  AddStep([this] {
    if (recorded_.rows.size() != 2) {
      return false;
    }
    server_.is_unresponsive = true;
    server_.Remove("a");
    server_.Compact();
    server_.is_unresponsive = false;
    return true;
  });
  AddStep([this] { return recorded_.rows == Rows{{"b", "2"}}; });
  loop_.Run();

  EXPECT_EQ(recorded_.tables, 2);
}

enum class Outage { kRefusing, kSilent, kSlow, kStopped };

struct OutageCase {
  std::string name;
  Outage outage;
  RowFailure failure;
  int forced_status = 0;
};

void Begin(const OutageCase& outage, fakes::FakeStoreServer& server) {
  switch (outage.outage) {
    case Outage::kRefusing:
      server.forced_status = outage.forced_status;
      break;
    case Outage::kSilent:
      server.is_unresponsive = true;
      break;
    case Outage::kSlow:
      // Longer than the client's timeout for a call that is held for 200 ms.
      server.processing_delay = seconds(3);
      break;
    case Outage::kStopped:
      server.Stop();
      break;
  }
}

void End(const OutageCase& outage, fakes::FakeStoreServer& server) {
  server.forced_status.reset();
  server.is_unresponsive = false;
  server.processing_delay = Duration(0);
  if (outage.outage == Outage::kStopped) {
    server.Resume();
  }
}

class TableFollowerOutageTest : public TableFollowerTest,
                                public testing::WithParamInterface<OutageCase> {
};

// The store fails for a while: known rows are kept, and changes that were made
// meanwhile arrive afterwards.
TEST_P(TableFollowerOutageTest, KeepsItsRowsAndCatchesUp) {
  server_.Put("a", "1");
  follower_.Start();
  AddStep([this] {
    if (recorded_.rows.empty()) {
      return false;
    }
    Begin(GetParam(), server_);
    return true;
  });
  AddStep([this] {
    if (!recorded_.first_failure) {
      return false;
    }
    EXPECT_EQ(recorded_.rows, (Rows{{"a", "1"}}));
    EXPECT_TRUE(follower_.IsDisconnected());
    End(GetParam(), server_);
    server_.Put("b", "2");
    return true;
  });
  AddStep([this] { return recorded_.rows.size() == 2; });
  loop_.Run();

  EXPECT_EQ(*recorded_.first_failure, GetParam().failure);
  EXPECT_EQ(recorded_.store_returns, 1);
  // The reported duration of the failed call helps to find the cause.
  if (GetParam().failure == RowFailure::kTimedOut) {
    EXPECT_GE(recorded_.longest_call, kTestTiming.wait);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    TableFollowerOutageTest,
    testing::Values(
        OutageCase{"Busy", Outage::kRefusing, RowFailure::kRefused, 503},
        OutageCase{"Many", Outage::kRefusing, RowFailure::kRefused, 429},
        OutageCase{"Odd", Outage::kRefusing, RowFailure::kBadAnswer, 500},
        OutageCase{"Silent", Outage::kSilent, RowFailure::kTimedOut},
        OutageCase{"Slow", Outage::kSlow, RowFailure::kTimedOut},
        OutageCase{"Reset", Outage::kStopped, RowFailure::kUnreachable}),
    [](const auto& tested) { return tested.param.name; });

// A list is older than the rows that this host knows. Accepting it would
// restore targets that have left.
TEST_F(TableFollowerTest, AnOlderListIsRejected) {
  server_.Put("a", "1");
  follower_.Start();
  AddStep([this] {
    if (recorded_.rows.empty()) {
      return false;
    }
    server_.is_unresponsive = true;
    server_.Remove("a");
    server_.Put("b", "2");
    server_.Compact();
    server_.reported_version_lag = 3;
    server_.is_unresponsive = false;
    return true;
  });
  AddStep([this] {
    if (!recorded_.first_failure) {
      return false;
    }
    EXPECT_EQ(recorded_.tables, 1);
    server_.reported_version_lag = 0;
    return true;
  });
  AddStep([this] { return recorded_.rows == Rows{{"b", "2"}}; });
  loop_.Run();
}

TEST_F(TableFollowerTest, AConditionalWriteFailsWhenTheRowChanged) {
  server_.Put("a", "1");
  std::vector<Result<Success, RowFailure>> results;
  const auto keep = [&](const Result<Success, RowFailure>& result) {
    results.push_back(result);
    if (results.size() == 2) {
      loop_.Finish(0);
    }
  };
  store_.Write({.table = "t", .key = "a", .expected_version = 9}, keep);
  store_.Write({.table = "t", .key = "c", .value = "3", .expected_version = 0},
               keep);
  loop_.Run();

  int refused = 0;
  for (const auto& result : results) {
    refused += IsOk(result) ? 0 : 1;
  }
  EXPECT_EQ(refused, 1);
  EXPECT_EQ(server_.version, 2U);
}

// A write is applied but its response is lost: the writer must not treat it as
// refused.
TEST_F(TableFollowerTest, AWriteWithoutAResponseTimesOut) {
  server_.drops_write_responses = true;
  std::optional<RowFailure> failure;
  store_.Write({.table = "t", .key = "c", .value = "3"},
               [&](const Result<Success, RowFailure>& result) {
                 failure = ErrorOf(result);
                 loop_.Finish(0);
               });
  loop_.Run();

  EXPECT_EQ(failure, RowFailure::kTimedOut);
  EXPECT_EQ(server_.version, 1U);
}

// A write gets no response and is applied afterwards. The writer may treat it
// neither as done nor as refused, since its condition may still become true.
TEST_F(TableFollowerTest, AWriteAppliedAfterTheTimeoutTimesOut) {
  server_.write_delay = milliseconds(300);
  std::optional<RowFailure> failure;
  store_.Write({.table = "t", .key = "c", .value = "3", .expected_version = 0},
               [&](const Result<Success, RowFailure>& result) {
                 failure = ErrorOf(result);
               });
  AddStep([&] { return failure.has_value(); });
  AddStep([this] { return server_.version == 1; });
  loop_.Run();

  EXPECT_EQ(failure, RowFailure::kTimedOut);
}

// As hosts join and leave, another host queries this one as the reader while
// this one still waits for the previous reader. The query must neither be
// refused nor wait for the end of that call: this host reads the store at once.
TEST_F(TableFollowerTest, AHostQueriedAsReaderReadsTheStoreAtOnce) {
  server_.Put("a", "1");
  int queries = 0;
  RowsCallback held_callback;
  RecordingTableListener recorded;
  TableFollower second_follower(
      {.timers = loop_,
       .store = store_,
       .random = random_,
       .listener = recorded},
      {.table = "t",
       .timing = kTestTiming,
       .ask_reader = [&](const RowsRequest&, RowsCallback callback) {
         held_callback = std::move(callback);
         return ++queries > 0;
       }});
  second_follower.Start();
  EXPECT_EQ(queries, 1);
  EXPECT_TRUE(second_follower.ServeFollowers().is_loading);
  AddStep([&] { return second_follower.ServeFollowers().mirror != nullptr; });
  loop_.Run();
  EXPECT_EQ(recorded.rows, (Rows{{"a", "1"}}));

  // A late response of the previous reader is ignored.
  held_callback(RowBatch{.newest_version = 9, .is_full_table = true});
  EXPECT_EQ(recorded.rows, (Rows{{"a", "1"}}));
}

}  // namespace
}  // namespace medlarcroft::replication
