#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

#include "adapters/console/command.h"
#include "unit/adapters/console/fake_steerd.h"

namespace medlarcroft::adapters {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kDomain =
    R"({"kind":"failure-domain","failure_domain":"a","region":"r","seats":3})";

class ConsoleTest : public testing::Test {
 protected:
  static std::unique_ptr<HttpServer> Serve(FakeSteerd& steerd) {
    return TakeValue(HttpServer::Start({.address = "127.0.0.1:0"}, steerd));
  }

  static std::string UrlOf(const HttpServer& server) {
    return "http://127.0.0.1:" + std::to_string(server.Port());
  }

  ExitCode Run(const std::vector<std::string>& words) {
    out_.str("");
    errors_.str("");
    SteerdClient client({.urls = urls_,
                         .token = token_,
                         .timeout = milliseconds(400),
                         .read_timeout = milliseconds(400)});
    const CommandContext context{
        .client = client,
        .clock = clock_,
        .sleep =
            [this](Duration duration) {
              clock_.Advance(duration);
              if (on_sleep_) {
                on_sleep_();
              }
            },
        .make_change_id =
            [this] { return "console-" + std::to_string(++ids_); },
        .out = out_,
        .errors = errors_,
        .is_json = is_json_};
    return RunCommand(context, words);
  }

  std::string WriteFile(std::string_view text) {
    // Test cases run in parallel processes, so the name holds the process id.
    std::string path = testing::TempDir() + "medlarctl-test-" +
                       std::to_string(getpid()) + "-" +
                       std::to_string(++files_) + ".json";
    std::ofstream(path) << text;
    return path;
  }

