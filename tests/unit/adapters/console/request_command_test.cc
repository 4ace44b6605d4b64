#include "adapters/console/request_command.h"

#include <gtest/gtest.h>

#include <sstream>

namespace medlarcroft::adapters {
namespace {

TEST(RequestCommandTest, FindsOnlyTheLinesOfTheRequest) {
  std::istringstream log(
      R"(edge-1 {"time":"t2","event":"request-placed","request":"abc"})"
      "\n"
      R"({"time":"t1","event":"request-placed","request":"abcd"})"
      "\n"
      R"({"time":"t3","event":"target-changed","target":"abc"})"
      "\n"
      "abc is no object\n{abc\n"
      R"({"time":"t4","event":"request-failed","request":"abc"})"
      "\n");

  const auto lines = FindRequestLines(log, "abc");

  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0].time, "t2");
  EXPECT_TRUE(lines[0].text.starts_with("{"));
  EXPECT_EQ(lines[1].time, "t4");
}

}  // namespace
}  // namespace medlarcroft::adapters
