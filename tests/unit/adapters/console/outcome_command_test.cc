#include "adapters/console/outcome_command.h"

#include <gtest/gtest.h>

#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace medlarcroft::adapters {
namespace {

constexpr const char* kEnd = R"({"time":"2026-10-07T12:36:24.526Z",
  "failure_domain":"hy-tumba","event":"request-refused","route":"orders",
  "reason":"no-room","since_arrival_ms":10,"held_back":7})";
constexpr const char* kLaterEnd = R"({"time":"2026-10-07T12:36:24.900Z",
  "failure_domain":"hy-tumba","event":"request-refused","route":"orders",
  "reason":"no-room","since_arrival_ms":30})";
constexpr const char* kSend = R"({"time":"2026-10-07T12:36:24.100Z",
  "failure_domain":"hy-tumba","event":"request-placed","route":"orders",
  "region":"huye","is_warm":true,"expected_wait_ms":40})";

std::string Print(std::initializer_list<const char*> lines) {
  OutcomeSummary summary;
  for (const char* const line : lines) {
    summary.Add(nlohmann::json::parse(line));
  }
  std::ostringstream out;
  summary.Print(out);
  return out.str();
}

/// @return the cells of the first row that contains `word`.
std::vector<std::string> RowWith(const std::string& text,
                                 const std::string& word) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.find(word) == std::string::npos) {
      continue;
    }
    std::istringstream cells(line);
    return {std::istream_iterator<std::string>(cells), {}};
  }
  return {};
}

TEST(OutcomeSummaryTest, SumsRequestOutcomesPerSecond) {
  const std::string text = Print({kEnd, kSend, kLaterEnd});

  EXPECT_EQ(
      RowWith(text, "no-room"),
      (std::vector<std::string>{"2026-10-07T12:36:24", "hy-tumba", "orders",
                                "refused,", "no-room", "2", "20", "ms"}));
  EXPECT_EQ(RowWith(text, "huye"),
            (std::vector<std::string>{"hy-tumba", "orders", "huye", "yes", "1",
                                      "40", "ms"}));
  EXPECT_NE(text.find("7 requests have no lines"), std::string::npos);
}

// Logs may contain lines of other programs and truncated lines; the command
// must ignore them.
TEST(OutcomeSummaryTest, IgnoresOtherLines) {
  OutcomeSummary summary;
  for (const char* const line :
       {R"({"event":"target-changed"})", R"({"event":7})", "{}",
        R"({"event":"attempt-failed","request":"a"})"}) {
    summary.Add(nlohmann::json::parse(line));
  }
  EXPECT_TRUE(summary.IsEmpty());

  summary.Add(nlohmann::json::parse(
      R"({"event":"request-failed","reason":3,"since_arrival_ms":"x"})"));
  EXPECT_FALSE(summary.IsEmpty());
  summary.Add(nlohmann::json::parse(
      R"({"event":"request-failed","reason":"no-room","held_back":-3})"));
  std::ostringstream out;
  summary.Print(out);
  EXPECT_NE(out.str().find("\n0 requests have no lines"), std::string::npos);
}

}  // namespace
}  // namespace medlarcroft::adapters
