#include "adapters/process/settings_schema.h"

#include <gtest/gtest.h>

#include "adapters/process/entryd_settings.h"
#include "adapters/process/node_settings.h"
#include "adapters/process/settings_document.h"
#include "adapters/process/steerd_settings.h"

namespace medlarcroft::adapters {
namespace {

constexpr std::string_view kValidSteerdSettings = R"(host: kg-nyarugenge-1
failure_domain: kg-nyarugenge
lookup_listen: 127.31.1.1:17001
peer_listen: 127.31.1.1:17002
routing_listen: 127.31.1.1:17003
platform_url: http://127.31.0.1:17000
peers: [127.31.1.2:17002]
operators:
  - {owner: uwimana-menus, token: uwimana-demo-token}
drain: {pause_ms: 500}
)";

TEST(SettingsSchemaTest, ReadsGivenSettingsAndKeepsOtherDefaults) {
  const auto result =
      ParseSettings(SteerdSchema(), kValidSteerdSettings, "s.yaml");

  ASSERT_TRUE(IsOk(result)) << FormatSettingsError(ErrorOf(result).front());
  const SteerdSettings& settings = ValueOf(result);
  EXPECT_EQ(settings.host, "kg-nyarugenge-1");
  EXPECT_EQ(settings.peers, std::vector<std::string>{"127.31.1.2:17002"});
  EXPECT_EQ(settings.operators.at(0).token, "uwimana-demo-token");
  EXPECT_EQ(settings.drain.pause, std::chrono::milliseconds(500));
  EXPECT_EQ(settings.drain.limit, DrainSettings().limit);
}

TEST(SettingsSchemaTest, PrintsSettingsWithMaskedSecrets) {
  const auto settings =
      ParseSettings(SteerdSchema(), kValidSteerdSettings, "s.yaml");
  const std::string printed = FormatSettings(SteerdSchema(), ValueOf(settings));

  EXPECT_EQ(printed.find("uwimana-demo-token"), std::string::npos);
  EXPECT_NE(printed.find("pause_ms: 500"), std::string::npos);
  EXPECT_NE(printed.find("limit_ms: 60000"), std::string::npos);
}

struct ErrorCase {
  std::string name;
  std::string extra;  ///< Appended to the valid file, from line 11 on.
  SettingsErrorCode code;
  int line;
  std::string field;
};

class SettingsErrorTest : public testing::TestWithParam<ErrorCase> {};

TEST_P(SettingsErrorTest, ReportsLineFieldAndAllowedValues) {
  const ErrorCase& expected = GetParam();
  const auto result = ParseSettings(
      SteerdSchema(), std::string(kValidSteerdSettings) + expected.extra,
      "s.yaml");

  ASSERT_FALSE(IsOk(result));
  ASSERT_EQ(ErrorOf(result).size(), 1U);
  const SettingsError& error = ErrorOf(result).front();
  EXPECT_EQ(error.code, expected.code);
  EXPECT_EQ(error.file, "s.yaml");
  EXPECT_EQ(error.line, expected.line);
  EXPECT_EQ(error.field, expected.field);
  EXPECT_FALSE(error.allowed.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Errors,
    SettingsErrorTest,
    testing::Values(
        ErrorCase{"UnknownKey", "bogus: 1\n", SettingsErrorCode::kUnknownKey,
                  11, "bogus"},
        ErrorCase{"DuplicateKey", "host: x\n", SettingsErrorCode::kDuplicateKey,
                  11, "host"},
        ErrorCase{"TextForNumber", "threads: many\n",
                  SettingsErrorCode::kWrongType, 11, "threads"},
        ErrorCase{"FractionForInteger", "threads: 2.5\n",
                  SettingsErrorCode::kWrongType, 11, "threads"},
        ErrorCase{"BelowMinimum", "threads: 0\n",
                  SettingsErrorCode::kOutOfRange, 11, "threads"},
        ErrorCase{"TooLongForAnyNumber", "threads: 99999999999999999999\n",
                  SettingsErrorCode::kOutOfRange, 11, "threads"},
        ErrorCase{"ListForNumber", "threads: [1]\n",
                  SettingsErrorCode::kWrongType, 11, "threads"},
        ErrorCase{"NestedRange", "telemetry:\n  trace_sampling: 1.5\n",
                  SettingsErrorCode::kOutOfRange, 12,
                  "telemetry.trace_sampling"},
        ErrorCase{"NotANumber", "telemetry: {trace_sampling: .nan}\n",
                  SettingsErrorCode::kOutOfRange, 11,
                  "telemetry.trace_sampling"},
        ErrorCase{"UnknownChoice", "telemetry: {log_level: loud}\n",
                  SettingsErrorCode::kNotAllowed, 11, "telemetry.log_level"},
        ErrorCase{"NestedUnknown", "budgets:\n  cpu: 1\n",
                  SettingsErrorCode::kUnknownKey, 12, "budgets.cpu"},
        ErrorCase{"MissingInGroup", "lookup_tls: {certificate: a.pem}\n",
                  SettingsErrorCode::kMissing, 11, "lookup_tls.key"},
        ErrorCase{"MappingForText", "entry_address: {a: 1}\n",
                  SettingsErrorCode::kWrongType, 11, "entry_address"},
        ErrorCase{"HostNameForAddress", "entry_address: localhost:80\n",
                  SettingsErrorCode::kNotAllowed, 11, "entry_address"}),
    [](const auto& info) { return info.param.name; });

TEST(SettingsSchemaTest, ReportsAllErrorsAtOnce) {
  const auto result = ParseSettings(EntrydSchema(),
                                    R"(host: "bad name"
listen: 10.0.0.1
routing_address: 10.0.0.1:17003
key_secrets: [xyz, "00112233445566778899aabbccddee"]
upstreams: {}
)",
                                    "e.yaml");

  ASSERT_FALSE(IsOk(result));
  std::vector<std::string> fields;
  for (const SettingsError& error : ErrorOf(result)) {
    fields.push_back(error.field);
  }
  EXPECT_EQ(fields, (std::vector<std::string>{
                        "host", "listen", "routing_address", "key_secrets[0]",
                        "key_secrets[1]", "upstreams", "failure_domain",
                        "share_listen", "platform_url"}));
}

// A template is expanded in a deployment that lacks some values, so that keys
// have empty values. The program must still start.
TEST(SettingsSchemaTest, EmptyValueKeepsTheDefault) {
  const auto result = ParseSettings(NodeSchema(),
                                    R"(host: a
failure_domain: z
region: r
caller_listen: 127.0.0.1:1
readiness_listen: 127.0.0.1:2
lookup_listen: 127.0.0.1:3
peer_listen: 127.0.0.1:4
store_address: 127.0.0.1:5
memory_mb:
bounds:
  shift_most:
  stop_limit: 7s
)",
                                    "n.yaml");

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).memory_mb, NodeSettings().memory_mb);
  EXPECT_EQ(ValueOf(result).bounds.shift_most, NodeBounds().shift_most);
  EXPECT_EQ(ValueOf(result).bounds.stop_limit, std::chrono::seconds(7));
}

