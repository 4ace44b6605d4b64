#include "medlarcroft/replication/table_mirror.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::replication {
namespace {

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
}  // namespace medlarcroft::replication
