#include "medlarcroft/replication/table_follower.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "table_follower_fixture.h"

namespace medlarcroft::replication {
namespace {

TEST_F(TableFollowerTest, HearsTheTableAndThenWhatChanges) {
  server_.Put("a", "1");
  watch_.Start();
  RunUntil([this] {
    if (heard_.rows != Rows{{"a", "1"}}) {
      return false;
    }
    server_.Put("b", "2");
    server_.Remove("a");
    return true;
  });
  RunUntil([this] { return heard_.rows == Rows{{"b", "2"}}; });
  loop_.Run();

  EXPECT_EQ(heard_.tables, 1);
}

TEST_F(TableFollowerTest, ReadsATableOfSeveralPages) {
  server_.rows_per_page = 3;
  for (int i = 0; i < 10; ++i) {
    server_.Put("k" + std::to_string(i), "v");
  }
  watch_.Start();
  RunUntil([this] { return heard_.rows.size() == 10; });
  loop_.Run();

  EXPECT_EQ(heard_.tables, 1);
}

// The store turns this host away and then serves it again, while nothing in the
// table changes. The host must know that at once: what is taken away later is
// no lapse of the absence, and callers must not be sent to a target that left.
// A call that is held until the next change tells of both together.
TEST_F(TableFollowerTest, HearsOfTheReturnBeforeTheNextChange) {
  TableFollower patient(
      {.timers = loop_, .store = store_, .random = random_, .listener = heard_},
      {.table = "t", .timing = {.wait = seconds(60)}});
  server_.Put("a", "1");
  patient.Start();
  RunUntil([this] {
    if (heard_.rows != Rows{{"a", "1"}}) {
      return false;
    }
    server_.Put("b", "2");
    server_.forced_status = 503;
    return true;
  });
  RunUntil([this] {
    if (!heard_.lost) {
      return false;
    }
    server_.forced_status.reset();
    return true;
  });
  RunUntil([this] { return heard_.returns == 1; });
  loop_.Run();

  EXPECT_EQ(heard_.rows, (Rows{{"a", "1"}, {"b", "2"}}));
}

// The store drops its history while this host waits for changes, and a row is
// removed in the gap. The host must not go on believing in it.
TEST_F(TableFollowerTest, ReadsTheTableAnewWhenTheHistoryIsGone) {
  server_.Put("a", "1");
  server_.Put("b", "2");
  watch_.Start();
  RunUntil([this] {
    if (heard_.rows.size() != 2) {
      return false;
    }
    server_.is_unresponsive = true;
    server_.Remove("a");
    server_.Compact();
    server_.is_unresponsive = false;
    return true;
  });
  RunUntil([this] { return heard_.rows == Rows{{"b", "2"}}; });
  loop_.Run();

  EXPECT_EQ(heard_.tables, 2);
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
      // Past what the client waits for a call that is held for 200 ms.
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

class OutageTable : public TableFollowerTest,
                    public testing::WithParamInterface<OutageCase> {};

// The store is away for a while; what changed meanwhile is heard afterwards,
// and what was known stays known.
TEST_P(OutageTable, KeepsWhatItKnowsAndCatchesUp) {
  server_.Put("a", "1");
  watch_.Start();
  RunUntil([this] {
    if (heard_.rows.empty()) {
      return false;
    }
    Begin(GetParam(), server_);
    return true;
  });
  RunUntil([this] {
    if (!heard_.lost) {
      return false;
    }
    EXPECT_EQ(heard_.rows, (Rows{{"a", "1"}}));
    EXPECT_TRUE(watch_.IsDisconnected());
    End(GetParam(), server_);
    server_.Put("b", "2");
    return true;
  });
  RunUntil([this] { return heard_.rows.size() == 2; });
  loop_.Run();

  EXPECT_EQ(*heard_.lost, GetParam().failure);
  EXPECT_EQ(heard_.returns, 1);
  // Who looks for the cause is told how long the host waited for nothing.
  if (GetParam().failure == RowFailure::kTimedOut) {
    EXPECT_GE(heard_.longest_call, kTestPace.wait);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OutageTable,
    testing::Values(
        OutageCase{"Busy", Outage::kRefusing, RowFailure::kRefused, 503},
        OutageCase{"Many", Outage::kRefusing, RowFailure::kRefused, 429},
        OutageCase{"Odd", Outage::kRefusing, RowFailure::kBadAnswer, 500},
        OutageCase{"Silent", Outage::kSilent, RowFailure::kTimedOut},
        OutageCase{"Slow", Outage::kSlow, RowFailure::kTimedOut},
        OutageCase{"Reset", Outage::kStopped, RowFailure::kUnreachable}),
    [](const auto& tested) { return tested.param.name; });

// A list comes from before what this host knows. Taking it would bring back
// targets that left.
TEST_F(TableFollowerTest, AnOlderListIsNotTaken) {
  server_.Put("a", "1");
  watch_.Start();
  RunUntil([this] {
    if (heard_.rows.empty()) {
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
  RunUntil([this] {
    if (!heard_.lost) {
      return false;
    }
    EXPECT_EQ(heard_.tables, 1);
    server_.reported_version_lag = 0;
    return true;
  });
  RunUntil([this] { return heard_.rows == Rows{{"b", "2"}}; });
  loop_.Run();
}

TEST_F(TableFollowerTest, AWriteUnderAConditionIsRefusedWhenTheRowMoved) {
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

// The write is done and its answer lost: whoever wrote must not take it for
// refused.
TEST_F(TableFollowerTest, ALostAnswerIsNotARefusal) {
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

// A write gets no answer and is done afterwards. Whoever wrote may take it
// neither for done nor for refused: its condition may still come to hold.
TEST_F(TableFollowerTest, AWriteThatIsDoneLateIsNotARefusal) {
  server_.write_delay = milliseconds(300);
  std::optional<RowFailure> failure;
  store_.Write({.table = "t", .key = "c", .value = "3", .expected_version = 0},
               [&](const Result<Success, RowFailure>& result) {
                 failure = ErrorOf(result);
               });
  RunUntil([&] { return failure.has_value(); });
  RunUntil([this] { return server_.version == 1; });
  loop_.Run();

  EXPECT_EQ(failure, RowFailure::kTimedOut);
}

// Hosts come and go, and another host takes this one for the reader while it
// still waits on the reader before. It must not be refused, nor wait until that
// call has ended: this host asks the store at once.
TEST_F(TableFollowerTest, AHostThatIsTakenForTheReaderReadsAtOnce) {
  server_.Put("a", "1");
  int asked = 0;
  RowsCallback held;
  HeardTable heard;
  TableFollower watch(
      {.timers = loop_, .store = store_, .random = random_, .listener = heard},
      {.table = "t",
       .timing = kTestPace,
       .ask_reader = [&](const RowsRequest&, RowsCallback callback) {
         held = std::move(callback);
         return ++asked > 0;
       }});
  watch.Start();
  EXPECT_EQ(asked, 1);
  EXPECT_TRUE(watch.ServeFollowers().is_loading);
  RunUntil([&] { return watch.ServeFollowers().mirror != nullptr; });
  loop_.Run();
  EXPECT_EQ(heard.rows, (Rows{{"a", "1"}}));

  // What the reader before says now is old news.
  held(RowBatch{.newest_version = 9, .is_full_table = true});
  EXPECT_EQ(heard.rows, (Rows{{"a", "1"}}));
}

}  // namespace
}  // namespace medlarcroft::replication