// Hosts switch to a new secret one after the other, so two secrets are accepted
// during the change. An empty list would accept no key at all.
TEST(SettingsSchemaTest, ChecksTheSizeOfLists) {
  for (const std::string_view secrets : {"[]", "[a, b, c]"}) {
    const auto result = ParseSettings(
        EntrydSchema(), "key_secrets: " + std::string(secrets), "e.yaml");
    ASSERT_FALSE(IsOk(result));
    EXPECT_EQ(ErrorOf(result).front().code, SettingsErrorCode::kOutOfRange);
    EXPECT_EQ(ErrorOf(result).front().allowed, "1 to 2 items");
  }
}

TEST(SettingsSchemaTest, ReportsTheLineOfInvalidYaml) {
  const auto result =
      ParseSettings(SteerdSchema(), "host: a\n  b: [\n", "s.yaml");

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).front().code, SettingsErrorCode::kNotYaml);
  EXPECT_GT(ErrorOf(result).front().line, 0);
}

TEST(SettingsSchemaTest, ReportsAnUnreadableFile) {
  const auto result = LoadSettings(SteerdSchema(), "/no/such/file.yaml");

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(FormatSettingsError(ErrorOf(result).front()).substr(0, 33),
            "/no/such/file.yaml: unreadable; a");
}

}  // namespace
}  // namespace medlarcroft::adapters
