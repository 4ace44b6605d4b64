#include "adapters/platform/catalogue_wire_conversion.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

catalogue::Delta OneChange(std::string_view name) {
  return {.from_revision = 4,
          .to_revision = 5,
          .changes = {{.revision = 5,
                       .entry = EntryName(name),
                       .document = "{}",
                       .change_id = "c"}}};
}

TEST(CatalogueWireConversionTest, RoundTripsDelta) {
  const auto back = FromWire(ToWire(OneChange("desk")));

  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->from_revision, 4U);
  EXPECT_EQ(back->to_revision, 5U);
  EXPECT_FALSE(back->is_snapshot);
  EXPECT_EQ(back->changes, OneChange("desk").changes);
}

TEST(CatalogueWireConversionTest, RejectsNegativeRevisionsAndInvalidNames) {
  wire::CatalogueDelta negative = ToWire(OneChange("desk"));
  negative.to_revision = -1;
  wire::CatalogueDelta negative_change = ToWire(OneChange("desk"));
  negative_change.changes[0].revision = -5;

  EXPECT_FALSE(FromWire(negative).has_value());
  EXPECT_FALSE(FromWire(negative_change).has_value());
  EXPECT_FALSE(FromWire(ToWire(OneChange("a/b"))).has_value());
  EXPECT_FALSE(FromWire(ToWire(OneChange(""))).has_value());
}

}  // namespace
}  // namespace medlarcroft::adapters
