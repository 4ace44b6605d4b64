#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "adapters/process/json_line.h"

namespace medlarcroft::adapters {
namespace {

// A log line that cannot be parsed hides why a request failed. Whatever input
// of a caller is logged, the line is one JSON object that parses to what was
// written; bytes that are not valid UTF-8 neither corrupt nor end it.
RC_GTEST_PROP(JsonLineProperty,
              ReadsBackAsWritten,
              (const std::string& text,
               std::int64_t whole,
               std::uint64_t count,
               double fraction,
               bool flag)) {
  JsonLine line(16);
  line.Add("text", text);
  line.Add("whole", whole);
  line.Add("count", count);
  line.Add("fraction", fraction);
  line.Add("flag", flag);
  const std::string written = std::move(line).Finish();

  RC_ASSERT(written.find('\n') == std::string::npos);
  const auto read = nlohmann::json::parse(written, nullptr, false);
  RC_ASSERT(read.is_object());
  RC_ASSERT(read.at("whole") == whole);
  RC_ASSERT(read.at("count") == count);
  RC_ASSERT(read.at("flag") == flag);
  if (std::isfinite(fraction)) {
    RC_ASSERT(read.at("fraction").get<double>() == fraction);
  } else {
    RC_ASSERT(read.at("fraction").is_null());
  }
  const auto as_library = nlohmann::json(text).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  RC_ASSERT(read.at("text") == nlohmann::json::parse(as_library));
}

TEST(JsonLineTest, NothingIsAnEmptyObject) {
  EXPECT_EQ(JsonLine(0).Finish(), "{}");
}

}  // namespace
}  // namespace medlarcroft::adapters
