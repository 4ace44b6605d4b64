#include "medlarcroft/rows/table_follower.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>

#include "adapters/process/system_clock.h"
#include "fakes/fake_store_server.h"
#include "fakes/seeded_random.h"
#include "platform/mirror_page.h"
#include "platform/store_client.h"

namespace medlarcroft::rows {
namespace {

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
  void OnStoreBack(Duration) override { ++returns; }
  void OnReaderLost(RowFailure, std::uint64_t) override { ++readers_lost; }

  std::map<std::string, std::string> rows;
  int tables = 0;
  std::optional<RowFailure> lost;
  Duration longest_call{0};
  int returns = 0;
  int readers_lost = 0;
};

using Rows = std::map<std::string, std::string>;

constexpr FollowPace kTestPace{.wait = milliseconds(200),
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
      {.table = "t", .pace = kTestPace}};
  std::vector<std::function<bool()>> steps_;
  std::vector<adapters::TimerId> limits_;
  std::size_t at_ = 0;
};

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
  server_.page_rows = 3;
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
      {.table = "t", .pace = {.wait = seconds(60)}});
  server_.Put("a", "1");
  patient.Start();
  RunUntil([this] {
    if (heard_.rows != Rows{{"a", "1"}}) {
      return false;
    }
    server_.Put("b", "2");
    server_.refuse_with = 503;
    return true;
  });
  RunUntil([this] {
    if (!heard_.lost) {
      return false;
    }
    server_.refuse_with.reset();
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
    server_.is_silent = true;
    server_.Remove("a");
    server_.Compact();
    server_.is_silent = false;
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
  int refuse_with = 0;
};

void Begin(const OutageCase& outage, fakes::FakeStoreServer& server) {
  switch (outage.outage) {
    case Outage::kRefusing:
      server.refuse_with = outage.refuse_with;
      break;
    case Outage::kSilent:
      server.is_silent = true;
      break;
    case Outage::kSlow:
      // Past what the client waits for a call that is held for 200 ms.
      server.slow_by = seconds(3);
      break;
    case Outage::kStopped:
      server.Stop();
      break;
  }
}

void End(const OutageCase& outage, fakes::FakeStoreServer& server) {
  server.refuse_with.reset();
  server.is_silent = false;
  server.slow_by = Duration(0);
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
    EXPECT_TRUE(watch_.IsAway());
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
    server_.is_silent = true;
    server_.Remove("a");
    server_.Put("b", "2");
    server_.Compact();
    server_.behind_by = 3;
    server_.is_silent = false;
    return true;
  });
  RunUntil([this] {
    if (!heard_.lost) {
      return false;
    }
    EXPECT_EQ(heard_.tables, 1);
    server_.behind_by = 0;
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
  server_.loses_answers = true;
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
  server_.writes_late_by = milliseconds(300);
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

/// @brief Another host, which hears from the store and tells what it heard.
class FollowerBesideAnother : public TableFollowerTest {
 protected:
  /// @return options of a follower that may ask the other host.
  [[nodiscard]] TableFollower::Options Options() const {
    return {.table = "t", .pace = kTestPace};
  }
  void AskOther(const PeerQuestion& question, RowsCallback callback) {
    ++asked_;
    platform::AskPeer(caller_, "127.0.0.1:" + std::to_string(listener_->Port()),
                      question, std::move(callback));
  }
  [[nodiscard]] TableFollower::Options OptionsOfReaders() {
    TableFollower::Options options = Options();
    options.ask_reader = [this](const PeerQuestion& question,
                                RowsCallback callback) {
      AskOther(question, std::move(callback));
      return true;
    };
    return options;
  }

  HeardTable other_heard_;
  TableFollower other_{{.timers = loop_,
                        .store = store_,
                        .random = random_,
                        .listener = other_heard_},
                       Options()};
  bool is_other_fresh_ = true;
  TableTeller teller_{loop_, [this](std::string_view) {
                        return is_other_fresh_ ? other_.TellOthers()
                                               : FreshTable{};
                      }};
  platform::MirrorPage page_{teller_};
  std::unique_ptr<adapters::HttpListener> listener_ =
      TakeValue(adapters::HttpListener::Open(loop_, "127.0.0.1:0", page_));
  adapters::HttpCaller caller_{loop_, {}};
  int asked_ = 0;
};

// The store turns this host away and serves another one, to which a domain's
// evacuation was told. This host hears of it from there, well before the store
// takes it back.
TEST_F(FollowerBesideAnother, AHostThatIsTurnedAwayHearsFromIt) {
  fakes::FakeStoreServer refusing(loop_);
  refusing.refuse_with = 503;
  platform::StoreClient refused_store(loop_, {.address = refusing.Address()},
                                      metrics_);
  TableFollower::Options options = Options();
  options.ask_peer = [this](const PeerQuestion& question,
                            RowsCallback callback) {
    AskOther(question, std::move(callback));
  };
  TableFollower turned_away({.timers = loop_,
                             .store = refused_store,
                             .random = random_,
                             .listener = heard_},
                            options);
  server_.Put("evacuate/a", "{}");
  other_.Start();
  turned_away.Start();
  RunUntil([this] {
    if (heard_.rows != Rows{{"evacuate/a", "{}"}}) {
      return false;
    }
    server_.Remove("evacuate/a");
    server_.Put("evacuate/b", "{}");
    return true;
  });
  RunUntil([this] { return heard_.rows == Rows{{"evacuate/b", "{}"}}; });
  loop_.Run();

  EXPECT_TRUE(turned_away.IsAway());
  EXPECT_EQ(heard_.returns, 0);
}

// In a large region one host reads the store for all. It can't tell: it is
// itself turned away. Those that follow it must hear the news all the same,
// from the store.
TEST_F(FollowerBesideAnother, AHostWhoseReaderIsLostReadsForItself) {
  other_.Mirror().OnChange([this] { teller_.OnChange("t"); });
  TableFollower follower(
      {.timers = loop_, .store = store_, .random = random_, .listener = heard_},
      OptionsOfReaders());
  server_.Put("a", "1");
  other_.Start();
  follower.Start();
  RunUntil([this] {
    if (heard_.rows != Rows{{"a", "1"}} || asked_ == 0) {
      return false;
    }
    server_.Put("b", "2");
    return true;
  });
  RunUntil([this] {
    if (heard_.rows.size() != 2) {
      return false;
    }
    is_other_fresh_ = false;
    server_.Put("c", "3");
    return true;
  });
  RunUntil([this] { return heard_.rows.size() == 3; });
  loop_.Run();

  EXPECT_GE(heard_.readers_lost, 1);
}

// Hosts of a large region start together. Each of them asks the one that reads
// for all, which has nothing yet either; it hears the table all the same, and
// the store is asked for it once.
TEST_F(FollowerBesideAnother, AHostThatStartsHearsTheTableFromItsReader) {
  server_.Put("a", "1");
  other_.Mirror().OnChange([this] { teller_.OnChange("t"); });
  TableFollower follower(
      {.timers = loop_, .store = store_, .random = random_, .listener = heard_},
      OptionsOfReaders());
  follower.Start();
  loop_.After(milliseconds(50), [this] { other_.Start(); });
  RunUntil([this] { return heard_.rows == Rows{{"a", "1"}}; });
  loop_.Run();

  EXPECT_EQ(server_.calls["/medlarcroft/rows-get"], 1);
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
       .pace = kTestPace,
       .ask_reader = [&](const PeerQuestion&, RowsCallback callback) {
         held = std::move(callback);
         return ++asked > 0;
       }});
  watch.Start();
  EXPECT_EQ(asked, 1);
  EXPECT_TRUE(watch.TellOthers().is_awaited);
  RunUntil([&] { return watch.TellOthers().mirror != nullptr; });
  loop_.Run();
  EXPECT_EQ(heard.rows, (Rows{{"a", "1"}}));

  // What the reader before says now is old news.
  held(RowBatch{.newest_version = 9, .is_whole = true});
  EXPECT_EQ(heard.rows, (Rows{{"a", "1"}}));
}

