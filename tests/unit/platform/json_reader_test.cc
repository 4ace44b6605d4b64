#include "platform/json_reader.h"

#include <gtest/gtest.h>

#include "platform/host_entry.h"
#include "platform/store_client.h"

namespace medlarcroft::platform {
namespace {

struct Base64Case {
  std::string bytes;
  std::string text;
};

class Base64RoundTripTest : public testing::TestWithParam<Base64Case> {};

TEST_P(Base64RoundTripTest, EncodesAndDecodes) {
  EXPECT_EQ(EncodeBase64(GetParam().bytes), GetParam().text);
  EXPECT_EQ(DecodeBase64(GetParam().text), GetParam().bytes);
}

INSTANTIATE_TEST_SUITE_P(All,
                         Base64RoundTripTest,
                         testing::Values(Base64Case{"", ""},
                                         Base64Case{"n", "bg=="},
                                         Base64Case{"no", "bm8="},
                                         Base64Case{"nod", "bm9k"},
                                         Base64Case{"node-1", "bm9kZS0x"}));

TEST(Base64Test, RejectsInvalidText) {
  EXPECT_FALSE(DecodeBase64("bm9"));
  EXPECT_FALSE(DecodeBase64("b*9k"));
}

// A row with an unreadable value still shows which entry changed; an item
// without a key is skipped.
TEST(DecodeRowsTest, SkipsOnlyUnreadableRows) {
  const auto rows = DecodeRows(
      R"({"rows":[{"key":"a","value":"bm9k","schema_version":3},{"key":"b","value":"*"},7,)"
      R"({"key":"c","removed":true,"schema_version":4}],"schema_version":9,"has_more":true})");
  ASSERT_TRUE(IsOk(rows));
  ASSERT_EQ(ValueOf(rows).rows.size(), 3U);
  EXPECT_EQ(ValueOf(rows).rows[0].value, "nod");
  EXPECT_EQ(ValueOf(rows).rows[1].key, "b");
  EXPECT_EQ(ValueOf(rows).rows[1].value, "");
  EXPECT_FALSE(ValueOf(rows).rows[1].is_removed);
  EXPECT_TRUE(ValueOf(rows).rows[2].is_removed);
  EXPECT_EQ(ValueOf(rows).newest_version, 9U);
  EXPECT_TRUE(ValueOf(rows).has_more);
}

class BadRowsTest : public testing::TestWithParam<std::string> {};

TEST_P(BadRowsTest, IsRejected) {
  const auto rows = DecodeRows(GetParam());
  ASSERT_FALSE(IsOk(rows));
  EXPECT_EQ(ErrorOf(rows), replication::RowFailure::kBadAnswer);
}

INSTANTIATE_TEST_SUITE_P(All,
                         BadRowsTest,
                         testing::Values("",
                                         "{}",
                                         "[]",
                                         R"({"rows":[]})",
                                         R"({"rows":3,"schema_version":1})"));

TEST(HostEntryTest, RoundTrips) {
  const HostEntry entry{.host = {.name = "h1",
                                 .failure_domain = FailureDomainName("z"),
                                 .address = "127.0.0.1:7000"},
                        .link_mbps = 10};
  const auto decoded = DecodeHostEntry("h1", EncodeHostEntry(entry));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).host.address, entry.host.address);
  EXPECT_EQ(ValueOf(decoded).host.failure_domain, entry.host.failure_domain);
  EXPECT_EQ(ValueOf(decoded).link_mbps, 10);
  EXPECT_FALSE(IsOk(DecodeHostEntry("h1", "{}")));
}

// Guards against a host that nobody can reach among those that are asked.
TEST(HostEntryTest, AnAddressThatIsNoneIsRejected) {
  for (const std::string address :
       {"", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:-1", "host:7000"}) {
    EXPECT_FALSE(IsOk(DecodeHostEntry(
        "h1",
        EncodeHostEntry({.host = {.name = "h1",
                                  .failure_domain = FailureDomainName("z"),
                                  .address = address}}))))
        << address;
  }
}

}  // namespace
}  // namespace medlarcroft::platform
