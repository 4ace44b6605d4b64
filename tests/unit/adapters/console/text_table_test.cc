#include "adapters/console/text_table.h"

#include <gtest/gtest.h>

#include <sstream>

#include "adapters/console/json_tree.h"

namespace medlarcroft::adapters {
namespace {

TEST(TextTableTest, AlignsColumns) {
  TextTable table({"A", "LONG"});
  table.Add({"wide cell", "x"});
  table.Add({"y"});
  std::ostringstream out;
  table.Print(out);

  EXPECT_EQ(out.str(), "A          LONG\nwide cell  x\ny\n");
}

TEST(JsonTreeTest, IndentsNestedValues) {
  std::ostringstream out;
  PrintJsonTree(nlohmann::ordered_json::parse(
                    R"({"a":{"b":1,"c":[{"d":true},{"d":"x"}]},"e":[]})"),
                out);

  EXPECT_EQ(out.str(),
            "a:\n  b: 1\n  c:\n    -\n      d: true\n    -\n      d: x\n"
            "e: []\n");
}

}  // namespace
}  // namespace medlarcroft::adapters