TEST(TableMirrorTest, TellsWhatChangedAndToWhoIsFarBehindTheWholeTable) {
  TableMirror mirror;
  mirror.Replace(
      std::vector<Row>{{.key = "a", .version = 3}, {.key = "c", .version = 4}},
      5);
  mirror.Apply(std::vector<Row>{{.key = "b", .version = 6}}, 6);
  mirror.Apply(std::vector<Row>{{.key = "a", .is_removed = true}}, 7);

  EXPECT_TRUE(mirror.Since(7).rows.empty());
  const RowBatch last = mirror.Since(6);
  ASSERT_EQ(last.rows.size(), 1U);
  EXPECT_TRUE(last.rows[0].is_removed);
  EXPECT_EQ(last.rows[0].key, "a");
  EXPECT_FALSE(last.is_whole);
  EXPECT_EQ(mirror.Since(5).rows.size(), 2U);
  const RowBatch whole = mirror.Since(4);
  EXPECT_TRUE(whole.is_whole);
  EXPECT_EQ(whole.rows.size(), 2U);
  EXPECT_EQ(whole.newest_version, 7U);
}

// All hosts start before anything was ever written. Those that ask the reader
// must hear that the empty table is the whole one: else they would never have
// it, and never be ready.
TEST(TableMirrorTest, AnEmptyTableIsToldAsWhole) {
  TableMirror mirror;
  mirror.Replace({}, 0);
  EXPECT_TRUE(mirror.Since(0).is_whole);

  mirror.Apply(std::vector<Row>{{.key = "a", .version = 1}}, 1);
  const RowBatch rows = mirror.Since(0);
  EXPECT_TRUE(rows.is_whole);
  EXPECT_EQ(rows.rows.size(), 1U);
}

// A row that was removed and is written again is told as written.
TEST(TableMirrorTest, ARowThatReturnsIsNotTakenForRemoved) {
  TableMirror mirror;
  mirror.Replace({}, 1);
  mirror.Apply(std::vector<Row>{{.key = "a", .is_removed = true}}, 2);
  mirror.Apply(std::vector<Row>{{.key = "a", .version = 3}}, 3);

  const RowBatch rows = mirror.Since(1);
  ASSERT_EQ(rows.rows.size(), 1U);
  EXPECT_FALSE(rows.rows[0].is_removed);
}

// More rows go than are remembered as gone: whoever was behind gets the whole
// table and keeps none of them.
TEST(TableMirrorTest, AfterManyRemovalsTheWholeTableIsTold) {
  TableMirror mirror;
  mirror.Replace({}, 1);
  for (std::uint64_t i = 0; i < 600; ++i) {
    mirror.Apply(
        std::vector<Row>{{.key = "k" + std::to_string(i), .is_removed = true}},
        2 + i);
  }
  EXPECT_TRUE(mirror.Since(1).is_whole);
}

}  // namespace
}  // namespace medlarcroft::rows
