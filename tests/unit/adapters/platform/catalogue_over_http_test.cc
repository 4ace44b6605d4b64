#include <gtest/gtest.h>

#include "adapters/platform/http_platform.h"
#include "fakes/catalogue_platform.h"
#include "medlarcroft/catalogue/catalogue_poller.h"
#include "medlarcroft/catalogue/catalogue_store.h"
#include "standins/platform/platform_handler.h"

namespace medlarcroft::adapters {
namespace {

using catalogue::CatalogueReader;
using catalogue::CatalogueReplica;
using catalogue::CatalogueStore;
using fakes::DomainChange;

/// Runs the catalogue's components over HTTP against a stand-in for the
/// platform.
class CatalogueOverHttpTest : public testing::Test {
 protected:
  CatalogueOverHttpTest()
      : server_(
            TakeValue(HttpServer::Start({.address = "127.0.0.1:0"}, handler_))),
        platform_({.base_url =
                       "http://127.0.0.1:" + std::to_string(server_->Port())}),
        store_({.snapshot_interval = 8},
               {.table = platform_,
                .objects = platform_,
                .clock = clock_,
                .random = random_,
                .sleep = [this](Duration wait) { clock_.Advance(wait); }}) {}

  standins::PlatformHandler handler_;
  std::unique_ptr<HttpServer> server_;
  HttpPlatform platform_;
  fakes::ManualClock clock_;
  fakes::SeededRandom random_{20261202};
  CatalogueStore store_;
};

// Every third commit takes effect but its answer is lost. Each change must
// still be reported as accepted, and be applied exactly once.
TEST_F(CatalogueOverHttpTest, LostAnswersAreResolved) {
  std::uint64_t resolved = 0;
  for (std::uint64_t i = 0; i < 30; ++i) {
    handler_.ActiveFaults().Set(
        {.responses_to_drop = std::uint64_t{i % 3 == 0 ? 1U : 0U}});
    const auto result = store_.Accept(DomainChange(
        "c" + std::to_string(i), "a", i, static_cast<std::uint32_t>(1 + i)));
    ASSERT_TRUE(IsOk(result)) << i;
    EXPECT_EQ(ValueOf(result).revision, i + 1);
    resolved += ValueOf(result).was_already_accepted ? 1 : 0;
  }

  EXPECT_EQ(resolved, 10U);
  EXPECT_EQ(ValueOf(store_.Read(EntryName("a"))).version, 30U);
}

TEST_F(CatalogueOverHttpTest, NewHostLoadsSnapshotAndChanges) {
  for (std::uint64_t i = 0; i < 100; ++i) {
    ASSERT_TRUE(
        IsOk(store_.Accept(DomainChange("c" + std::to_string(i), "a", i))));
  }
  CatalogueReader reader(platform_, platform_);
  CatalogueReplica replica({}, clock_);
  catalogue::CataloguePoller poller({}, {.reader = reader,
                                         .replica = replica,
                                         .clock = clock_,
                                         .random = random_});

  poller.Step(true);

  EXPECT_EQ(replica.Revision(), 100U);
  EXPECT_TRUE(replica.IsReady());
  EXPECT_EQ(poller.FailedSteps(), 0U);
  EXPECT_TRUE(replica.ChangesSince(0, 1).is_snapshot);
}

}  // namespace
}  // namespace medlarcroft::adapters
