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

/// @brief Another host, which hears from the store and tells what it heard.
class FollowerBesideAnother : public TableFollowerTest {
 protected:
  /// @return options of a follower that may ask the other host.
  [[nodiscard]] TableFollower::Options Options() const {
    return {.table = "t", .timing = kTestPace};
  }
  void AskOther(const RowsRequest& question, RowsCallback callback) {
    ++asked_;
    platform::AskPeer(caller_, "127.0.0.1:" + std::to_string(listener_->Port()),
                      question, std::move(callback));
  }
  [[nodiscard]] TableFollower::Options OptionsOfReaders() {
    TableFollower::Options options = Options();
    options.ask_reader = [this](const RowsRequest& question,
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
  TableServer teller_{loop_, [this](std::string_view) {
                        return is_other_fresh_ ? other_.ServeFollowers()
                                               : FreshTable{};
                      }};
  platform::MirrorHandler page_{teller_};
  std::unique_ptr<adapters::HttpListener> listener_ =
      TakeValue(adapters::HttpListener::Open(loop_, "127.0.0.1:0", page_));
  adapters::EventHttpClient caller_{loop_, {}};
  int asked_ = 0;
};

// The store turns this host away and serves another one, to which a domain's
// evacuation was told. This host hears of it from there, well before the store
// takes it back.
TEST_F(FollowerBesideAnother, AHostThatIsTurnedAwayHearsFromIt) {
  fakes::FakeStoreServer refusing(loop_);
  refusing.forced_status = 503;
  platform::StoreClient refused_store(loop_, {.address = refusing.Address()},
                                      metrics_);
  TableFollower::Options options = Options();
  options.ask_peer = [this](const RowsRequest& question,
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

  EXPECT_TRUE(turned_away.IsDisconnected());
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

// Many hosts ask for the same at once, and one text is made for all of them.
// Who asks after a change, or knows less, must not get what others got before.
TEST_F(FollowerBesideAnother, EachHostGetsWhatItLacks) {
  server_.Put("a", "1");
  other_.Start();
  std::vector<std::vector<std::string>> answers;
  std::uint64_t known = 0;
  const auto ask = [&](std::uint64_t version) {
    AskOther({.table = "t", .known_version = version},
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
  RunUntil([&] {
    if (!other_.HasTable()) {
      return false;
    }
    ask(0);
    ask(0);
    return true;
  });
  RunUntil([&] {
    if (answers.size() < 2) {
      return false;
    }
    server_.Put("b", "2");
    return true;
  });
  RunUntil([&] {
    if (other_heard_.rows.size() < 2) {
      return false;
    }
    ask(known);
    ask(0);
    return true;
  });
  RunUntil([&] { return answers.size() == 4; });
  loop_.Run();

  std::ranges::sort(answers);
  const std::vector<std::vector<std::string>> expected = {
      {"a"}, {"a"}, {"a", "b"}, {"b"}};
  EXPECT_EQ(answers, expected);
}

}  // namespace
}  // namespace medlarcroft::replication
