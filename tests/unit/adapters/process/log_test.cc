#include "adapters/process/log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <vector>

#include "adapters/process/event_rate_limit.h"
#include "fakes/manual_clock.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

LogOptions MakeOptions() {
  return {.program = "p", .host = "h", .failure_domain = "d"};
}

TEST(LogTest, FormatsLineAsJsonObjectWithTypedFields) {
  const std::string trace_id = "ab";
  const std::vector<LogField> fields = {{"count", 3},
                                        {"ratio", 0.5},
                                        {"is_late", true},
                                        {"brand", "uwimana"},
                                        {"trace_id", trace_id}};
  const std::string text =
      FormatLogLine(MakeOptions(),
                    {.time = WallTime(milliseconds(1'700'000'000'042)),
                     .level = LogLevel::kWarning,
                     .event = "request-late"},
                    fields);

  EXPECT_EQ(nlohmann::json::parse(text),
            (nlohmann::json{{"time", "2023-11-14T22:13:20.042Z"},
                            {"level", "warning"},
                            {"program", "p"},
                            {"host", "h"},
                            {"failure_domain", "d"},
                            {"event", "request-late"},
                            {"count", 3},
                            {"ratio", 0.5},
                            {"is_late", true},
                            {"brand", "uwimana"},
                            {"trace_id", "ab"}}));
}

// A caller may send arbitrary bytes in a header that is logged. An unescaped
// newline would let the caller forge a log line.
TEST(LogTest, EscapesControlCharactersAndInvalidUtf8) {
  const std::vector<LogField> fields = {{"header", "a\n{\"b\":1}\xff\"\x01"}};
  const std::string text = FormatLogLine(MakeOptions(), {.event = "e"}, fields);

  EXPECT_EQ(text.find('\n'), std::string::npos);
  EXPECT_TRUE(nlohmann::json::accept(text));
}

// A program that embeds the library initializes logging again, for example with
// another level. If the earlier appender stayed, each line would be written
// once per initialization.
TEST(LogTest, RestartedLoggingWritesEachLineOnce) {
  testing::internal::CaptureStdout();
  for (int start = 0; start < 2; ++start) {
    LogOptions options = MakeOptions();
    options.output = LogOutput::kStandardOutput;
    StartLogging(options);
  }
  Log(LogLevel::kInfo, "once");
  const std::string text = testing::internal::GetCapturedStdout();

  EXPECT_EQ(std::ranges::count(text, '\n'), 1) << text;
}

// Guards against a second start of logging that frees what other threads are
// logging with: their lines were damaged, or the process crashed.
TEST(LogTest, LoggingMayRestartWhileThreadsLog) {
  LogOptions options = MakeOptions();
  options.output = LogOutput::kStandardOutput;
  options.events_per_second = 1'000'000;
  testing::internal::CaptureStdout();
  StartLogging(options);
  std::atomic<bool> is_stopping{false};
  constexpr int kThreads = 4;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int number = 0; number < kThreads; ++number) {
    threads.emplace_back([&is_stopping] {
      while (!is_stopping) {
        Log(LogLevel::kInfo, "restarted", {{"count", 1}});
      }
    });
  }
  for (int start = 0; start < 5000; ++start) {
    StartLogging(options);
  }
  is_stopping = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  StartLogging(MakeOptions());

  std::istringstream lines(testing::internal::GetCapturedStdout());
  for (std::string line; std::getline(lines, line);) {
    ASSERT_TRUE(nlohmann::json::accept(line)) << line;
  }
}

TEST(EventRateLimitTest, SuppressesAndCountsEventsAboveTheLimit) {
  fakes::ManualClock clock;
  EventRateLimit limit(2);
  EXPECT_EQ(limit.Admit("a", clock.Now()), 0U);
  EXPECT_EQ(limit.Admit("a", clock.Now()), 0U);
  EXPECT_EQ(limit.Admit("a", clock.Now()), std::nullopt);
  EXPECT_EQ(limit.Admit("a", clock.Now()), std::nullopt);
  EXPECT_EQ(limit.Admit("b", clock.Now()), 0U);

  clock.Advance(milliseconds(1000));
  EXPECT_EQ(limit.Admit("a", clock.Now()), 2U);
  EXPECT_EQ(limit.Admit("a", clock.Now()), 0U);
}

}  // namespace
}  // namespace medlarcroft::adapters
