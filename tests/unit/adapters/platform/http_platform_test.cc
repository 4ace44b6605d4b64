#include "adapters/platform/http_platform.h"

#include <gtest/gtest.h>

#include <thread>

#include "standins/platform/platform_handler.h"

namespace medlarcroft::adapters {
namespace {

using ports::StoreFailure;
using std::chrono::milliseconds;

class HttpPlatformTest : public testing::Test {
 protected:
  HttpPlatformTest()
      : server_(
            TakeValue(HttpServer::Start({.address = "127.0.0.1:0"}, handler_))),
        platform_({.base_url = Url(), .timeout = milliseconds(300)}) {}

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(server_->Port());
  }

  static ports::Transaction Insert(const std::string& key) {
    return {.conditions = {{.key = key, .version = 0}},
            .writes = {{.key = key, .value = "v"}}};
  }

  standins::PlatformHandler handler_;
  std::unique_ptr<HttpServer> server_;
  HttpPlatform platform_;
};

TEST_F(HttpPlatformTest, CommitsReadsAndScans) {
  const std::string odd_key = "a/b c?d&e%f";
  ASSERT_TRUE(IsOk(platform_.Commit(Insert(odd_key))));
  const auto outcome = platform_.Commit(Insert(odd_key));
  const auto row = platform_.Read(odd_key);
  const auto absent = platform_.Read("absent");
  const auto rows = platform_.Scan("a/", "a0", 10);

  EXPECT_FALSE(ValueOf(outcome).committed);
  ASSERT_EQ(ValueOf(outcome).conflicting.size(), 1U);
  EXPECT_EQ(ValueOf(outcome).conflicting[0].version, 1U);
  EXPECT_EQ(ValueOf(row).value, "v");
  EXPECT_EQ(ValueOf(absent).version, 0U);
  ASSERT_EQ(ValueOf(rows).size(), 1U);
  EXPECT_EQ(ValueOf(rows)[0].key, odd_key);
}

TEST_F(HttpPlatformTest, StoresBinaryObjects) {
  const std::string bytes("\0\xff\n", 3);
  ASSERT_TRUE(IsOk(platform_.Put("snapshot 1", bytes)));

  EXPECT_EQ(ValueOf(platform_.Get("snapshot 1")), bytes);
  EXPECT_EQ(ValueOf(platform_.Get("other")), std::nullopt);
}

TEST_F(HttpPlatformTest, ListsHostsAndServesStaleList) {
  const ports::ListedHost host{.name = "h1",
                               .role = ports::ListedRole::kTarget,
                               .failure_domain = FailureDomainName("a"),
                               .address = "127.0.0.1:1",
                               .is_leaving = true};
  handler_.Platform().SetHosts({host});
  handler_.Platform().SetHostListStale(true);
  handler_.Platform().SetHosts({});

  const auto stale = platform_.List();
  handler_.Platform().SetHostListStale(false);

  ASSERT_EQ(ValueOf(stale).size(), 1U);
  EXPECT_EQ(ValueOf(stale)[0].role, ports::ListedRole::kTarget);
  EXPECT_TRUE(ValueOf(stale)[0].is_leaving);
  EXPECT_TRUE(ValueOf(platform_.List()).empty());
}

// The platform refuses the call with the error code that states that it had no
// effect. The caller may retry or report the failure, because no write can
// appear later.
TEST_F(HttpPlatformTest, RefusedCallIsUnavailable) {
  handler_.ActiveFaults().Set({.is_down = true});

  EXPECT_EQ(ErrorOf(platform_.Commit(Insert("k"))), StoreFailure::kUnavailable);
  EXPECT_EQ(ErrorOf(platform_.Read("k")), StoreFailure::kUnavailable);
}

TEST(HttpPlatformConnectionTest, NoListenerIsUnavailable) {
  HttpPlatform platform({.base_url = "http://127.0.0.1:1"});

  EXPECT_EQ(ErrorOf(platform.Commit({})), StoreFailure::kUnavailable);
}

// The write takes effect, but a proxy on the way returns 504. The result must
// not state that nothing was done, since a reader finds the row.
TEST_F(HttpPlatformTest, LostAnswerIsOutcomeUnknown) {
  handler_.ActiveFaults().Set({.responses_to_drop = 1});

  const auto lost = platform_.Commit(Insert("k"));

  ASSERT_FALSE(IsOk(lost));
  EXPECT_EQ(ErrorOf(lost), StoreFailure::kOutcomeUnknown);
  EXPECT_EQ(ValueOf(platform_.Read("k")).version, 1U);
}

// The service is slower than the timeout. The caller gives up while the write
// is in progress, and the write takes effect later. The result must not state
// that nothing was done here either.
TEST_F(HttpPlatformTest, TimeoutIsOutcomeUnknown) {
  handler_.ActiveFaults().Set({.delay = milliseconds(600)});
  const auto late = platform_.Commit(Insert("k"));
  handler_.ActiveFaults().Set({});

  ASSERT_FALSE(IsOk(late));
  EXPECT_EQ(ErrorOf(late), StoreFailure::kOutcomeUnknown);
  for (int i = 0; i < 200 && handler_.Platform().Read("k").version == 0; ++i) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_EQ(handler_.Platform().Read("k").version, 1U);
}

TEST_F(HttpPlatformTest, AnswerOverSizeLimitIsBadAnswer) {
  handler_.Platform().Commit(
      {.conditions = {},
       .writes = {{.key = "k", .value = std::string(2000, 'x')}}});
  HttpPlatform small({.base_url = Url(), .max_answer_bytes = 1000});

  EXPECT_EQ(ErrorOf(small.Read("k")), StoreFailure::kBadAnswer);
}

struct MalformedBody {
  std::string name;
  std::string body;
};

class PlatformJsonTest : public testing::TestWithParam<MalformedBody> {};

TEST_P(PlatformJsonTest, RejectsMalformedBodies) {
  const std::string& body = GetParam().body;
  EXPECT_FALSE(ParseRow(body).has_value());
  EXPECT_FALSE(ParseRows(body).has_value());
  EXPECT_FALSE(ParseTransaction(body).has_value());
  EXPECT_FALSE(ParseOutcome(body).has_value());
  EXPECT_FALSE(ParseHosts(body).has_value());
  EXPECT_FALSE(IsNotDoneBody(body));
}

INSTANTIATE_TEST_SUITE_P(
    MalformedBodies,
    PlatformJsonTest,
    testing::Values(MalformedBody{"Empty", ""},
                    MalformedBody{"Number", "3"},
                    MalformedBody{
                        "OtherTypes",
                        R"({"key":1,"rows":3,"conditions":0,"code":7,)"
                        R"("committed":"yes","hosts":[1]})"},
                    MalformedBody{"Truncated", R"({"rows":[)"}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a list of hosts that is not followed for one odd entry.
TEST(PlatformJsonFormatTest, AnOddHostDoesNotHideTheOthers) {
  const auto body = FormatHosts({{.name = "a"}, {.name = "b"}});
  const std::string target =
      R"({"name":"c","role":"target","failure_domain":"z","address":)";
  const std::string odd_hosts[] = {"1",
                                   "null",
                                   "[]",
                                   "{}",
                                   R"({"name":7,"role":"target"})",
                                   target + "70000}",
                                   target + R"("x","is_leaving":1e300})"};
  for (const std::string& odd : odd_hosts) {
    const std::size_t first = body->find("{\"address\"");
    const auto hosts = ParseHosts(std::string(*body).insert(first, odd + ","));
    ASSERT_TRUE(hosts) << odd;
    ASSERT_EQ(hosts->size(), 2U) << odd;
    EXPECT_EQ(hosts->back().name, "b");
  }
}

TEST(PlatformJsonFormatTest, RejectsTextThatIsNotUtf8) {
  HttpPlatform platform({.base_url = "http://127.0.0.1:1"});

  EXPECT_FALSE(FormatRow({.key = "k", .value = "\xff"}).has_value());
  EXPECT_EQ(ErrorOf(platform.Commit(
                {.conditions = {}, .writes = {{.key = "k", .value = "\xff"}}})),
            StoreFailure::kUnavailable);
}

}  // namespace
}  // namespace medlarcroft::adapters
