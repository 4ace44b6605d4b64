#include "adapters/process/pipe_appender.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <string>

namespace medlarcroft::adapters {
namespace {

class PipeAppenderTest : public testing::Test {
 protected:
  PipeAppenderTest() {
    EXPECT_EQ(::pipe2(ends_.data(), 0), 0);
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~PipeAppenderTest() override {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  static void Append(PipeAppender& appender, const std::string& text) {
    appender.doAppend(log4cplus::spi::InternalLoggingEvent(
        "test", log4cplus::INFO_LOG_LEVEL, text, __FILE__, __LINE__));
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 8192> buffer;
    ssize_t count = 0;
    while ((count = ::read(ends_[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> ends_{};
};

// The reader of the log stops reading and the pipe fills up. Lines must be
// dropped and counted, because a blocking write would delay every request. Once
// the reader resumes, the number of dropped lines is logged before the next
// line.
TEST_F(PipeAppenderTest, DropsAndCountsLinesWhenPipeIsFull) {
  PipeAppender appender(ends_[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    Append(appender, line);
  }
  const std::uint64_t dropped = appender.Dropped();
  EXPECT_GT(dropped, 0U);
  EXPECT_EQ(ReadAll().size(), (1000 - dropped) * (line.size() + 1));

  Append(appender, "after");

  EXPECT_EQ(ReadAll(), "{\"event\":\"log-lines-dropped\",\"count\":" +
                           std::to_string(dropped) + "}\nafter\n");
}

TEST_F(PipeAppenderTest, TruncatesLineToAtomicPipeWriteSize) {
  PipeAppender appender(ends_[1]);
  Append(appender, std::string(100'000, 'x'));

  const std::string written = ReadAll();
  EXPECT_EQ(written.size(), 4096U);
  EXPECT_TRUE(written.ends_with("...\n"));
}

}  // namespace
}  // namespace medlarcroft::adapters
