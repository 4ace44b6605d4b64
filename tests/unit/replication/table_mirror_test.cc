#include "medlarcroft/replication/table_mirror.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::replication {
namespace {

TEST(TableMirrorTest, ReturnsChangesOrTheWholeTableIfTheyAreNotKept) {
  TableMirror mirror;
  mirror.Replace(
      std::vector<Row>{{.key = "a", .version = 3}, {.key = "c", .version = 4}},
      5);
  mirror.Apply(std::vector<Row>{{.key = "b", .version = 6}}, 6);
  mirror.Apply(std::vector<Row>{{.key = "a", .is_removed = true}}, 7);

  EXPECT_TRUE(mirror.ChangesSince(7).rows.empty());
  const RowBatch last = mirror.ChangesSince(6);
  ASSERT_EQ(last.rows.size(), 1U);
  EXPECT_TRUE(last.rows[0].is_removed);
  EXPECT_EQ(last.rows[0].key, "a");
  EXPECT_FALSE(last.is_full_table);
  EXPECT_EQ(mirror.ChangesSince(5).rows.size(), 2U);
  const RowBatch whole = mirror.ChangesSince(4);
  EXPECT_TRUE(whole.is_full_table);
  EXPECT_EQ(whole.rows.size(), 2U);
  EXPECT_EQ(whole.newest_version, 7U);
}

// All hosts start before anything was ever written. Hosts that request it from
// the reader must be informed that the empty table is complete. Otherwise they
// would never have the table, and never be ready.
TEST(TableMirrorTest, AnEmptyTableIsSentAsWhole) {
  TableMirror mirror;
  mirror.Replace({}, 0);
  EXPECT_TRUE(mirror.ChangesSince(0).is_full_table);

  mirror.Apply(std::vector<Row>{{.key = "a", .version = 1}}, 1);
  const RowBatch rows = mirror.ChangesSince(0);
  EXPECT_TRUE(rows.is_full_table);
  EXPECT_EQ(rows.rows.size(), 1U);
}

// A row that was removed and written again must be sent as written.
TEST(TableMirrorTest, ARowWrittenAgainIsNotMarkedAsRemoved) {
  TableMirror mirror;
  mirror.Replace({}, 1);
  mirror.Apply(std::vector<Row>{{.key = "a", .is_removed = true}}, 2);
  mirror.Apply(std::vector<Row>{{.key = "a", .version = 3}}, 3);

  const RowBatch rows = mirror.ChangesSince(1);
  ASSERT_EQ(rows.rows.size(), 1U);
  EXPECT_FALSE(rows.rows[0].is_removed);
}

// When more rows are removed than are kept as removed, a host that lags behind
// must get the whole table, or it would keep removed rows.
TEST(TableMirrorTest, AfterManyRemovalsTheWholeTableIsSent) {
  TableMirror mirror;
  mirror.Replace({}, 1);
  for (std::uint64_t i = 0; i < 600; ++i) {
    mirror.Apply(
        std::vector<Row>{{.key = "k" + std::to_string(i), .is_removed = true}},
        2 + i);
  }
  EXPECT_TRUE(mirror.ChangesSince(1).is_full_table);
}

}  // namespace
}  // namespace medlarcroft::replication
