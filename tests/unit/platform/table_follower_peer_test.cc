#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "platform/mirror_handler.h"
#include "table_follower_fixture.h"

namespace medlarcroft::replication {
namespace {

/// @brief A second host that reads the store and serves its rows.
class TableFollowerPeerTest : public TableFollowerTest {
 protected:
  /// @return options of a follower that only reads the store.
  [[nodiscard]] TableFollower::Options Options() const {
    return {.table = "t", .timing = kTestTiming};
  }
  void QueryReader(const RowsRequest& rows_request, RowsCallback callback) {
    ++queries_;
    platform::FetchRowsFromPeer(
        caller_, "127.0.0.1:" + std::to_string(listener_->Port()), rows_request,
        std::move(callback));
  }
  [[nodiscard]] TableFollower::Options OptionsWithReader() {
    TableFollower::Options options = Options();
    options.ask_reader = [this](const RowsRequest& rows_request,
                                RowsCallback callback) {
      QueryReader(rows_request, std::move(callback));
      return true;
    };
    return options;
  }

  RecordingTableListener reader_recorded_;
  TableFollower reader_{{.timers = loop_,
                         .store = store_,
                         .random = random_,
                         .listener = reader_recorded_},
                        Options()};
  bool is_reader_fresh_ = true;
  TableServer row_server_{loop_, [this](std::string_view) {
                            return is_reader_fresh_ ? reader_.ServeFollowers()
                                                    : FreshTable{};
                          }};
  platform::MirrorHandler mirror_handler_{row_server_};
  std::unique_ptr<adapters::HttpListener> listener_ = TakeValue(
      adapters::HttpListener::Open(loop_, "127.0.0.1:0", mirror_handler_));
  adapters::EventHttpClient caller_{loop_, {}};
  int queries_ = 0;
};

// The store refuses this host and serves another one, which knows that a
// failure domain is evacuated. This host gets the rows from the other one, well
// before the store serves it again.
TEST_F(TableFollowerPeerTest, ARefusedHostGetsRowsFromAPeer) {
  fakes::FakeStoreServer refusing(loop_);
  refusing.forced_status = 503;
  platform::StoreClient refused_store(loop_, {.address = refusing.Address()},
                                      metrics_);
  TableFollower::Options options = Options();
  options.ask_peer = [this](const RowsRequest& rows_request,
                            RowsCallback callback) {
    QueryReader(rows_request, std::move(callback));
  };
  TableFollower refused_follower({.timers = loop_,
                                  .store = refused_store,
                                  .random = random_,
                                  .listener = recorded_},
                                 options);
  server_.Put("evacuate/a", "{}");
  reader_.Start();
  refused_follower.Start();
  AddStep([this] {
    if (recorded_.rows != Rows{{"evacuate/a", "{}"}}) {
      return false;
    }
    server_.Remove("evacuate/a");
    server_.Put("evacuate/b", "{}");
    return true;
  });
  AddStep([this] { return recorded_.rows == Rows{{"evacuate/b", "{}"}}; });
  loop_.Run();

  EXPECT_TRUE(refused_follower.IsDisconnected());
  EXPECT_EQ(recorded_.store_returns, 0);
}

// In a large region one host reads the store for all others. When it loses the
// store, the hosts that follow it must read the changes from the store
// themselves.
TEST_F(TableFollowerPeerTest, AHostThatLostItsReaderReadsTheStore) {
  reader_.Mirror().OnChange([this] { row_server_.OnChange("t"); });
  TableFollower follower({.timers = loop_,
                          .store = store_,
                          .random = random_,
                          .listener = recorded_},
                         OptionsWithReader());
  server_.Put("a", "1");
  reader_.Start();
  follower.Start();
  AddStep([this] {
    if (recorded_.rows != Rows{{"a", "1"}} || queries_ == 0) {
      return false;
    }
    server_.Put("b", "2");
    return true;
  });
  AddStep([this] {
    if (recorded_.rows.size() != 2) {
      return false;
    }
    is_reader_fresh_ = false;
    server_.Put("c", "3");
    return true;
  });
  AddStep([this] { return recorded_.rows.size() == 3; });
  loop_.Run();

  EXPECT_GE(recorded_.readers_lost, 1);
}

// The hosts of a large region start together. Each queries the reader, which
// has no rows yet either. They must get the table from it all the same, and the
// store lists the table only once.
TEST_F(TableFollowerPeerTest, AStartingHostGetsTheTableFromItsReader) {
  server_.Put("a", "1");
  reader_.Mirror().OnChange([this] { row_server_.OnChange("t"); });
  TableFollower follower({.timers = loop_,
                          .store = store_,
                          .random = random_,
                          .listener = recorded_},
                         OptionsWithReader());
  follower.Start();
  loop_.After(milliseconds(50), [this] { reader_.Start(); });
  AddStep([this] { return recorded_.rows == Rows{{"a", "1"}}; });
  loop_.Run();

  EXPECT_EQ(server_.calls["/medlarcroft/rows-get"], 1);
}

// Many hosts request the same rows at once and get the same cached response. A
// host whose request follows a change, or that has fewer rows, must not get
// that response.
TEST_F(TableFollowerPeerTest, EachHostGetsTheRowsItLacks) {
  server_.Put("a", "1");
  reader_.Start();
  std::vector<std::vector<std::string>> answers;
  std::uint64_t known = 0;
  const auto query = [&](std::uint64_t version) {
    QueryReader({.table = "t", .known_version = version},
                [&](const Result<RowBatch, RowFailure>& answer) {
                  std::vector<std::string> keys;
                  if (IsOk(answer)) {
                    known = ValueOf(answer).newest_version;
                    for (const Row& row : ValueOf(answer).rows) {
                      keys.push_back(row.key);
                    }
                  }
                  answers.push_back(keys);
                });
  };
  AddStep([&] {
    if (!reader_.HasTable()) {
      return false;
    }
    query(0);
    query(0);
    return true;
  });
  AddStep([&] {
    if (answers.size() < 2) {
      return false;
    }
    server_.Put("b", "2");
    return true;
  });
  AddStep([&] {
    if (reader_recorded_.rows.size() < 2) {
      return false;
    }
    query(known);
    query(0);
    return true;
  });
  AddStep([&] { return answers.size() == 4; });
  loop_.Run();

  std::ranges::sort(answers);
  const std::vector<std::vector<std::string>> expected = {
      {"a"}, {"a"}, {"a", "b"}, {"b"}};
  EXPECT_EQ(answers, expected);
}

}  // namespace
}  // namespace medlarcroft::replication
