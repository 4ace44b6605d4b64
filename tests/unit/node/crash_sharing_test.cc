#include "crash_sharing.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "adapters/process/system_clock.h"
#include "fakes/fake_store_server.h"
#include "fakes/seeded_random.h"
#include "platform/blocked_request_entry.h"

namespace medlarcroft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const auto kRequest = request_path::RequestFingerprint::Of({"crash"});

/// @brief A single host whose crash tracker is synchronized with stored rows.
class CrashSharingTest : public testing::Test {
 protected:
  CrashSharingTest() {
    settings_.host = "h1";
    settings_.failure_domain = "z";
    settings_.region = "r";
    // Tests run in parallel processes; a loopback address per process avoids
    // bind conflicts.
    const auto process = static_cast<unsigned>(::getpid());
    settings_.peer_listen = "127.66." + std::to_string(process / 256 % 256) +
                            "." + std::to_string(process % 256) + ":18795";
    EXPECT_TRUE(peers_.Start());
    sharing_.Start();
  }

  void RunFor(Duration time) {
    loop_.After(time, [this] { loop_.Finish(0); });
    loop_.Run();
  }
  [[nodiscard]] replication::Row RowUntil(Duration from_now) const {
    return {.key = platform::FormatBlockedRequestKey(kRequest),
            .value = platform::EncodeBlockedRequest(
                {.request = kRequest, .until = clock_.WallNow() + from_now}),
            .version = 7};
  }
  [[nodiscard]] static replication::Row RemovedRow() {
    return {.key = platform::FormatBlockedRequestKey(kRequest),
            .version = 8,
            .is_removed = true};
  }
  void CrashThreeTargets() {
    for (std::uint32_t target = 1; target <= 3; ++target) {
      crash_tracker_.OnCrash(kRequest, request_path::TargetNumber{target},
                             loop_.Now());
    }
  }
  [[nodiscard]] bool IsBlocked() const {
    return crash_tracker_.BlockedFor(kRequest, loop_.Now()).has_value();
  }

  std::string stored_value_;  ///< Of the blocked request, in the store.
  adapters::SystemClock clock_;
  adapters::EventLoop loop_{clock_};
  telemetry::MetricsRegistry metrics_;
  fakes::FakeStoreServer server_{loop_};
  fakes::SeededRandom random_{5};
  platform::StoreClient store_{loop_, {.address = server_.Address()}, metrics_};
  request_path::DomainRegions regions_{
      {FailureDomainName("z"), RegionName("r")}};
  adapters::NodeSettings settings_;
  request_path::CrashTracker crash_tracker_{{}};
  PeerGroup peers_{
      settings_,
      PeerGroup::Parts{.loop = loop_,
                       .store = store_,
                       .random = random_,
                       .metrics = metrics_,
                       .regions = regions_,
                       .on_blocked_row = [this](const replication::Row& row) {
                         stored_value_ = row.value;
                         sharing_.OnRow(row);
                       }}};
  CrashSharing sharing_{{.loop = loop_,
                         .store = store_,
                         .ledger = crash_tracker_,
                         .peers = peers_,
                         .random = random_,
                         .metrics = metrics_}};
};

TEST_F(CrashSharingTest, ARowBlocksAndItsRemovalUnblocks) {
  sharing_.OnRow(RowUntil(minutes(5)));
  EXPECT_TRUE(IsBlocked());
  sharing_.OnRow(RemovedRow());
  EXPECT_FALSE(IsBlocked());
}

// Guards against lifting the block of a request that crashes targets again when
// the row of its previous, expired block is removed.
TEST_F(CrashSharingTest, RemovalOfAnExpiredRowDoesNotUnblock) {
  sharing_.OnRow(RowUntil(-minutes(1)));
  CrashThreeTargets();
  sharing_.OnRow(RemovedRow());
  EXPECT_TRUE(IsBlocked());
}

// Guards against treating a new block as stored because of an expired row; a
// host that starts would then not learn of the block.
TEST_F(CrashSharingTest, ANewBlockReplacesAnExpiredRow) {
  const replication::Row expired = RowUntil(-minutes(1));
  server_.Put(expired.key, expired.value);
  loop_.After(milliseconds(500), [this, &expired] {
    EXPECT_EQ(stored_value_, expired.value);
    CrashThreeTargets();
  });
  RunFor(milliseconds(3500));
  const auto stored =
      platform::DecodeBlockedRequest(expired.key, stored_value_);
  ASSERT_TRUE(IsOk(stored));
  EXPECT_GT(ValueOf(stored).until, clock_.WallNow() + minutes(9));
}

// Guards against a removal that the store refuses and nobody repeats: hosts
// that start later would block a request that has been answered.
TEST_F(CrashSharingTest, ARefusedRemovalIsRepeated) {
  const replication::Row row = RowUntil(minutes(5));
  server_.Put(row.key, row.value);
  loop_.After(milliseconds(500), [this] {
    EXPECT_TRUE(IsBlocked());
    server_.forced_status = 503;
    crash_tracker_.OnAnswered(kRequest, loop_.Now());
  });
  loop_.After(milliseconds(1500), [this] { server_.forced_status.reset(); });
  RunFor(milliseconds(9000));

  EXPECT_FALSE(server_.Contains(row.key));
}

}  // namespace
}  // namespace medlarcroft::node