  FakeSteerd steerd_;
  std::unique_ptr<HttpServer> server_ = Serve(steerd_);
  std::vector<std::string> urls_{UrlOf(*server_)};
  std::string token_ = "secret";
  bool is_json_ = false;
  fakes::ManualClock clock_;
  std::function<void()> on_sleep_;
  std::ostringstream out_;
  std::ostringstream errors_;
  int ids_ = 0;
  int files_ = 0;
};

json Status(std::uint64_t revision, std::uint64_t member_revision) {
  return {{"host", "a-1"},
          {"failure_domain", "a"},
          {"ready", true},
          {"catalogue", {{"revision", revision}, {"highest_seen", revision}}},
          {"platform", {{"reachable", true}, {"since_ms", 90000}}},
          {"members",
           {{{"host", "b-1"},
             {"failure_domain", "b"},
             {"state", "alive"},
             {"phase", "ready"},
             {"revision", member_revision},
             {"age_ms", 700}},
            {{"host", "c-1"},
             {"failure_domain", "c"},
             {"state", "unknown"},
             {"revision", 0},
             {"age_ms", 60000}}}},
          {"serves", {"look-ups"}},
          {"cannot", json::array()}};
}

TEST_F(ConsoleTest, UpdatesAnEntryThatWasRead) {
  ASSERT_EQ(Run({"catalogue", "put", "d.a", WriteFile(kDomain), "--create"}),
            ExitCode::kSuccess);
  ASSERT_EQ(Run({"catalogue", "get", "d.a"}), ExitCode::kSuccess);
  json entry = json::parse(out_.str());
  entry["seats"] = 5;

  EXPECT_EQ(Run({"catalogue", "put", "d.a", WriteFile(entry.dump())}),
            ExitCode::kSuccess);
  EXPECT_EQ(out_.str(), "d.a: accepted as revision 2, version 2\n");
  // The same file again expects version 1, which has been replaced.
  EXPECT_EQ(Run({"catalogue", "put", "d.a", WriteFile(entry.dump())}),
            ExitCode::kConflict);
  EXPECT_EQ(Run({"catalogue", "history", "d.a"}), ExitCode::kSuccess);
  EXPECT_NE(out_.str().find("console-2"), std::string::npos);
  EXPECT_EQ(Run({"catalogue", "delete", "d.a", "--if-version", "2"}),
            ExitCode::kSuccess);
  EXPECT_EQ(Run({"catalogue", "get", "d.a"}), ExitCode::kNotFound);
}

struct ExitCodeCase {
  std::string name;
  std::vector<std::string> words;
  std::string token;
  bool is_platform_down;
  ExitCode code;
};

void PrintTo(const ExitCodeCase& exit_code_case, std::ostream* out) {
  *out << exit_code_case.name;
}

class ExitCodes : public ConsoleTest,
                  public testing::WithParamInterface<ExitCodeCase> {};

TEST_P(ExitCodes, MatchTheOutcome) {
  const std::string good = WriteFile(kDomain);
  const std::string bad = WriteFile(R"({"kind":"link"})");
  ASSERT_EQ(Run({"catalogue", "put", "d.a", good, "--create"}),
            ExitCode::kSuccess);
  std::vector<std::string> words = GetParam().words;
  for (std::string& word : words) {
    word = word == "GOOD" ? good : word == "BAD" ? bad : word;
  }
  token_ = GetParam().token;
  steerd_.platform.table.SetDown(GetParam().is_platform_down);

  EXPECT_EQ(Run(words), GetParam().code) << errors_.str();
  if (GetParam().code != ExitCode::kSuccess) {
    EXPECT_FALSE(errors_.str().empty());
  }
}

std::vector<ExitCodeCase> ExitCodeCases() {
  return {
      {"Conflict",
       {"catalogue", "put", "d.a", "GOOD", "--if-version", "7"},
       "secret",
       false,
       ExitCode::kConflict},
      {"NoVersion",
       {"catalogue", "put", "d.a", "GOOD"},
       "secret",
       false,
       ExitCode::kConflict},
      {"BadEntry",
       {"catalogue", "put", "d.b", "BAD", "--create"},
       "secret",
       false,
       ExitCode::kInvalid},
      {"NoFile",
       {"catalogue", "put", "d.b", "/none", "--create"},
       "secret",
       false,
       ExitCode::kBadUsage},
      {"BadToken",
       {"catalogue", "list"},
       "nobody",
       false,
       ExitCode::kNotAllowed},
      {"OtherOwner",
       {"catalogue", "put", "d.a", "GOOD", "--if-version", "1"},
       "else",
       false,
       ExitCode::kNotAllowed},
      {"PlatformDown",
       {"catalogue", "put", "d.a", "GOOD", "--if-version", "1"},
       "secret",
       true,
       ExitCode::kUnavailable},
      {"NoVersionToDelete",
       {"catalogue", "delete", "d.a"},
       "secret",
       false,
       ExitCode::kBadUsage},
      {"UnknownOption",
       {"catalogue", "list", "--all"},
       "secret",
       false,
       ExitCode::kBadUsage},
      {"UnknownCommand",
       {"catalogue", "burn"},
       "secret",
       false,
       ExitCode::kBadUsage},
      {"NoCommand", {}, "secret", false, ExitCode::kBadUsage},
      {"CheckGood",
       {"catalogue", "check", "GOOD"},
       "",
       false,
       ExitCode::kSuccess},
      {"CheckBad",
       {"catalogue", "check", "GOOD", "BAD"},
       "",
       false,
       ExitCode::kInvalid},
      {"DrainUnknownTarget",
       {"drain", "target", "t9"},
       "secret",
       false,
       ExitCode::kInvalid},
      {"DrainUnknownSubject",
       {"drain", "rack", "r1"},
       "secret",
       false,
       ExitCode::kBadUsage},
      {"ExplainWithoutBrand",
       {"explain", "--service", "s"},
       "secret",
       false,
       ExitCode::kBadUsage},
  };
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ExitCodes,
                         testing::ValuesIn(ExitCodeCases()),
                         [](const auto& tested) { return tested.param.name; });

TEST_F(ConsoleTest, TriesTheNextSteerdIfOneDoesNotRespond) {
  urls_.insert(urls_.begin(), "http://127.0.0.1:1");
  EXPECT_EQ(Run({"catalogue", "list"}), ExitCode::kSuccess);

  urls_ = {"http://127.0.0.1:1"};
  EXPECT_EQ(Run({"catalogue", "put", "d.a", WriteFile(kDomain), "--create"}),
            ExitCode::kUnreachable);
}

// The first steerd receives the change and does not respond; the second cannot
// reach the platform and responds "not run". That holds for the second request
// only: the first may still take effect, so the outcome must be "unknown".
TEST_F(ConsoleTest, ErrorAfterALostResponseLeavesOutcomeUnknown) {
  FakeSteerd unresponsive;
  unresponsive.is_unresponsive = true;
  const auto unresponsive_server = Serve(unresponsive);
  urls_.insert(urls_.begin(), UrlOf(*unresponsive_server));
  steerd_.platform.table.SetDown(true);

  EXPECT_EQ(Run({"catalogue", "put", "d.a", WriteFile(kDomain), "--create"}),
            ExitCode::kOutcomeUnknown);
  EXPECT_NE(errors_.str().find("--change-id console-1"), std::string::npos);

  // Once the platform is available, a retry with the same id succeeds once.
  steerd_.platform.table.SetDown(false);
  EXPECT_EQ(Run({"catalogue", "put", "d.a", WriteFile(kDomain), "--create",
                 "--change-id", "console-1"}),
            ExitCode::kSuccess);
  EXPECT_EQ(steerd_.Revision(), 1U);
}

// The first steerd is paused: it accepts requests but does not respond. The
// command reads and then writes; only the read may wait for the timeout.
TEST_F(ConsoleTest, WaitsOnceForAnUnresponsiveSteerd) {
  FakeSteerd unresponsive;
  unresponsive.is_unresponsive = true;
  const auto unresponsive_server = Serve(unresponsive);
  urls_.insert(urls_.begin(), UrlOf(*unresponsive_server));

  EXPECT_EQ(Run({"drain", "host", "b-1"}), ExitCode::kSuccess);
  EXPECT_EQ(unresponsive_server->Counters().requests, 1U);
}

TEST_F(ConsoleTest, WaitsUntilInForceOnAllReachableHosts) {
  int polls = 0;
  steerd_.make_status = [&polls] { return Status(1, ++polls > 3 ? 1 : 0); };

  EXPECT_EQ(Run({"catalogue", "put", "d.a", WriteFile(kDomain), "--create",
                 "--wait"}),
            ExitCode::kSuccess);
  EXPECT_EQ(polls, 4);
  EXPECT_NE(out_.str().find("750 ms"), std::string::npos) << out_.str();
  EXPECT_NE(out_.str().find("c-1"), std::string::npos);
}

TEST_F(ConsoleTest, ExpiredWaitReturnsIncomplete) {
  steerd_.make_status = [] { return Status(1, 0); };

  EXPECT_EQ(Run({"catalogue", "put", "d.a", WriteFile(kDomain), "--create",
                 "--wait", "--timeout", "5"}),
            ExitCode::kIncomplete);
  EXPECT_EQ(Run({"catalogue", "status"}), ExitCode::kIncomplete);
  EXPECT_NE(out_.str().find("b-1"), std::string::npos);
}

TEST_F(ConsoleTest, DrainsAndUndoesADrain) {
  EXPECT_EQ(Run({"drain", "host", "b-1", "--reason", "new disk"}),
            ExitCode::kSuccess);
  EXPECT_EQ(Run({"catalogue", "get", "drain.host.b-1"}), ExitCode::kSuccess);
  EXPECT_EQ(json::parse(out_.str())["reason"], "new disk");
  EXPECT_EQ(Run({"drain", "host", "b-1"}), ExitCode::kSuccess);
  EXPECT_EQ(out_.str(), "b-1 is drained already\n");

  EXPECT_EQ(Run({"drain", "host", "b-1", "--undo"}), ExitCode::kSuccess);
  EXPECT_EQ(Run({"drain", "host", "b-1", "--undo"}), ExitCode::kSuccess);
  EXPECT_EQ(out_.str(), "b-1 is not drained\n");
  EXPECT_EQ(steerd_.Revision(), 2U);
}

// The drain is in force at once, but the host still works. --watch must not end
// before other hosts report it as "dead" (same failure domain) or "unknown"
// (another failure domain).
TEST_F(ConsoleTest, WatchesAHostUntilItIsUnreachable) {
  for (const std::string unreachable_state : {"dead", "unknown"}) {
    int waits = 0;
    steerd_.make_status = [&waits, &unreachable_state] {
      json status = Status(1, 1);
      status["members"][0]["state"] = waits < 5 ? "leaving" : unreachable_state;
      return status;
    };
    on_sleep_ = [&waits] { ++waits; };

    EXPECT_EQ(Run({"drain", "host", "b-1", "--watch"}), ExitCode::kSuccess);
    EXPECT_EQ(waits, 5) << unreachable_state;
  }
}

TEST_F(ConsoleTest, ReportsAWatchedHostThatKeepsRunning) {
  steerd_.make_status = [] { return Status(1, 1); };

  EXPECT_EQ(Run({"drain", "host", "b-1", "--watch", "--timeout", "3"}),
            ExitCode::kIncomplete);
  EXPECT_NE(out_.str().find("stop its daemons"), std::string::npos);
}

TEST_F(ConsoleTest, WatchesRequestsInFlightIfReported) {
  int outstanding = 3;
  steerd_.make_status = [&outstanding] {
    json status = Status(1, 1);
    status["drains"] = {
        {{"subject", "host"}, {"name", "b-1"}, {"outstanding", outstanding}}};
    return status;
  };
  on_sleep_ = [&outstanding] { --outstanding; };

  EXPECT_EQ(Run({"drain", "host", "b-1", "--watch"}), ExitCode::kSuccess);
  EXPECT_EQ(outstanding, 0);

  outstanding = 1;
  on_sleep_ = nullptr;
  EXPECT_EQ(Run({"drain", "host", "b-1", "--watch", "--timeout", "3"}),
            ExitCode::kIncomplete);
}

TEST_F(ConsoleTest, PrintsStatusExplainAndReport) {
  steerd_.make_status = [] { return Status(4, 4); };
  urls_.push_back("http://127.0.0.1:1");

  EXPECT_EQ(Run({"status", "--members"}), ExitCode::kSuccess);
  EXPECT_NE(out_.str().find("up 1.5 min"), std::string::npos) << out_.str();
  EXPECT_NE(out_.str().find("b-1"), std::string::npos);
  EXPECT_EQ(errors_.str(), "http://127.0.0.1:1: no answer\n");
  EXPECT_EQ(Run({"explain", "--service", "s", "--brand", "b"}),
            ExitCode::kSuccess);
  EXPECT_EQ(out_.str(), "rule: nearest\nhosts: h1, h2\n");
  EXPECT_EQ(Run({"report"}), ExitCode::kSuccess);
  EXPECT_EQ(json::parse(out_.str())["/v1/status"].size(), 2U);
}

}  // namespace
}  // namespace medlarcroft::adapters
