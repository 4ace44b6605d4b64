#include "medlarcroft/replication/table_server.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace medlarcroft::replication {
namespace {

/// Timers that keep their tasks until the test runs them.
class HeldTimers final : public ports::Timers {
 public:
  [[nodiscard]] MonotonicTime Now() const override { return {}; }
  void RunAfter(Duration /*delay*/, std::function<void()> task) override {
    tasks.push_back(std::move(task));
  }

  std::vector<std::function<void()>> tasks;
};

// Guards against a timer that uses a table server after its end: a host that
// stopped while another waited for its rows could crash.
TEST(TableServerTest, TimerThatOutlivesTheServerDoesNothing) {
  HeldTimers timers;
  TableMirror mirror;
  int answers = 0;
  std::optional<TableServer> server;
  server.emplace(timers, [&mirror](std::string_view /*table*/) {
    return FreshTable{.mirror = &mirror, .fresh_for = std::chrono::seconds(5)};
  });
  server->Ask({.table = "t", .wait = std::chrono::seconds(1)},
              [&answers](const auto& /*rows*/) { ++answers; });
  ASSERT_EQ(timers.tasks.size(), 1U);

  server.reset();
  timers.tasks.front()();

  EXPECT_EQ(answers, 0);
}

}  // namespace
}  // namespace medlarcroft::replication
